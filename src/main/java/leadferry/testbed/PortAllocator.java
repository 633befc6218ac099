package leadferry.testbed;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;

/**
 * Ports on which processes will listen. They come from below the range from which the kernel gives
 * ports to those who connect, so that none is taken between the choice and the start.
 */
final class PortAllocator {
  private static final int FIRST_PORT = 10_000;
  private static final int PORTS = 20_000;
  private static final int MOST_TRIES = 1_000;

  private final Set<Integer> taken = new HashSet<>();
  private final Random random = new Random(System.nanoTime() ^ ProcessHandle.current().pid());

  /** An address on loopback that nobody listens on now. */
  InetSocketAddress next() throws IOException {
    for (int i = 0; i < MOST_TRIES; i++) {
      int port = FIRST_PORT + random.nextInt(PORTS);
      if (taken.add(port) && isFree(port)) {
        return new InetSocketAddress("127.0.0.1", port);
      }
    }
    throw new IOException("no free port");
  }

  private static boolean isFree(int port) throws IOException {
    try (ServerSocket socket = new ServerSocket()) {
      socket.bind(new InetSocketAddress("127.0.0.1", port));
      return true;
    } catch (BindException e) {
      return false;
    }
  }
}
