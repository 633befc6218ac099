package leadferry.loadbalancer;

/** How an attempt ended. */
public enum AttemptOutcome {
  /** The endpoint served it. */
  OK(false),
  /** The endpoint answered with an error of its own. */
  ERROR(false),
  /** The endpoint turned it away as overloaded, before any effect. */
  FULL(true),
  /** No response came before the deadline. */
  TIMEOUT(false),
  /** No connection came about. */
  CONNECT_FAILED(true),
  /** The connection broke. */
  RESET(false),
  /** This proxy stopped waiting. */
  CANCELLED(false),
  /** It was never sent, for no fault of the endpoint. */
  MOOT(true);

  private final boolean hasNoEffect;

  AttemptOutcome(boolean hasNoEffect) {
    this.hasNoEffect = hasNoEffect;
  }

  /** Whether the endpoint has given an answer of its own making: a sign of life. */
  public boolean hasResponse() {
    return this == OK || this == ERROR;
  }

  /** Whether this outcome proves that the attempt had no effect. */
  public boolean hasNoEffect() {
    return hasNoEffect;
  }
}
