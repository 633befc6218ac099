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
 * A client that follows the protocol page. It sends one request at a time and keeps its connection
 * open between requests. If the proxy closes the idle connection while a request is on its way, the
 * client sends the request once more on a new connection.
 */
final class SoakClient implements Runnable {
  private static final int CONNECT_MS = 3_000;
  private static final int READ_MARGIN_MS = 1_000;
  private static final double MAX_DISCONNECT_SHARE = 0.5;

  /**
   * How clients act.
   *
   * @param thinkMs the mean time in milliseconds before a request
   * @param newConnectionShare the share of requests before which the client closes its connection
   * @param disconnectShare the share of requests whose client disconnects before the response
   * @param unsafeDeadlineMs the deadline in milliseconds of requests that must not run twice
   * @param keyedDeadlineMs the deadline in milliseconds of requests with an idempotency key
   * @param onlyUnsafe whether all requests must not run twice, and not just half of them
   */
  record Profile(
      double thinkMs,
      double newConnectionShare,
      double disconnectShare,
      int unsafeDeadlineMs,
      int keyedDeadlineMs,
      boolean onlyUnsafe) {
    /** Returns this profile with requests that must not run twice only. */
    Profile withOnlyUnsafe() {
      return new Profile(
          thinkMs, newConnectionShare, disconnectShare, unsafeDeadlineMs, keyedDeadlineMs, true);
    }
  }

  /**
   * What a client knows about its proxy process, because the platform starts and stops both
   * together.
   */
  interface Target {
    /** Returns whether a client may open a connection now. */
    boolean canConnect();

    /** Returns whether the run still goes on. */
    boolean isRunning();

    int port();
  }

  private final String name;
  private final int proxy;
  private final Profile profile;
  private final Target target;
  private final SoakHistory history;
  private final Random random;
  private Socket socket;

  SoakClient(
      String name, int proxy, Profile profile, Target target, SoakHistory history, long seed) {
    this.name = name;
    this.proxy = proxy;
    this.profile = profile;
    this.target = target;
    this.history = history;
    this.random = new Random(seed);
  }

  @Override
  public void run() {
    try {
      for (int number = 0; target.isRunning(); number++) {
        Thread.sleep((long) (-Math.log(1 - random.nextDouble()) * profile.thinkMs()));
        if (random.nextDouble() < profile.newConnectionShare()) {
          closeConnection();
        }
        if (socket == null && !target.canConnect()) {
          continue;
        }
        sendRequest(name + "-" + number);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      closeConnection();
    }
  }

  private void sendRequest(String id) throws InterruptedException {
    boolean unsafe = random.nextBoolean() || profile.onlyUnsafe();
    int deadlineMs = unsafe ? profile.unsafeDeadlineMs() : profile.keyedDeadlineMs();
    boolean disconnects = random.nextDouble() < profile.disconnectShare();
    long disconnectAfterMs = (long) (random.nextDouble() * MAX_DISCONNECT_SHARE * deadlineMs);
    boolean isReused = socket != null;
    RequestRecord result = attempt(id, unsafe, deadlineMs, disconnects ? disconnectAfterMs : -1, 0);
    if (isReused
        && result != null
        && result.outcome() == Outcome.NO_RESPONSE
        && result.detail().startsWith("closed")) {
      long resentAtNanos = System.nanoTime();
      result = attempt(id, unsafe, deadlineMs, -1, resentAtNanos);
    }
    if (result != null) {
      history.add(result);
    }
  }

  /**
   * Sends a request and reads its response; returns null if no connection could be established, in
   * which case nothing was sent.
   */
  private RequestRecord attempt(
      String id, boolean unsafe, int deadlineMs, long disconnectAfterMs, long resentAtNanos)
      throws InterruptedException {
    try {
      if (socket == null) {
        socket = connect();
      }
    } catch (IOException e) {
      socket = null;
      return null;
    }
    long sentAtNanos = 0;
    try {
      socket
          .getOutputStream()
          .write(request(id, unsafe, deadlineMs).getBytes(StandardCharsets.ISO_8859_1));
      sentAtNanos = System.nanoTime();
      if (disconnectAfterMs >= 0) {
        Thread.sleep(disconnectAfterMs);
        long disconnectedAtNanos = System.nanoTime();
        closeConnection();
        return new RequestRecord(
            id,
            proxy,
            unsafe,
            deadlineMs,
            sentAtNanos,
            0,
            disconnectedAtNanos,
            Outcome.CLIENT_DISCONNECTED,
            resentAtNanos,
            "client disconnected");
      }
      socket.setSoTimeout(deadlineMs + READ_MARGIN_MS);
      HttpMessage response = HttpMessage.read(socket.getInputStream(), () -> {});
      long endedAtNanos = System.nanoTime();
      if (response == null) {
        return incomplete(
            id, unsafe, deadlineMs, sentAtNanos, Outcome.NO_RESPONSE, resentAtNanos, "closed");
      }
      if (response.hasConnectionClose()) {
        closeConnection();
      }
      return completed(id, unsafe, deadlineMs, sentAtNanos, endedAtNanos, response, resentAtNanos);
    } catch (HttpMessage.TruncatedException e) {
      return incomplete(
          id,
          unsafe,
          deadlineMs,
          sentAtNanos,
          Outcome.TRUNCATED,
          resentAtNanos,
          "truncated: " + e.getMessage());
    } catch (SocketTimeoutException e) {
      return incomplete(
          id,
          unsafe,
          deadlineMs,
          sentAtNanos,
          Outcome.NO_RESPONSE,
          resentAtNanos,
          "timed out: no response");
    } catch (IOException e) {
      return incomplete(
          id,
          unsafe,
          deadlineMs,
          sentAtNanos,
          Outcome.NO_RESPONSE,
          resentAtNanos,
          "closed: " + e.getMessage());
    }
  }

  private RequestRecord completed(
      String id,
      boolean unsafe,
      int deadlineMs,
      long sentAtNanos,
      long endedAtNanos,
      HttpMessage response,
      long resentAtNanos) {
    Outcome outcome =
        switch (response.status()) {
          case 200 -> Outcome.SERVED;
          case 429, 503 -> Outcome.REFUSED;
          default -> Outcome.FAILED;
        };
    boolean isForeign = outcome == Outcome.SERVED && !response.body().equals(id);
    String detail =
        isForeign ? "foreign response: " + response.body() : Integer.toString(response.status());
    return new RequestRecord(
        id,
        proxy,
        unsafe,
        deadlineMs,
        sentAtNanos,
        endedAtNanos,
        0,
        outcome,
        resentAtNanos,
        detail);
  }

  private RequestRecord incomplete(
      String id,
      boolean unsafe,
      int deadlineMs,
      long sentAtNanos,
      Outcome outcome,
      long resentAtNanos,
      String detail) {
    long endedAtNanos = System.nanoTime();
    closeConnection();
    return new RequestRecord(
        id,
        proxy,
        unsafe,
        deadlineMs,
        sentAtNanos,
        endedAtNanos,
        0,
        outcome,
        resentAtNanos,
        detail);
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
    Socket newSocket = new Socket();
    newSocket.setTcpNoDelay(true);
    try {
      newSocket.connect(
          new InetSocketAddress(InetAddress.getLoopbackAddress(), target.port()), CONNECT_MS);
    } catch (IOException e) {
      newSocket.close();
      throw e;
    }
    return newSocket;
  }

  private void closeConnection() {
    if (socket != null) {
      try {
        socket.close();
      } catch (IOException e) {
        // already closed
      }
      socket = null;
    }
  }
}
