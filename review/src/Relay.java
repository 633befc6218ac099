import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.locks.LockSupport;

/** A network between a client proxy and one server: every byte arrives after a fixed time. */
final class Relay {
  private record Part(byte[] bytes, long atNanos) {}

  private final Lab lab;
  private final int target;
  private final long delayNanos;
  private final ServerSocket listener;

  Relay(Lab lab, int target, double delayMillis) throws IOException {
    this.lab = lab;
    this.target = target;
    this.delayNanos = (long) (delayMillis * 1e6);
    this.listener = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
    lab.threads.execute(this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket client = listener.accept();
        client.setTcpNoDelay(true);
        Socket server = Lab.connect(target);
        pass(client, server);
        pass(server, client);
      } catch (IOException e) {
        if (listener.isClosed()) {
          return;
        }
      }
    }
  }

  /** Passes bytes, and then the end of the stream, from one side to the other. */
  private void pass(Socket from, Socket to) {
    BlockingQueue<Part> parts = new LinkedBlockingQueue<>();
    lab.threads.execute(
        () -> {
          byte[] buffer = new byte[16_384];
          int count = 0;
          while (count >= 0) {
            try {
              InputStream in = from.getInputStream();
              count = in.read(buffer);
            } catch (IOException e) {
              count = -1;
            }
            parts.add(new Part(count < 0 ? null : Arrays.copyOf(buffer, count), System.nanoTime() + delayNanos));
          }
        });
    lab.threads.execute(
        () -> {
          try {
            Part part;
            while ((part = parts.take()).bytes() != null) {
              awaitNanos(part.atNanos());
              to.getOutputStream().write(part.bytes());
            }
            awaitNanos(part.atNanos());
          } catch (IOException | InterruptedException e) {
            // one side has closed
          }
          close(to);
          close(from);
        });
  }

  private static void awaitNanos(long atNanos) {
    long left;
    while ((left = atNanos - System.nanoTime()) > 0) {
      LockSupport.parkNanos(left);
    }
  }

  private static void close(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // already closed
    }
  }
}
