import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Bad clients send most of a request and stay. Requests of the usual clients still have to get their final answer within
 * their time and half a second.
 */
final class PausedBody {
  private static final int HOSTS = 10;
  private static final int CLIENTS = 120;
  private static final int RATE = 240;
  private static final int BODY = 48_000;
  private static final int BAD = 106;
  private static final int BAD_BODY = 65_536;
  private static final int SECONDS = 24;

  /** Half a second of STANDING.md, and the 50 ms by which each time limit is longer. */
  private static final double SLACK_MILLIS = 500 + 50;

  private final Lab lab;
  private final AtomicInteger sent = new AtomicInteger();
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger refused = new AtomicInteger();
  private final AtomicInteger failed = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();
  private final AtomicInteger notTaken = new AtomicInteger();
  private final AtomicInteger crossed = new AtomicInteger();
  private volatile double worst;
  private volatile boolean ended;

  private PausedBody(Lab lab) {
    this.lab = lab;
  }

  public static void main(String[] arguments) {
    Lab.main(arguments[0], lab -> new PausedBody(lab).run());
  }

  private boolean run() throws Exception {
    Discovery discovery = new Discovery(lab);
    for (int i = 0; i < HOSTS; i++) {
      discovery.hosts.add(
          new Host(
              lab,
              "s-" + i,
              3,
              (host, request) -> {
                Thread.sleep(ThreadLocalRandom.current().nextInt(94, 170));
                return Host.served(request.header("X-Request-ID"));
              }));
    }
    Settings settings = new Settings();
    settings.memoryMb = 96;
    settings.sockets = 512;
    Lab.Proxy proxy = lab.proxy("n0");
    proxy.writeConfig(settings.config(proxy, discovery));
    proxy.start();
    for (int i = 0; i < CLIENTS; i++) {
      int number = i;
      lab.threads.submit(() -> client(proxy.port, number));
    }
    for (int second = 0; second < SECONDS; second++) {
      if (Lab.trouble() && second % 6 == 3) {
        lab.record("%d bad clients send most of a request and stay", BAD);
        for (int i = 0; i < BAD; i++) {
          lab.threads.submit(() -> bad(proxy.port));
        }
      }
      Thread.sleep(1_000);
    }
    ended = true;
    Thread.sleep(6_000);
    lab.say(
        "%d requests: %d served, %d refused, %d failed, %d closed unanswered, %d not judged, %d LOST, the latest answer %.0f ms after its client's time",
        sent.get(), served.get(), refused.get(), failed.get(), crossed.get(), notTaken.get(), lost.get(), worst);
    return lost.get() == 0;
  }

  private void bad(int port) {
    double begun = lab.now();
    try (Socket socket = Lab.connect(port)) {
      socket.setSoTimeout(6_000);
      socket.getOutputStream().write(
          Lab.bytes("POST /visit-claim HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: bad" + System.nanoTime()
              + "\r\nX-Timeout-Ms: 800\r\nContent-Length: " + BAD_BODY + "\r\n\r\n"));
      socket.getOutputStream().write(new byte[BAD_BODY - 536]);
      Http.Message answer = Http.read(socket.getInputStream());
      lab.record("bad client got %s after %.0f ms", answer == null ? "a close" : answer.status(), lab.now() - begun);
    } catch (IOException e) {
      lab.record("bad client got %s after %.0f ms", e, lab.now() - begun);
    }
  }

  private void client(int port, int number) {
    int count = 0;
    double period = 1e3 * CLIENTS / RATE;
    double next = lab.now() + ThreadLocalRandom.current().nextDouble(period);
    while (!ended) {
      try (Socket socket = Lab.connect(port)) {
        socket.setSoTimeout(8_000);
        BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
        boolean open = true;
        while (open && !ended) {
          Thread.sleep((long) Math.max(0, next - lab.now()));
          next = Math.max(next + period, lab.now());
          open = ask(socket, in, String.format("%08x%08x", number, count++));
        }
      } catch (IOException e) {
        crossed.incrementAndGet();
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private static boolean hasAnswerWithin(Socket socket, BufferedInputStream in, int millis) throws IOException {
    socket.setSoTimeout(millis);
    in.mark(1);
    try {
      in.read();
      in.reset();
      return true;
    } catch (SocketTimeoutException e) {
      return false;
    } finally {
      socket.setSoTimeout(8_000);
    }
  }

  /** Sends a request and reads its answer; returns whether the connection stays open. */
  private boolean ask(Socket socket, BufferedInputStream in, String id) throws IOException {
    boolean isClaim = ThreadLocalRandom.current().nextInt(10) < 7;
    int timeout = isClaim ? 440 : 660; // 55% of the time after which the class is given up
    byte[] head =
        Lab.bytes(
            "POST /" + (isClaim ? "visit-claim" : "visit-log") + " HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: " + id
                + (isClaim ? "" : "\r\nIdempotency-Key: k" + id) + "\r\nX-Timeout-Ms: " + timeout + "\r\nContent-Length: " + BODY + "\r\n\r\n");
    byte[] whole = java.util.Arrays.copyOf(head, head.length + BODY);
    socket.getOutputStream().write(whole);
    double writtenAt = lab.now();
    sent.incrementAndGet();
    double takenAt = writtenAt;
    if (!hasAnswerWithin(socket, in, 200)) {
      // The time counts from here, where the proxy's machine has surely acknowledged the last byte.
      takenAt = lab.isAcknowledged(socket.getLocalPort()) ? lab.now() : Double.NaN;
    }
    Http.Message answer = Http.read(in);
    double late = lab.now() - takenAt - timeout;
    if (answer == null) {
      crossed.incrementAndGet();
      return false;
    }
    int status = answer.status();
    (status == 200 ? served : status == 503 || status == 429 ? refused : failed).incrementAndGet();
    if (late > SLACK_MILLIS) {
      lost.incrementAndGet();
      worst = Math.max(worst, late);
      lab.record(
          "client %s LOST: got %d %.0f ms after it wrote its last byte, %.0f ms after the proxy's machine surely had it; its time was %d ms",
          id, status, lab.now() - writtenAt, lab.now() - takenAt, timeout);
    } else if (Double.isNaN(late)) {
      notTaken.incrementAndGet();
    }
    return !"close".equalsIgnoreCase(answer.header("Connection"));
  }
}
