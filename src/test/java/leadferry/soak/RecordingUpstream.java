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

/** An upstream host that records each attempt and can be switched to a faulty behaviour. */
final class RecordingUpstream implements AutoCloseable {
  /** What an upstream does with the requests that it receives. */
  enum Behaviour {
    HEALTHY,
    /** Reads requests and never responds. */
    HANG,
    /** Responds with status 500. */
    FAIL,
    /** Rejects requests as not processed, without running them. */
    REJECT,
    /** Resets the connection after it received the complete request. */
    RESET,
    /** Closes the connection after each response. */
    CLOSE_AFTER_RESPONSE,
    /** Sends a response without its last two bytes and closes the connection. */
    TRUNCATE_RESPONSE,
    /**
     * Records the request as run and rejects it as not processed. No seed selects this behaviour;
     * it shows that the judge finds duplicates.
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
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
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

  void setBehaviour(Behaviour newBehaviour) {
    behaviour = newBehaviour;
  }

  /** Returns the entry of this upstream in an endpoint list, with this state. */
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
        connections.add(socket);
        threads.execute(() -> serve(socket));
      } catch (IOException e) {
        return; // the listener was closed
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      while (true) {
        long[] startedAtNanos = new long[1];
        HttpMessage request =
            HttpMessage.read(socket.getInputStream(), () -> startedAtNanos[0] = System.nanoTime());
        if (request == null || !respond(socket, request, startedAtNanos[0])) {
          return;
        }
      }
    } catch (IOException e) {
      // the proxy or the end of the run closed the connection
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      connections.remove(socket);
    }
  }

  /** Responds to a request; returns whether the connection stays open. */
  private boolean respond(Socket socket, HttpMessage request, long startedAtNanos)
      throws IOException, InterruptedException {
    String id = request.header("x-request-id");
    Behaviour current = behaviour;
    if (id == null) {
      write(socket, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
      return true;
    }
    String timeout = request.header("x-timeout-ms");
    long timeoutMs = timeout == null ? 0 : Long.parseLong(timeout);
    history.add(
        new AttemptRecord(
            id, name, startedAtNanos, System.nanoTime(), timeoutMs, current != Behaviour.REJECT));
    if (current == Behaviour.HANG) {
      return true;
    }
    if (current == Behaviour.REJECT || current == Behaviour.REJECT_AFTER_RUN) {
      write(socket, "HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n");
      return true;
    }
    Thread.sleep((long) Math.max(1, serviceMs * (0.5 + random.nextDouble())));
    return writeResponse(socket, id, current);
  }

  private boolean writeResponse(Socket socket, String id, Behaviour current) throws IOException {
    String response = "HTTP/1.1 200 OK\r\nContent-Length: " + id.length() + "\r\n\r\n" + id;
    switch (current) {
      case FAIL -> write(socket, "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n");
      case RESET -> socket.setSoLinger(true, 0);
      case TRUNCATE_RESPONSE -> write(socket, response.substring(0, response.length() - 2));
      default -> write(socket, response);
    }
    return current == Behaviour.HEALTHY || current == Behaviour.FAIL;
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Ends the upstream: closes its connections and refuses new ones. */
  @Override
  public void close() {
    try {
      listener.close();
      for (Socket socket : connections) {
        socket.close();
      }
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }
}
