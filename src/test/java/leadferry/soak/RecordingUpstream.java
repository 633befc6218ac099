package leadferry.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;

/** An upstream host that records each attempt, and misbehaves as it is told. */
final class RecordingUpstream implements AutoCloseable {
  /** What it does with the requests that come. */
  enum Behaviour {
    HEALTHY,
    /** Reads and never answers. */
    HANG,
    /** Answers 500. */
    FAIL,
    /** Turns away unseen. */
    REJECT,
    /** Resets the connection once the request has come whole. */
    RESET,
    /** Closes each connection right behind an answer. */
    CLOSE_AFTER_RESPONSE,
    /** Sends half of an answer and closes. */
    TRUNCATE_RESPONSE,
    /**
     * Runs the request and says that it did not: never drawn, it shows that the judge finds
     * duplicates.
     */
    REJECT_AFTER_RUN
  }

  private final String name;
  private final long startedUnixMs;
  private final double serviceMs;
  private final ServerSocket listener;
  private final SoakHistory history;
  private final ExecutorService threads;
  private final Random random;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private volatile Behaviour behaviour = Behaviour.HEALTHY;

  RecordingUpstream(
      String name,
      long startedUnixMs,
      double serviceMs,
      SoakHistory history,
      ExecutorService threads,
      long seed)
      throws IOException {
    this.name = name;
    this.startedUnixMs = startedUnixMs;
    this.serviceMs = serviceMs;
    this.history = history;
    this.threads = threads;
    this.random = new Random(seed);
    this.listener = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
    threads.execute(this::accept);
  }

  String name() {
    return name;
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  void setBehaviour(Behaviour next) {
    behaviour = next;
  }

  /** Its entry in a list of the discovery's, in this state. */
  String endpointJson(String state) {
    return "{\"id\":\""
        + name
        + "\",\"addr\":\""
        + address()
        + "\",\"zone\":\"z\",\"kind\":\"k\",\"cell\":1,\"state\":\""
        + state
        + "\",\"weight\":1.0,\"started_ms\":"
        + startedUnixMs
        + "}";
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        open.add(socket);
        threads.execute(() -> serve(socket));
      } catch (IOException e) {
        return; // closed
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      while (true) {
        long[] begun = new long[1];
        HttpMessage request =
            HttpMessage.read(socket.getInputStream(), () -> begun[0] = System.nanoTime());
        if (request == null || !answer(socket, request, begun[0])) {
          return;
        }
      }
    } catch (IOException e) {
      // the proxy, or the end of the run, has closed it
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      open.remove(socket);
    }
  }

  /** Whether the connection goes on. */
  private boolean answer(Socket socket, HttpMessage request, long begunAt)
      throws IOException, InterruptedException {
    String id = request.header("x-request-id");
    Behaviour now = behaviour;
    if (id == null) {
      write(socket, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
      return true;
    }
    String told = request.header("x-timeout-ms");
    long toldMs = told == null ? 0 : Long.parseLong(told);
    history.add(
        new AttemptRecord(id, name, begunAt, System.nanoTime(), toldMs, now != Behaviour.REJECT));
    if (now == Behaviour.HANG) {
      return true;
    }
    if (now == Behaviour.REJECT || now == Behaviour.REJECT_AFTER_RUN) {
      write(socket, "HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n");
      return true;
    }
    Thread.sleep((long) Math.max(1, serviceMs * (0.5 + random.nextDouble())));
    return finish(socket, id, now);
  }

  private boolean finish(Socket socket, String id, Behaviour now) throws IOException {
    String whole = "HTTP/1.1 200 OK\r\nContent-Length: " + id.length() + "\r\n\r\n" + id;
    switch (now) {
      case FAIL -> write(socket, "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n");
      case RESET -> socket.setSoLinger(true, 0);
      case TRUNCATE_RESPONSE -> write(socket, whole.substring(0, whole.length() - 2));
      default -> write(socket, whole);
    }
    return now == Behaviour.HEALTHY || now == Behaviour.FAIL;
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** The process is gone: connections are reset and new ones refused. */
  @Override
  public void close() {
    try {
      listener.close();
      for (Socket socket : open) {
        socket.close();
      }
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }
}
