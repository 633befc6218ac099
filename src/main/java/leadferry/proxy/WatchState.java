package leadferry.proxy;

/**
 * The state of the watch on discovery, with its transitions.
 *
 * <pre>
 *   IDLE --> CONNECTING --> AWAITING_RESPONSE --> RECEIVING --> SYNCHRONIZED
 *    ^ |         |                 |                  |              |
 *    | v         v                 v                  v              v
 *   BACKING_OFF, or IDLE where the load balancer decides when to poll again
 * </pre>
 */
enum WatchState {
  /** No connection, and none is scheduled. */
  IDLE,
  /** The connection is being opened. */
  CONNECTING,
  /** The request is sent, and nothing was received yet. */
  AWAITING_RESPONSE,
  /** A response has begun, without a sound list yet. */
  RECEIVING,
  /** This connection has told a sound list, or that nothing has changed. */
  SYNCHRONIZED,
  /** The connection was lost, and the next one is scheduled. */
  BACKING_OFF;

  /** Whether the watch may go from this state to {@code next}. */
  boolean canTransitionTo(WatchState next) {
    boolean progress =
        switch (this) {
          case IDLE -> next == CONNECTING;
          case CONNECTING -> next == AWAITING_RESPONSE;
          case AWAITING_RESPONSE -> next == RECEIVING;
          case RECEIVING -> next == SYNCHRONIZED;
          case SYNCHRONIZED, BACKING_OFF -> false;
        };
    boolean loss = next == IDLE || (next == BACKING_OFF && this != BACKING_OFF);
    return progress || loss;
  }

  /** Whether the present connection has received anything. */
  boolean hasReceived() {
    return this == RECEIVING || this == SYNCHRONIZED;
  }
}
