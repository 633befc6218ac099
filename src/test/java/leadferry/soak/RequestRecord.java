package leadferry.soak;

/**
 * What a client recorded of one request. Times are readings of {@link System#nanoTime}, 0 where the
 * event did not happen.
 *
 * @param id the ID of the request, unique in a run
 * @param proxy the index of the proxy to which the request was sent
 * @param unsafe whether the request must never run twice
 * @param deadlineMs how many milliseconds the client waits for the response
 * @param sentAtNanos when the last byte of the request was written
 * @param endedAtNanos when the last byte of the response, or the end of the connection, was read
 * @param disconnectedAtNanos when the client closed the connection without waiting for the response
 * @param outcome how the request ended for the client
 * @param resentAtNanos when the client sent the request again, because the proxy closed the idle
 *     connection while the request was on its way
 * @param detail a description of the outcome for people
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
    /** A response with status 200 and a complete body. */
    SERVED,
    /**
     * A response with status 429 or 503, by which the proxy states that the request did not run.
     */
    REFUSED,
    /** Any other complete response. */
    FAILED,
    /** An incomplete response, which the client recognizes as such. */
    TRUNCATED,
    /** No byte of a response before the connection ended or the client timed out. */
    NO_RESPONSE,
    /** The client closed the connection before the response. */
    CLIENT_DISCONNECTED
  }
}
