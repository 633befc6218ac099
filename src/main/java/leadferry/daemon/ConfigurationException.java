package leadferry.daemon;

import java.util.List;
import java.util.stream.Collectors;

/** Signals that an operator's file is invalid, and carries every error found in it. */
public final class ConfigurationException extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient List<ConfigurationError> errors;

  ConfigurationException(List<ConfigurationError> errors) {
    super(errors.stream().map(ConfigurationError::toString).collect(Collectors.joining("\n")));
    this.errors = List.copyOf(errors);
  }

  public List<ConfigurationError> errors() {
    return errors;
  }
}
