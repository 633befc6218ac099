package leadferry.engine;

/**
 * State of a request in one pool. All transitions are defined here; a state without a transition
 * for an event stays as it is. Thus exactly one final response is given, and the result is counted
 * at most once.
 *
 * <pre>
 *   WAITING -- claimed ------------> RESPONDED -- counted --> COUNTED
 *           -- moved --------------> MOVED
 *           -- clientDisconnected -> CLIENT_DISCONNECTED
 * </pre>
 */
enum ExchangeState {
  /** The client waits, and the final response has not been claimed. */
  WAITING,
  /**
   * The final response has been claimed and may still be in transit; the result has not been
   * counted.
   */
  RESPONDED,
  /** The final response has been claimed, and the result has been counted. */
  COUNTED,
  /** Another pool has taken over the request, and responds to and counts it. */
  MOVED,
  /**
   * The client disconnected before a final response; no response is due and no result is counted.
   */
  CLIENT_DISCONNECTED;

  /** Whether the final response has been claimed, or is no longer expected from this pool. */
  boolean isResolved() {
    return this != WAITING;
  }

  ExchangeState claimed() {
    return this == WAITING ? RESPONDED : this;
  }

  ExchangeState counted() {
    return this == RESPONDED ? COUNTED : this;
  }

  ExchangeState moved() {
    return this == WAITING ? MOVED : this;
  }

  ExchangeState clientDisconnected() {
    return this == WAITING ? CLIENT_DISCONNECTED : this;
  }
}
