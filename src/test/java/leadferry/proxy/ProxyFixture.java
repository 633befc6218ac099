package leadferry.proxy;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import leadferry.engine.LineLog;
import leadferry.engine.Log;

/**
 * Runs a client proxy between upstream hosts, a discovery server and clients, all on loopback
 * sockets.
 */
public final class ProxyFixture implements AutoCloseable {
  /** Timeout of every wait; only a failing test reaches it. */
  public static final int TIMEOUT_MILLIS = 20_000;

  private final List<Server> servers = new CopyOnWriteArrayList<>();
  private final Path configFile;
  private final int sockets;
  int aimMillis = 400;
  int deadlineMillis = 3_000;
  int repeatWindowMillis = 2_000;
  int drainGraceMillis = 500;

  /**
   * Time within which discovery has to be polled again, with four times as much after a failure.
   */
  int askWithinMillis = 6_000;

  int listenPort;
  int seed = 7;

  /** Memory limit (MB); the part above 92 MB is for bodies. */
  int memoryMegabytes = 128;

  /** Whether the settings allow attempts to be cancelled. */
  boolean allowsCancel = true;

  boolean allowsParallelAttempts = true;

  /** Time within which a connection to a host has to be established. */
  int connectTimeoutMillis = 500;

  /** Time for which hosts keep an idle connection. */
  int connectionIdleMillis = 60_000;

  /** Whether the load balancer polls discovery; otherwise discovery is an agent that pushes. */
  boolean pollsDiscovery;

  /** Peer addresses, as keys of the configuration; empty if peer messages are disabled. */
  String peerSettings = "";

  OperatorState operatorState = new OperatorState();
  HotRestart hotRestart = HotRestart.disabled();
  Proxy proxy;

  public ProxyFixture(Path folder, int sockets) {
    this.configFile = folder.resolve("config.json");
    this.sockets = sockets;
  }

  /** Server with one thread per connection; a subclass serves the connections. */
  public abstract class Server {
    final ServerSocket listener;
    final List<Socket> acceptedSockets = new CopyOnWriteArrayList<>();

    Server() throws IOException {
      this(200, new CountDownLatch(0));
    }

    /**
     * Accepts no connection until {@code acceptGate} opens. Meanwhile, {@code backlog} connections
     * and one more can be established.
     */
    Server(int backlog, CountDownLatch acceptGate) throws IOException {
      listener = new ServerSocket(0, backlog, InetAddress.getLoopbackAddress());
      servers.add(this);
      runInBackground(
          () -> {
            acceptGate.await();
            while (true) {
              Socket socket = listener.accept();
              acceptedSockets.add(socket);
              runInBackground(() -> serve(socket));
            }
          });
    }

    int port() {
      return listener.getLocalPort();
    }

    public String address() {
      return "127.0.0.1:" + listener.getLocalPort();
    }

    abstract void serve(Socket socket) throws IOException, InterruptedException;
  }

  /**
   * Host that responds to each request with the result of {@code responder}; null sends no
   * response.
   */
  public class UpstreamHost extends Server {
    private final Function<String, String> responder;
    final List<String> requests = new CopyOnWriteArrayList<>();
    String kind = "k";
    int cell = 1;

    /**
     * Number of requests that arrived on a connection less than 5 ms after a response on it had
     * begun.
     */
    final AtomicInteger immediateReuses = new AtomicInteger();

    public UpstreamHost(Function<String, String> responder) throws IOException {
      this.responder = responder;
    }

    UpstreamHost(int backlog, CountDownLatch acceptGate, Function<String, String> responder)
        throws IOException {
      super(backlog, acceptGate);
      this.responder = responder;
    }

    /** Returns the number of connections accepted so far. */
    public int acceptedConnections() {
      return acceptedSockets.size();
    }

    public int immediateReuses() {
      return immediateReuses.get();
    }

    @Override
    void serve(Socket socket) throws IOException, InterruptedException {
      String request;
      long respondedAtNanos = System.nanoTime() - 1_000_000_000L;
      while ((request = readMessage(socket.getInputStream())) != null) {
        if (System.nanoTime() - respondedAtNanos < 5_000_000L) {
          immediateReuses.incrementAndGet();
        }
        requests.add(request);
        String response = responder.apply(request);
        if (response != null) {
          respondedAtNanos = System.nanoTime();
          write(socket, response);
        }
      }
    }
  }

