package leadferry.loadbalancer;

/** Outcome of an attempt. */
public enum AttemptOutcome {
  /** The endpoint served the request. */
  OK(false),
  /** The endpoint responded with an error. */
  ERROR(false),
  /** The endpoint rejected the request as overloaded, before any effect. */
  FULL(true),
  /** No response arrived before the deadline. */
  TIMEOUT(false),
  /** No connection could be established. */
  CONNECT_FAILED(true),
  /** The connection broke. */
  RESET(false),
  /** This proxy cancelled the attempt. */
  CANCELLED(false),
  /** The attempt was never sent, for a reason unrelated to the endpoint. */
  MOOT(true);

  private final boolean hasNoEffect;

  AttemptOutcome(boolean hasNoEffect) {
    this.hasNoEffect = hasNoEffect;
  }

  /** Returns whether the endpoint itself produced a response, which proves that it is alive. */
  public boolean hasResponse() {
    return this == OK || this == ERROR;
  }

  /** Returns whether this outcome proves that the attempt had no effect. */
  public boolean hasNoEffect() {
    return hasNoEffect;
  }
}
