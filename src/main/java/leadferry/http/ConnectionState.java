package leadferry.http;

/**
 * How far a client's connection has come towards its end. States are passed in this order alone;
 * any may be left out, none is returned to.
 *
 * <pre>
 *   OPEN --> LAST_RESPONSE --> FINISHED --> DISCARDING
 * </pre>
 */
enum ConnectionState {
  /** Requests are taken, and another may follow the present one. */
  OPEN,
  /** The present request's response is the connection's last. */
  LAST_RESPONSE,
  /** The last response has been given to the socket, or was cut: no request is taken any more. */
  FINISHED,
  /** The decoder has been taken out: what still comes is thrown away unread. */
  DISCARDING;

  /** The state after {@code next} was asked for: the later of the two. */
  ConnectionState advance(ConnectionState next) {
    return next.compareTo(this) > 0 ? next : this;
  }

  /** Whether parts of requests are taken. */
  boolean acceptsRequests() {
    return this == OPEN || this == LAST_RESPONSE;
  }

  /** Whether no request follows the present one. */
  boolean isClosing() {
    return this != OPEN;
  }
}
