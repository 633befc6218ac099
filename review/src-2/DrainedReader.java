import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An operator sends clients away. In the next 0.4 s each client asks once more on the connection
 * that it has, for an answer of 4.5 to 6 MB, and reads it at 400 kB a second, steadily. The hosts
 * give each answer whole and as fast as the client proxy takes it.
 */
public final class DrainedReader {
  private static final int CLIENTS = 120;
  private static final int LEAST_BYTES = 4_500_000;
  private static final int STEP_BYTES = 12_800;
  private static final int BYTES_PER_SECOND = 400_000;
  private static final int RECEIVE_BUFFER_BYTES = 65_536;
  private static final int HOSTS = 6;
  private static final int PROXIES = 3;

  private static final AtomicInteger GIVEN = new AtomicInteger();

  public static void main(String[] args) {
    Kit.main(args, DrainedReader::run);
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

  /** Returns the bytes of a keyed request for an answer of this length. */
  private static byte[] request(String id, int length) {
    return Kit.bytes(
        "POST /visit-log/" + length + " HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: " + id
            + "\r\nX-Priority-Class: visit-log\r\nX-Timeout-Ms: 1200\r\nIdempotency-Key: k" + id
            + "\r\nContent-Length: 2\r\n\r\nhi");
  }

  /** Returns the number of bytes of the answer's body that came before the connection ended. */
  private static int ask(Kit.Proxy proxy, int length, double pauseMillis, CountDownLatch drained)
      throws Exception {
    try (Socket socket = new Socket()) {
      socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
      socket.connect(new InetSocketAddress("127.0.0.1", proxy.port));
      socket.setSoTimeout(60_000);
      socket.setTcpNoDelay(true);
      InputStream in = socket.getInputStream();
      socket.getOutputStream().write(request("a" + length, 5));
      Kit.Message small = Kit.read(in);
      if (small == null || !small.first().contains(" 200")) {
        throw new IOException("the first request was not served");
      }
      drained.await();
      Kit.sleep(pauseMillis);
      socket.getOutputStream().write(request("b" + length, length));
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
          Kit.sleep(next - Kit.now());
        }
      } catch (IOException e) {
        Kit.record("client of " + length + ": " + e);
      }
      return received;
    }
  }

  /** Counts of a run. */
  private static final AtomicInteger WHOLE = new AtomicInteger();

  private static final AtomicInteger REFUSED = new AtomicInteger();
  private static final AtomicInteger CUT = new AtomicInteger();

  private static boolean run(boolean trouble) throws Exception {
    Kit.Discovery discovery = new Kit.Discovery();
    for (int i = 0; i < HOSTS; i++) {
      discovery.put("s-" + i, "127.0.0.1:" + host().getLocalPort(), 0, "up");
    }
    List<Kit.Proxy> proxies = new ArrayList<>();
    List<String> managements = new ArrayList<>();
    for (int i = 0; i < PROXIES; i++) {
      managements.add("127.0.0.1:" + Kit.freePort());
      proxies.add(
          Kit.start(
              "n" + i,
              discovery.address(),
              discovery.list(-1),
              Kit.settings("automatic", i, PROXIES),
              Kit.LIMITS,
              managements.get(i)));
    }
    for (Kit.Proxy proxy : proxies) {
      proxy.awaitReady();
    }
    Kit.sleep(1_000);
    for (int i = 0; i < PROXIES; i++) {
      drain(proxies.get(i), managements.get(i), trouble);
    }
    Kit.say("answers that the hosts gave whole " + GIVEN + ", that clients got whole " + WHOLE
        + ", cut " + CUT + ", refused or failed " + REFUSED);
    if (WHOLE.get() + CUT.get() < PROXIES * CLIENTS / 2) {
      throw new Kit.CannotRun("too few answers");
    }
    return CUT.get() == 0;
  }

  /** Drains one client proxy, whose clients then ask once more. */
  private static void drain(Kit.Proxy proxy, String management, boolean trouble) throws Exception {
    CountDownLatch drained = new CountDownLatch(1);
    CountDownLatch done = new CountDownLatch(CLIENTS);
    for (int i = 0; i < CLIENTS; i++) {
      int length = LEAST_BYTES + i * STEP_BYTES;
      double pauseMillis = 400.0 * i / CLIENTS;
      Kit.daemon(
          () -> {
            try {
              int received = ask(proxy, length, pauseMillis, drained);
              (received < 0 ? REFUSED : received == length ? WHOLE : CUT).incrementAndGet();
              if (received >= 0 && received < length) {
                Kit.say("an answer of " + length + " bytes ended after " + received + ": BROKEN");
              } else {
                Kit.record("client of " + length + " received " + received);
              }
            } catch (Exception e) {
              Kit.record("client of " + length + ": " + e);
            }
            done.countDown();
          });
      Kit.sleep(5);
    }
    Kit.sleep(300);
    if (trouble) {
      String host = management.split(":")[0];
      try (Socket operator = new Socket(host, Integer.parseInt(management.split(":")[1]))) {
        operator
            .getOutputStream()
            .write(Kit.bytes("PUT /v1/client-proxy/drain HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"));
        Kit.Message answer = Kit.read(new BufferedInputStream(operator.getInputStream()));
        if (answer == null || !answer.first().contains(" 200")) {
          throw new Kit.CannotRun("the drain was not taken");
        }
      }
      Kit.say("clients are sent away");
    }
    drained.countDown();
    done.await(30, TimeUnit.SECONDS);
  }
}
