package leadferry.soak;

/**
 * What one client saw of one request. Times are nanoseconds of {@link System#nanoTime}, 0 where it
 * did not happen.
 *
 * @param id of the request, unique in a run
 * @param proxy index of the proxy that it was sent to
 * @param unsafe whether it must never run twice
 * @param deadlineMs how long its client waits
 * @param sentAtNanos when its last byte had been written
 * @param endedAtNanos when the last byte of its response, or the end of the connection, was read
 * @param disconnectedAtNanos when its client closed the connection without waiting for the response
 * @param outcome how it ended for the client
 * @param resentAtNanos when it was sent once more because the close of an idle connection crossed
 *     it
 * @param detail of the outcome, for people
 */
record RequestRecord(
    String id,
    int proxy,
    boolean unsafe,
    int deadlineMs,
    long sentAtNanos,
    long endedAtNanos,
    long disconnectedAtNanos,
    Outcome outcome,
    long resentAtNanos,
    String detail) {
  /** How a request ended for its client. */
  enum Outcome {
    /** 200 with a whole body. */
    SERVED,
    /** 429 or 503: the proxy promises that it did not run. */
    REFUSED,
    /** Any other complete response. */
    FAILED,
    /** A response that began and is not whole: the client can tell. */
    TRUNCATED,
    /** The connection ended, or nothing came, with no byte of a response. */
    NO_RESPONSE,
    /** The client closed the connection first. */
    CLIENT_DISCONNECTED
  }
}
