package leadferry.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import leadferry.soak.RequestRecord.Outcome;

/**
 * A client of the protocol page: one request at a time, connections kept while they stay open, a
 * request that crosses the close of an idle connection sent once more on a new one.
 */
final class SoakClient implements Runnable {
  private static final int CONNECT_MS = 3_000;
  private static final int PAST_DEADLINE_MS = 1_000;
  private static final double LEAVES_SHARE = 0.5;

  /** How clients act. */
  record Profile(
      double thinkMs,
      double newConnectionShare,
      double disconnectShare,
      int unsafeDeadlineMs,
      int keyedDeadlineMs) {}

  /**
   * What a client must know of the proxy's process: the platform starts and stops the two together.
   */
  interface Target {
    /** Whether a client may open a connection now. */
    boolean canConnect();

    /** Whether the run goes on. */
    boolean isRunning();

    int port();
  }

  private final String name;
  private final int proxy;
  private final Profile habits;
  private final Target target;
  private final SoakHistory history;
  private final Random random;
  private Socket socket;

  SoakClient(
      String name, int proxy, Profile habits, Target target, SoakHistory history, long seed) {
    this.name = name;
    this.proxy = proxy;
    this.habits = habits;
    this.target = target;
    this.history = history;
    this.random = new Random(seed);
  }

  @Override
  public void run() {
    try {
      for (int number = 0; target.isRunning(); number++) {
        Thread.sleep((long) (-Math.log(1 - random.nextDouble()) * habits.thinkMs()));
        if (random.nextDouble() < habits.newConnectionShare()) {
          hangUp();
        }
        if (socket == null && !target.canConnect()) {
          continue;
        }
        ask(name + "-" + number);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      hangUp();
    }
  }

  private void ask(String id) throws InterruptedException {
    boolean unsafe = random.nextBoolean();
    int deadlineMs = unsafe ? habits.unsafeDeadlineMs() : habits.keyedDeadlineMs();
    boolean leaves = random.nextDouble() < habits.disconnectShare();
    long leaveAfterMs = (long) (random.nextDouble() * LEAVES_SHARE * deadlineMs);
    boolean kept = socket != null;
    RequestRecord seen = attempt(id, unsafe, deadlineMs, leaves ? leaveAfterMs : -1, 0);
    if (kept
        && seen != null
        && seen.outcome() == Outcome.NO_RESPONSE
        && seen.detail().startsWith("closed")) {
      long resentAt = System.nanoTime();
      seen = attempt(id, unsafe, deadlineMs, -1, resentAt);
    }
    if (seen != null) {
      history.add(seen);
    }
  }

  /** One exchange; null if no connection came up, so that nothing was taken. */
  private RequestRecord attempt(
      String id, boolean unsafe, int deadlineMs, long leaveAfterMs, long resentAt)
      throws InterruptedException {
    try {
      if (socket == null) {
        socket = connect();
      }
    } catch (IOException e) {
      socket = null;
      return null;
    }
    long sentAt = 0;
    try {
      socket
          .getOutputStream()
          .write(request(id, unsafe, deadlineMs).getBytes(StandardCharsets.ISO_8859_1));
      sentAt = System.nanoTime();
      if (leaveAfterMs >= 0) {
        Thread.sleep(leaveAfterMs);
        long leftAt = System.nanoTime();
        hangUp();
        return new RequestRecord(
            id,
            proxy,
            unsafe,
            deadlineMs,
            sentAt,
            0,
            leftAt,
            Outcome.CLIENT_DISCONNECTED,
            resentAt,
            "left");
      }
      socket.setSoTimeout(deadlineMs + PAST_DEADLINE_MS);
      HttpMessage response = HttpMessage.read(socket.getInputStream(), () -> {});
      long endedAt = System.nanoTime();
      if (response == null) {
        return ended(id, unsafe, deadlineMs, sentAt, Outcome.NO_RESPONSE, resentAt, "closed");
      }
      if (response.hasConnectionClose()) {
        hangUp();
      }
      return judged(id, unsafe, deadlineMs, sentAt, endedAt, response, resentAt);
    } catch (HttpMessage.TruncatedException e) {
      return ended(
          id, unsafe, deadlineMs, sentAt, Outcome.TRUNCATED, resentAt, "cut: " + e.getMessage());
    } catch (SocketTimeoutException e) {
      return ended(
          id, unsafe, deadlineMs, sentAt, Outcome.NO_RESPONSE, resentAt, "silent past its time");
    } catch (IOException e) {
      return ended(
          id,
          unsafe,
          deadlineMs,
          sentAt,
          Outcome.NO_RESPONSE,
          resentAt,
          "closed: " + e.getMessage());
    }
  }

  private RequestRecord judged(
      String id,
      boolean unsafe,
      int deadlineMs,
      long sentAt,
      long endedAt,
      HttpMessage response,
      long resentAt) {
    Outcome outcome =
        switch (response.status()) {
          case 200 -> Outcome.SERVED;
          case 429, 503 -> Outcome.REFUSED;
          default -> Outcome.FAILED;
        };
    boolean foreign = outcome == Outcome.SERVED && !response.body().equals(id);
    String detail =
        foreign ? "foreign answer: " + response.body() : Integer.toString(response.status());
    return new RequestRecord(
        id, proxy, unsafe, deadlineMs, sentAt, endedAt, 0, outcome, resentAt, detail);
  }

  private RequestRecord ended(
      String id,
      boolean unsafe,
      int deadlineMs,
      long sentAt,
      Outcome outcome,
      long resentAt,
      String detail) {
    long now = System.nanoTime();
    hangUp();
    return new RequestRecord(
        id, proxy, unsafe, deadlineMs, sentAt, now, 0, outcome, resentAt, detail);
  }

  private static String request(String id, boolean unsafe, int deadlineMs) {
    String requestClass = unsafe ? "claim" : "log";
    return "POST /"
        + requestClass
        + "/1 HTTP/1.1\r\nHost: api\r\nX-Request-ID: "
        + id
        + "\r\nX-Priority-Class: "
        + requestClass
        + "\r\nX-Timeout-Ms: "
        + deadlineMs
        + "\r\n"
        + (unsafe ? "" : "Idempotency-Key: " + id + "\r\n")
        + "Content-Length: 0\r\n\r\n";
  }

  private Socket connect() throws IOException {
    Socket fresh = new Socket();
    fresh.setTcpNoDelay(true);
    try {
      fresh.connect(
          new InetSocketAddress(InetAddress.getLoopbackAddress(), target.port()), CONNECT_MS);
    } catch (IOException e) {
      fresh.close();
      throw e;
    }
    return fresh;
  }

  private void hangUp() {
    if (socket != null) {
      try {
        socket.close();
      } catch (IOException e) {
        // gone already
      }
      socket = null;
    }
  }
}
