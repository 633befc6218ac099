package leadferry.disruption;

/**
 * State of a proxy's session and process.
 *
 * <pre>
 *   any --session opened--> NOT_SERVING &lt;--reported--> SERVING
 *   NOT_SERVING, SERVING --session closed by the proxy--> LEFT --fenced--> LEFT_FENCED
 *   NOT_SERVING, SERVING --session expired--------------> LOST --fenced--> LOST_FENCED
 * </pre>
 */
enum MemberState {
  /**
   * The session is live, and the proxy has not yet reported in it or last reported that it does not
   * serve.
   */
  NOT_SERVING,
  /** The session is live, and the proxy last reported that it serves. */
  SERVING,
  /** The proxy closed the session itself and had no requests in flight. */
  LEFT,
  /** As {@link #LEFT}, and an operator declared the process dead. */
  LEFT_FENCED,
  /** The session expired. The process may still run. */
  LOST,
  /** As {@link #LOST}, and an operator declared the process dead. */
  LOST_FENCED;

  boolean isLive() {
    return this == NOT_SERVING || this == SERVING;
  }

  boolean hasLeft() {
    return this == LEFT || this == LEFT_FENCED;
  }

  boolean isLost() {
    return this == LOST || this == LOST_FENCED;
  }

  boolean isFenced() {
    return this == LEFT_FENCED || this == LOST_FENCED;
  }

  /** Returns whether the process can no longer send requests. */
  boolean isTerminated() {
    return hasLeft() || isFenced();
  }

  /** Returns the state after a new session has begun. */
  MemberState afterJoin() {
    return NOT_SERVING;
  }

  /** Returns the state after a report in a live session. */
  MemberState afterReport(boolean serving) {
    requireState(isLive(), "a live session");
    return serving ? SERVING : NOT_SERVING;
  }

  /**
   * Returns the state after the live session was closed by the proxy ({@code clean}) or expired.
   */
  MemberState afterSessionEnd(boolean clean) {
    requireState(isLive(), "a live session");
    return clean ? LEFT : LOST;
  }

  /** Returns the state after an operator declared the process dead. */
  MemberState afterFence() {
    requireState(!isLive(), "no live session");
    return hasLeft() ? LEFT_FENCED : LOST_FENCED;
  }

  private void requireState(boolean allowed, String expected) {
    if (!allowed) {
      throw new IllegalStateException("member state: " + this + " (expected: " + expected + ")");
    }
  }
}
