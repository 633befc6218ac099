package leadferry.soak;

/**
 * A rule of the preload library: one in {@code oneIn} calls of a kind on sockets of a role fails.
 *
 * @param call the system call: accept, socket, connect, read, write, poll, epoll_wait
 * @param role the role of the socket: listener, client, upstream, discovery, any
 * @param fault the name of the errno, or SHORT for a transfer of one byte
 * @param oneIn the mean number of calls from one fault to the next
 * @param fromMs when the rule takes effect, in milliseconds since the start of the process
 * @param toMs when the rule ends, in milliseconds since the start of the process
 */
record SystemCallFault(String call, String role, String fault, int oneIn, long fromMs, long toMs) {
  static SystemCallFault always(String call, String role, String fault, int oneIn) {
    return new SystemCallFault(call, role, fault, oneIn, 0, Integer.MAX_VALUE);
  }

  /** Returns the rule in the syntax of the library. */
  String rule() {
    return call + " " + role + " " + fault + " " + oneIn + " " + fromMs + " " + toMs;
  }
}