  /**
   * Host that accepts no connection until {@link #startAccepting}; the kernel retries each connect
   * about once a second.
   */
  final class DelayedAcceptHost extends UpstreamHost {
    private final CountDownLatch acceptGate;
    private final List<Socket> backlogFillers = new ArrayList<>();

    DelayedAcceptHost(Function<String, String> responder) throws IOException {
      this(new CountDownLatch(1), responder);
    }

    private DelayedAcceptHost(CountDownLatch acceptGate, Function<String, String> responder)
        throws IOException {
      super(1, acceptGate, responder);
      this.acceptGate = acceptGate;
      boolean full = false;
      while (!full) {
        Socket socket = new Socket();
        try {
          socket.connect(new InetSocketAddress("127.0.0.1", port()), 300);
          backlogFillers.add(socket);
        } catch (java.net.SocketTimeoutException e) {
          full = true;
          socket.close();
        }
      }
    }

    /** Accepts connections from now on. */
    void startAccepting() throws IOException {
      acceptGate.countDown();
      for (Socket socket : backlogFillers) {
        socket.close();
      }
    }

    /** Returns the number of accepted connections, without those that filled the backlog. */
    int proxyConnections() {
      return acceptedSockets.size() - backlogFillers.size();
    }
  }

  /**
   * Host that resets a connection at the first request after the connection was idle for too long.
   */
  final class IdleResettingHost extends UpstreamHost {
    private final long idleMillis;

    IdleResettingHost(long idleMillis) throws IOException {
      super(h -> ok("served"));
      this.idleMillis = idleMillis;
    }

    @Override
    void serve(Socket socket) throws IOException {
      long idleSince = System.nanoTime();
      while (readMessage(socket.getInputStream()) != null) {
        if (System.nanoTime() - idleSince > idleMillis * 1_000_000L) {
          socket.setSoLinger(true, 0); // a reset
          socket.close();
          return;
        }
        write(socket, ok("served"));
        idleSince = System.nanoTime();
      }
    }
  }

  /** Discovery server with a fixed list, which can be watched. */
  final class DiscoveryServer extends Server {
    private final String endpointList;
    final List<String> requestedPaths = new CopyOnWriteArrayList<>();

    DiscoveryServer(int version, UpstreamHost... hosts) throws IOException {
      List<String> entries = new ArrayList<>();
      for (UpstreamHost host : hosts) {
        entries.add(
            "{\"id\":\"h"
                + host.listener.getLocalPort()
                + "\",\"addr\":\""
                + host.address()
                + "\",\"zone\":\"z\",\"kind\":\""
                + host.kind
                + "\",\"cell\":"
                + host.cell
                + ",\"state\":\"up\",\"weight\":1.0,"
                + "\"started_ms\":0}");
      }
      endpointList =
          "{\"version\":"
              + version
              + ",\"full\":true,\"servers\":["
              + String.join(",", entries)
              + "]}";
    }

    /** Returns the list in the JSON form of discovery. */
    String endpointList() {
      return endpointList;
    }

    @Override
    void serve(Socket socket) throws IOException {
      String request;
      while ((request = readMessage(socket.getInputStream())) != null) {
        String path = request.split(" ")[1];
        requestedPaths.add(path);
        if (path.contains("follow")) {
          write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
        } else {
          write(socket, ok(endpointList));
        }
      }
    }
  }

  /** Task of a background thread. */
  public interface Task {
    void run() throws IOException, InterruptedException;
  }

