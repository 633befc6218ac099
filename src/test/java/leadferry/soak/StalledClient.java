package leadferry.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Random;

/**
 * A client that connects, sends nothing, half of a request or a request that can't be served, and
 * stays until the proxy closes the connection or 4 seconds pass. It opens one connection after the
 * other.
 */
final class StalledClient implements Runnable {
  private static final int CONNECT_MS = 1_000;
  private static final int READ_TIMEOUT_MS = 4_000;
  private static final int PAUSE_MS = 100;
  private static final int SHORT_FIELDS = 3_900;
  private static final int MAX_HALF_BODY_BYTES = 200_000;

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

  private String input() {
    String firstLine = "POST /claim/1 HTTP/1.1\r\nHost: api\r\n";
    return switch (random.nextInt(8)) {
      case 0 -> firstLine + "a:\r\n".repeat(SHORT_FIELDS);
      case 1 -> firstLine + "a:\r\n".repeat(SHORT_FIELDS) + "\r\n";
      case 2 ->
          firstLine
              + "X-Request-ID: half"
              + random.nextLong()
              + "\r\nContent-Length: 400000\r\n\r\n"
              + "x".repeat(random.nextInt(MAX_HALF_BODY_BYTES));
      case 3, 4 -> firstLine + "X-Re";
      default -> "";
    };
  }

  private void stall() {
    try (Socket socket = new Socket()) {
      socket.connect(
          new InetSocketAddress(InetAddress.getLoopbackAddress(), target.port()), CONNECT_MS);
      socket.setSoTimeout(READ_TIMEOUT_MS);
      socket.getOutputStream().write(input().getBytes(StandardCharsets.ISO_8859_1));
      socket.getInputStream().readAllBytes();
    } catch (IOException e) {
      // the proxy closed or refused the connection, or the read timed out: all are expected
    }
  }
}
