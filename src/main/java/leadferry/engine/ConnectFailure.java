package leadferry.engine;

import java.net.BindException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.SocketException;

/** Whose fault it is that a connection did not come up. */
final class ConnectFailure {
  /** How the JDK words a reset of a connection that comes up, for which it has no type. */
  private static final String RESET = "Connection reset";

  private ConnectFailure() {}

  /**
   * Whether it was for want of something of this machine's (ports, buffers, a network):
   * EADDRNOTAVAIL is a {@link BindException} to the JDK, ENETUNREACH and ENOBUFS are plain. Guards
   * against a server that pays for it; one that refuses, resets or can't be reached had its part in
   * it.
   */
  static boolean isLocal(Throwable cause) {
    boolean aboutServer =
        cause instanceof ConnectException
            || cause instanceof NoRouteToHostException
            || String.valueOf(cause.getMessage()).startsWith(RESET);
    return cause instanceof SocketException && !aboutServer;
  }
}
