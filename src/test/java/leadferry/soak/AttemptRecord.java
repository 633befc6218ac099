package leadferry.soak;

/**
 * What an upstream host recorded of one attempt.
 *
 * @param id the ID of the request
 * @param upstream the name of the upstream host
 * @param startedAtNanos when the first byte of the request was read, by {@link System#nanoTime}
 * @param completedAtNanos when the last byte of the request was read, or 0 if it never was
 * @param timeoutMs the time in milliseconds for which the proxy states that it waits
 * @param mayHaveRun whether the upstream may have executed the request; false if it rejected the
 *     request unprocessed
 */
record AttemptRecord(
    String id,
    String upstream,
    long startedAtNanos,
    long completedAtNanos,
    long timeoutMs,
    boolean mayHaveRun) {}
