package leadferry.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Random;

/**
 * A client that connects, sends nothing or half of a request, and stays until it is ended; one
 * connection after the other.
 */
final class StalledClient implements Runnable {
  private static final int CONNECT_MS = 1_000;
  private static final int STAYS_MS = 4_000;
  private static final int PAUSE_MS = 100;

  private final SoakClient.Target target;
  private final Random random;

  StalledClient(SoakClient.Target target, long seed) {
    this.target = target;
    this.random = new Random(seed);
  }

  @Override
  public void run() {
    try {
      while (target.isRunning()) {
        if (target.canConnect()) {
          stall();
        }
        Thread.sleep(random.nextInt(PAUSE_MS));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void stall() {
    try (Socket socket = new Socket()) {
      socket.connect(
          new InetSocketAddress(InetAddress.getLoopbackAddress(), target.port()), CONNECT_MS);
      socket.setSoTimeout(STAYS_MS);
      if (random.nextBoolean()) {
        socket
            .getOutputStream()
            .write(
                "POST /claim/1 HTTP/1.1\r\nHost: api\r\nX-Re"
                    .getBytes(StandardCharsets.ISO_8859_1));
      }
      socket.getInputStream().readAllBytes();
    } catch (IOException e) {
      // ended by the proxy, or not let in: both are in order
    }
  }
}
