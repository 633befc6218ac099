package leadferry.soak;

/**
 * One rule of the preload library: calls of a kind on sockets of a role fail in one way, one in so
 * many.
 *
 * @param call of the kernel: accept, socket, connect, read, write, poll, epoll_wait
 * @param role of the socket: listener, client, upstream, discovery, any
 * @param fault name of the errno, or SHORT for a transfer of one byte
 * @param oneIn mean number of calls between two faults
 * @param fromMs since the start of the process, and {@code toMs}
 */
record SystemCallFault(String call, String role, String fault, int oneIn, long fromMs, long toMs) {
  static SystemCallFault always(String call, String role, String fault, int oneIn) {
    return new SystemCallFault(call, role, fault, oneIn, 0, Integer.MAX_VALUE);
  }

  /** The rule as the library reads it. */
  String rule() {
    return call + " " + role + " " + fault + " " + oneIn + " " + fromMs + " " + toMs;
  }
}
