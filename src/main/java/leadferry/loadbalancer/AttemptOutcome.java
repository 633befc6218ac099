package leadferry.loadbalancer;

/** How an attempt ended. */
public enum AttemptOutcome {
  OK(false),
  ERROR(false),
  FULL(true),
  TIMEOUT(false),
  CONNECT_FAILED(true),
  RESET(false),
  CANCELLED(false),
  MOOT(true);

  private final boolean neverRan;

  AttemptOutcome(boolean neverRan) {
    this.neverRan = neverRan;
  }

  /** Whether the host has given an answer of its own making to the request: a sign of life. */
  public boolean answered() {
    return this == OK || this == ERROR;
  }

  /** Whether this result proves that the attempt had no effect. */
  public boolean neverRan() {
    return neverRan;
  }
}
