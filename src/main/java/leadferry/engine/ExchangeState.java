package leadferry.engine;

/**
 * What has become of a request in one pool. The one place for the transitions; a state that has
 * none for an event stays as it is, so that exactly one final answer is given and its end is
 * counted once at most.
 *
 * <pre>
 *   WAITING -- claimed ----> ANSWERED -- counted --> COUNTED
 *           -- moved ------> MOVED
 *           -- clientGone -> CLIENT_GONE
 * </pre>
 */
enum ExchangeState {
  /** The client waits, and nobody has claimed the final answer. */
  WAITING,
  /** The final answer is given or going out; whether it ended well is not counted yet. */
  RESPONDED,
  /** The final answer is given, and whether it ended well is counted. */
  COUNTED,
  /** A further pool has taken the request: that one answers and counts it. */
  MOVED,
  /** The client left before a final answer: there is nothing to answer or to count. */
  CLIENT_DISCONNECTED;

  /** Whether the final answer has been given, or nobody waits for one here. */
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
