package leadferry.http;

/**
 * Lifecycle of a client connection. A connection passes through the states in this order; it may
 * skip a state and never returns to an earlier one.
 *
 * <pre>
 *   OPEN --> LAST_RESPONSE --> FINISHED --> DISCARDING
 * </pre>
 */
enum ConnectionState {
  /** Requests are accepted, and another one may follow the current one. */
  OPEN,
  /** The response to the current request is the last one of the connection. */
  LAST_RESPONSE,
  /** The last response was passed to the channel or aborted; no further request is accepted. */
  FINISHED,
  /** The decoder is removed; further input is discarded undecoded. */
  DISCARDING;

  /** Returns the later of this state and {@code next}. */
  ConnectionState advance(ConnectionState next) {
    return next.compareTo(this) > 0 ? next : this;
  }

  /** Whether parts of requests are accepted. */
  boolean acceptsRequests() {
    return this == OPEN || this == LAST_RESPONSE;
  }

  /** Whether no request is accepted after the current one. */
  boolean isClosing() {
    return this != OPEN;
  }
}
