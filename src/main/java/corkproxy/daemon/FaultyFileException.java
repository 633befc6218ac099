package corkproxy.daemon;

import java.util.List;
import java.util.stream.Collectors;

/** The operator's file can't be used; tells all that is wrong with it. */
public final class FaultyFileException extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient List<Fault> faults;

  FaultyFileException(List<Fault> faults) {
    super(faults.stream().map(Fault::toString).collect(Collectors.joining("\n")));
    this.faults = List.copyOf(faults);
  }

  public List<Fault> faults() {
    return faults;
  }
}