  /**
   * Runs the task on a new thread, until the task ends or the peer or the test closes its
   * connection.
   */
  public static void runInBackground(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException | InterruptedException e) {
                // The peer or the test has closed the connection.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  /** Writes the configuration file in the form that the platform uses. */
  Path writeConfig(String discovery, String known) throws IOException {
    return Files.writeString(
        configFile,
        "{\"name\":\"n0\",\"listen\":\"127.0.0.1:"
            + listenPort
            + "\",\"discovery\":\""
            + discovery
            + "\",\"seed\":\""
            + seed
            + "\",\"limits\":{\"memory_mb\":"
            + memoryMegabytes
            + ",\"sockets\":"
            + sockets
            + "},"
            + peerSettings
            + "\"known\":"
            + known
            + ",\"settings\":{\"classes\":["
            + "{\"name\":\"claim\",\"aim\":"
            + aimMillis
            + ",\"deadline\":"
            + deadlineMillis
            + ",\"semantics\":\"at_most_once\"},"
            + "{\"name\":\"log\",\"aim\":"
            + aimMillis
            + ",\"deadline\":"
            + deadlineMillis
            + ",\"semantics\":\"deduplicated\","
            + "\"keyScope\":\"cell\",\"repeatWindow\":"
            + repeatWindowMillis
            + "}],"
            + "\"limits\":{\"cancel\":"
            + allowsCancel
            + ",\"retryAfter\":true,\"parallelTries\":"
            + allowsParallelAttempts
            + ",\"maxAttempts\":3,"
            + "\"peers\":"
            + !peerSettings.isEmpty()
            + ",\"connIdle\":"
            + connectionIdleMillis
            + ",\"connectTimeout\":"
            + connectTimeoutMillis
            + "},"
            + "\"rules\":{\"cold\":1000,\"startCapacity\":1,\"fall\":1000,\"fallMultiple\":3,\"askWithin\":"
            + askWithinMillis
            + ",\"drainGrace\":"
            + drainGraceMillis
            + "},"
            + "\"membershipMode\":\""
            + (pollsDiscovery ? "subscribe" : "automatic")
            + "\","
            + ""
            + "\"report\":{\"how\":\"answers\"},\"balancers\":1}}");
  }

  /** Starts a discovery server and a client proxy with these hosts. */
  DiscoveryServer start(UpstreamHost... hosts) throws Exception {
    DiscoveryServer discovery = new DiscoveryServer(40, hosts);
    startWithDiscovery(discovery, hosts);
    return discovery;
  }

  /**
   * Starts a client proxy with this discovery server. The caller has to stop a proxy that already
   * runs.
   */
  void startWithDiscovery(DiscoveryServer discovery, UpstreamHost... hosts) throws Exception {
    startProxy(
        writeConfig(discovery.address(), discovery.endpointList),
        new LineLog(discardingStream(), false));
  }

  /** Starts a client proxy with this configuration file and this log. */
  void startProxy(Path configuration, Log log) throws Exception {
    proxy =
        new Proxy(
            Config.load(Map.of("BALANCER_CONFIG", configuration.toString())),
            operatorState,
            hotRestart,
            log);
    proxy.start();
  }

  /** Returns the number of requests that hosts have received so far. */
  int receivedRequests() {
    return servers.stream()
        .mapToInt(server -> server instanceof UpstreamHost host ? host.requests.size() : 0)
        .sum();
  }

  void reload() {
    proxy.reload(configFile.toString());
  }

  /** Returns a port on which nothing listens at the moment. */
  public static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  /** Returns the value of a header that the message has. */
  static String headerValue(String head, String name) {
    return head.split(name + ": ")[1].split("\r\n")[0];
  }

  static Log discardingLog() {
    return new LineLog(discardingStream(), false);
  }

  private static PrintStream discardingStream() {
    return new PrintStream(OutputStream.nullOutputStream(), true, StandardCharsets.UTF_8);
  }

  /** Returns the result of a task on the event loop of the proxy. */
  <T> T callOnLoop(Callable<T> task) {
    return proxy.loop().submit(task).syncUninterruptibly().getNow();
  }

  /** Returns the number of requests that are open in the proxy. */
  int openRequests() {
    return callOnLoop(() -> proxy.openRequests());
  }

  /** Returns the number of connections to hosts that are open or being opened. */
  int upstreamConnections() {
    return callOnLoop(() -> proxy.socketBudget().upstreamCount());
  }

  /** Drains the proxy as SIGTERM does; the future completes when the process would exit. */
  CompletableFuture<Void> drain() {
    proxy.drain();
    return CompletableFuture.runAsync(proxy::awaitEnd);
  }

  /** Returns the number of client connections that are open in the proxy. */
  int clientConnections() {
    return callOnLoop(() -> proxy.socketBudget().clientCount());
  }

  /**
   * Pauses the event loop of the proxy until the result is closed. All events that arrive meanwhile
   * are handled in one turn of the loop.
   */
  AutoCloseable pauseLoop() throws InterruptedException {
    CountDownLatch paused = new CountDownLatch(1);
    CountDownLatch release = new CountDownLatch(1);
    proxy
        .loop()
        .execute(
            () -> {
              paused.countDown();
              try {
                release.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
    paused.await();
    return release::countDown;
  }

  // --- clients

  Socket connectClient() throws IOException {
    Socket socket = new Socket();
    socket.connect(new InetSocketAddress("127.0.0.1", proxy.address().getPort()), TIMEOUT_MILLIS);
    socket.setSoTimeout(TIMEOUT_MILLIS);
    return socket;
  }

  /** Returns a request with an idempotency key. */
  static String keyedRequest(String id) {
    return "POST /log/1 HTTP/1.1\r\nHost: api\r\nX-Request-ID: "
        + id
        + "\r\nX-Priority-Class: log\r\nIdempotency-Key: "
        + id
        + "\r\nContent-Length: 0\r\n\r\n";
  }

  /** Returns a request that may not be repeated, with these additional header lines. */
  static String atMostOnceRequest(String id, String... lines) {
    return "POST /claim/1 HTTP/1.1\r\nHost: api\r\nX-Request-ID: "
        + id
        + "\r\nX-Priority-Class: claim\r\n"
        + (lines.length == 0 ? "Content-Length: 0\r\n" : String.join("\r\n", lines) + "\r\n")
        + "\r\n";
  }

  public static String ok(String body, String... lines) {
    String more = lines.length == 0 ? "" : String.join("\r\n", lines) + "\r\n";
    return "HTTP/1.1 200 OK\r\n" + more + "Content-Length: " + body.length() + "\r\n\r\n" + body;
  }

  public static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /**
   * Sends a request on a new connection; returns the complete response, or null if the connection
   * ended.
   */
  String sendRequest(String request) throws IOException {
    try (Socket socket = connectClient()) {
      write(socket, request);
      return readMessage(socket.getInputStream());
    }
  }

  /** Reads one message with its body; returns null at the end of the stream. */
  public static String readMessage(InputStream in) throws IOException {
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    String text;
    do {
      int next;
      try {
        next = in.read();
      } catch (java.net.SocketTimeoutException e) {
        throw e;
      } catch (IOException e) {
        return null; // reset
      }
      if (next < 0) {
        return null;
      }
      head.write(next);
      text = head.toString(StandardCharsets.ISO_8859_1);
    } while (!text.endsWith("\r\n\r\n"));
    for (String line : text.split("\r\n")) {
      if (line.toLowerCase(java.util.Locale.ROOT).startsWith("content-length:")) {
        int length = Integer.parseInt(line.substring(15).trim());
        return text + new String(in.readNBytes(length), StandardCharsets.ISO_8859_1);
      }
    }
    return text;
  }

  /** Whether the peer closes the connection; discards the data that it sends before. */
  public static boolean isClosedByPeer(Socket socket) throws IOException {
    try {
      while (socket.getInputStream().read() >= 0) {
        // discarded
      }
      return true;
    } catch (java.net.SocketTimeoutException e) {
      return false;
    } catch (IOException e) {
      return true;
    }
  }

  public static void await(BooleanSupplier condition) throws InterruptedException {
    long until = System.nanoTime() + TIMEOUT_MILLIS * 1_000_000L;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > until) {
        throw new AssertionError("condition not met within " + TIMEOUT_MILLIS + " ms");
      }
      Thread.sleep(1);
    }
  }

  @Override
  public void close() throws IOException {
    if (proxy != null) {
      proxy.stop();
    }
    for (Server server : servers) {
      server.listener.close();
      for (Socket socket : server.acceptedSockets) {
        socket.close();
      }
    }
  }
}
