import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients ask for answers of 4.5 to 6 MB and read them at 100 kB a second, steadily. The hosts give
 * each answer whole and as fast as the client proxy takes it.
 */
public final class SlowReader {
  private static final int CLIENTS = 160;
  private static final int LEAST_BYTES = 4_500_000;
  private static final int STEP_BYTES = 9_600;
  private static final int BYTES_PER_SECOND = 100_000;
  private static final int RECEIVE_BUFFER_BYTES = 65_536;
  private static final int HOSTS = 6;

  private static final AtomicInteger GIVEN = new AtomicInteger();

  public static void main(String[] args) {
    Kit.main(args, SlowReader::run);
  }

  private static ServerSocket host() throws IOException {
    ServerSocket listener = Kit.listen();
    Kit.daemon(
        () -> {
          while (true) {
            try {
              Socket connection = listener.accept();
              connection.setTcpNoDelay(true);
              Kit.daemon(() -> serve(connection));
            } catch (IOException e) {
              return;
            }
          }
        });
    return listener;
  }

  /** Answers each request with as many bytes as its path names. */
  private static void serve(Socket connection) {
    try (connection) {
      InputStream in = new BufferedInputStream(connection.getInputStream());
      OutputStream out = connection.getOutputStream();
      byte[] block = new byte[16_384];
      Kit.Message request;
      while ((request = Kit.read(in)) != null) {
        int length = Integer.parseInt(request.first().split(" ")[1].split("/")[2]);
        out.write(Kit.bytes("HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n"));
        for (int sent = 0; sent < length; ) {
          int count = Math.min(block.length, length - sent);
          out.write(block, 0, count);
          sent += count;
        }
        GIVEN.incrementAndGet();
        Kit.record("host: gave all " + length + " bytes for " + request.headers().get("x-request-id"));
      }
    } catch (IOException e) {
      Kit.record("host: the connection ended: " + e.getMessage());
    }
  }

  /** Returns the number of bytes of the answer's body that came before the connection ended. */
  private static int ask(Kit.Proxy proxy, int length, boolean slow) throws IOException {
    try (Socket socket = new Socket()) {
      socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
      socket.connect(new InetSocketAddress("127.0.0.1", proxy.port));
      socket.setSoTimeout(60_000);
      socket.setTcpNoDelay(true);
      socket
          .getOutputStream()
          .write(
              Kit.bytes(
                  "POST /visit-log/" + length + " HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: r"
                      + length + "\r\nX-Priority-Class: visit-log\r\nX-Timeout-Ms: 1200\r\n"
                      + "Idempotency-Key: k" + length + "\r\nContent-Length: 2\r\n\r\nhi"));
      InputStream in = socket.getInputStream();
      String first = Kit.line(in);
      if (first == null || !first.contains(" 200")) {
        Kit.record("client of " + length + ": " + first);
        return -1; // refused or failed: a final answer
      }
      String field;
      do {
        field = Kit.line(in);
      } while (field != null && !field.isEmpty());
      byte[] part = new byte[BYTES_PER_SECOND / 20];
      int received = 0;
      double next = Kit.now();
      try {
        int count;
        while (received < length
            && (count = in.read(part, 0, Math.min(part.length, length - received))) >= 0) {
          received += count;
          next += 1000.0 * count / BYTES_PER_SECOND;
          if (slow) {
            Kit.sleep(next - Kit.now());
          }
        }
      } catch (IOException e) {
        Kit.record("client of " + length + ": " + e);
      }
      return received;
    }
  }

  private static boolean run(boolean trouble) throws Exception {
    Kit.Discovery discovery = new Kit.Discovery();
    for (int i = 0; i < HOSTS; i++) {
      discovery.put("s-" + i, "127.0.0.1:" + host().getLocalPort(), 0, "up");
    }
    Kit.Proxy proxy =
        Kit.start(
            "n0",
            discovery.address(),
            discovery.list(-1),
            Kit.settings("automatic", 0, 1),
            Kit.LIMITS);
    proxy.awaitReady();
    Kit.sleep(1_000);
    AtomicInteger whole = new AtomicInteger();
    AtomicInteger refused = new AtomicInteger();
    AtomicInteger cut = new AtomicInteger();
    CountDownLatch done = new CountDownLatch(CLIENTS);
    for (int i = 0; i < CLIENTS; i++) {
      int length = LEAST_BYTES + i * STEP_BYTES;
      Kit.daemon(
          () -> {
            try {
              int received = ask(proxy, length, trouble);
              (received < 0 ? refused : received == length ? whole : cut).incrementAndGet();
              if (received >= 0 && received < length) {
                Kit.say("an answer of " + length + " bytes ended after " + received + ": BROKEN");
              } else {
                Kit.record("client of " + length + " received " + received);
              }
            } catch (IOException e) {
              Kit.say("client of " + length + ": " + e);
            }
            done.countDown();
          });
      Kit.sleep(20);
    }
    done.await(95, TimeUnit.SECONDS);
    Kit.say("answers that the hosts gave whole " + GIVEN + ", that clients got whole " + whole
        + ", cut " + cut + ", refused or failed " + refused);
    if (GIVEN.get() < CLIENTS / 2) {
      throw new Kit.CannotRun("too few answers");
    }
    return cut.get() == 0;
  }
}
