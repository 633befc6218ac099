package leadferry.soak;

/**
 * What one server saw of one attempt.
 *
 * @param id of the request
 * @param upstream name of the server
 * @param startedAtNanos when (ns) its first byte was read
 * @param completedAtNanos when (ns) its last byte was read, 0 if it never was
 * @param timeoutMs how long the proxy said that it waits
 * @param mayHaveRun whether the server may have carried out the request: not where it turned it
 *     away
 */
record AttemptRecord(
    String id,
    String upstream,
    long startedAtNanos,
    long completedAtNanos,
    long timeoutMs,
    boolean mayHaveRun) {}
