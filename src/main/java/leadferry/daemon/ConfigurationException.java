package leadferry.daemon;

import java.util.List;
import java.util.stream.Collectors;

/** The operator's file can't be used; tells all that is wrong with it. */
public final class ConfigurationException extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient List<ConfigurationError> errors;

  ConfigurationException(List<ConfigurationError> faults) {
    super(faults.stream().map(ConfigurationError::toString).collect(Collectors.joining("\n")));
    this.errors = List.copyOf(faults);
  }

  public List<ConfigurationError> errors() {
    return errors;
  }
}
