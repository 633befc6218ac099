package leadferry.engine;

import java.net.BindException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.SocketException;

/** Classifies the cause of a failed connect as local or remote. */
final class ConnectFailure {
  /**
   * Message prefix with which the JDK reports a reset during connect, for which it has no exception
   * type.
   */
  private static final String RESET = "Connection reset";

  private ConnectFailure() {}

  /**
   * Whether this machine lacked a resource (ports, buffers, a network). The JDK reports
   * EADDRNOTAVAIL as {@link BindException}, and ENETUNREACH and ENOBUFS as plain {@link
   * SocketException}. Guards against a local shortage that is charged to a server. A server that
   * refuses or resets the connection, or can't be reached, is charged.
   */
  static boolean isLocal(Throwable cause) {
    boolean aboutServer =
        cause instanceof ConnectException
            || cause instanceof NoRouteToHostException
            || String.valueOf(cause.getMessage()).startsWith(RESET);
    return cause instanceof SocketException && !aboutServer;
  }
}
