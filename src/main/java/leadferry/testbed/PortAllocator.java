package leadferry.testbed;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;

/**
 * Chooses ports for processes to listen on. They lie below the kernel's range of ephemeral ports;
 * otherwise an outgoing connection could take a port between its choice and the start of its
 * process.
 */
final class PortAllocator {
  private static final int FIRST_PORT = 10_000;
  private static final int PORT_COUNT = 20_000;
  private static final int MAX_ATTEMPTS = 1_000;

  private final Set<Integer> taken = new HashSet<>();
  private final Random random = new Random(System.nanoTime() ^ ProcessHandle.current().pid());

  /** Returns a loopback address that no socket is bound to now. */
  InetSocketAddress next() throws IOException {
    for (int i = 0; i < MAX_ATTEMPTS; i++) {
      int port = FIRST_PORT + random.nextInt(PORT_COUNT);
      if (taken.add(port) && isFree(port)) {
        return new InetSocketAddress("127.0.0.1", port);
      }
    }
    throw new IOException("no free loopback port found in " + MAX_ATTEMPTS + " attempts");
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
