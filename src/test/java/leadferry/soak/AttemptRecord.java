package leadferry.soak;

/**
 * What one server saw of one attempt.
 *
 * @param id of the request
 * @param server name of the server
 * @param begunAt when (ns) its first byte was read
 * @param completeAt when (ns) its last byte was read, 0 if it never was
 * @param toldMs how long the proxy said that it waits
 * @param ran whether the server may have carried out the request: not where it turned it away
 */
record AttemptRecord(
    String id, String server, long begunAt, long completeAt, long toldMs, boolean ran) {}
