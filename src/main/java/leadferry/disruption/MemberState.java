package leadferry.disruption;

/**
 * What is known of a proxy's process.
 *
 * <pre>
 *   any --joined--> NOT_SERVING &lt;--reported--> SERVING
 *   NOT_SERVING, SERVING --session ended by itself--> LEFT --fenced--> LEFT_FENCED
 *   NOT_SERVING, SERVING --session expired----------> LOST --fenced--> LOST_FENCED
 * </pre>
 */
enum MemberState {
  /**
   * Its session is live; it has not reported in it that it serves, or reported that it does not.
   */
  NOT_SERVING,
  /** Its session is live, and its last report said that it serves. */
  SERVING,
  /** It ended its session itself and had no requests in flight. */
  LEFT,
  /** The same, and an operator declared its process dead. */
  LEFT_FENCED,
  /** Its session expired; its process may still run. */
  LOST,
  /** The same, and an operator declared its process dead. */
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

  /** Whether its process can send nothing any more. */
  boolean isTerminated() {
    return hasLeft() || isFenced();
  }

  /** A new session begins. */
  MemberState afterJoin() {
    return NOT_SERVING;
  }

  /** A report arrived in a live session. */
  MemberState afterReport(boolean serving) {
    requireState(isLive(), "a live session");
    return serving ? SERVING : NOT_SERVING;
  }

  /** The live session ended: by the proxy's own word, or because it expired. */
  MemberState afterSessionEnd(boolean clean) {
    requireState(isLive(), "a live session");
    return clean ? LEFT : LOST;
  }

  /** An operator declared the process dead. */
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
