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

/** A client proxy between hosts, a discovery and clients, all on loopback sockets. */
public final class ProxyFixture implements AutoCloseable {
  /** Ample: no test waits so long unless it fails. */
  public static final int TIMEOUT_MILLIS = 20_000;

  private final List<Server> servers = new CopyOnWriteArrayList<>();
  private final Path configFile;
  private final int sockets;
  int aimMillis = 400;
  int deadlineMillis = 3_000;
  int repeatWindowMillis = 2_000;
  int drainGraceMillis = 500;
  int listenPort;
  int seed = 7;

  /** MB; what is past 88 of it is for bodies. */
  int memoryMegabytes = 128;

  /** What the settings allow, and how long (ms) a connection to a host may take to come up. */
  boolean allowsCancel = true;

  boolean allowsParallelAttempts = true;
  int connectTimeoutMillis = 500;

  /** How long (ms) hosts keep a connection that carries nothing. */
  int connectionIdleMillis = 60_000;

  /** Whether discovery is a service that is asked, in place of an agent that pushes. */
  boolean pollsDiscovery;

  /** Where the proxy talks to others, as keys of the configuration; empty where it may not. */
  String peerSettings = "";

  OperatorState operatorState = new OperatorState();
  HotRestart hotRestart = HotRestart.disabled();
  Proxy proxy;

  public ProxyFixture(Path folder, int sockets) {
    this.configFile = folder.resolve("config.json");
    this.sockets = sockets;
  }

  /** A server of one thread a connection; what it does with each is the sub-class's. */
  public abstract class Server {
    final ServerSocket listener;
    final List<Socket> acceptedSockets = new CopyOnWriteArrayList<>();

    Server() throws IOException {
      this(200, new CountDownLatch(0));
    }

    /**
     * Accepts nobody until told; past {@code backlog} and one more, connections don't come up
     * meanwhile.
     */
    Server(int backlog, CountDownLatch acceptGate) throws IOException {
      listener = new ServerSocket(0, backlog, InetAddress.getLoopbackAddress());
      servers.add(this);
      runInBackground(
          () -> {
            acceptGate.await();
            while (true) {
              Socket s = listener.accept();
              acceptedSockets.add(s);
              runInBackground(() -> serve(s));
            }
          });
    }

    int port() {
      return listener.getLocalPort();
    }

    public String address() {
      return "127.0.0.1:" + listener.getLocalPort();
    }

    abstract void serve(Socket s) throws IOException, InterruptedException;
  }

  /** A host that answers each request as told; null leaves it without an answer. */
  public class UpstreamHost extends Server {
    private final Function<String, String> responder;
    final List<String> requests = new CopyOnWriteArrayList<>();
    String kind = "k";

    /** Requests that came on a connection less than 5 ms after an answer on it had begun. */
    final AtomicInteger immediateReuses = new AtomicInteger();

    public UpstreamHost(Function<String, String> responder) throws IOException {
      this.responder = responder;
    }

    UpstreamHost(int backlog, CountDownLatch acceptGate, Function<String, String> responder)
        throws IOException {
      super(backlog, acceptGate);
      this.responder = responder;
    }

    /** Connections that have been accepted so far. */
    public int acceptedConnections() {
      return acceptedSockets.size();
    }

    public int immediateReuses() {
      return immediateReuses.get();
    }

    @Override
    void serve(Socket s) throws IOException, InterruptedException {
      String request;
      long respondedAtNanos = System.nanoTime() - 1_000_000_000L;
      while ((request = readMessage(s.getInputStream())) != null) {
        if (System.nanoTime() - respondedAtNanos < 5_000_000L) {
          immediateReuses.incrementAndGet();
        }
        requests.add(request);
        String response = responder.apply(request);
        if (response != null) {
          respondedAtNanos = System.nanoTime();
          write(s, response);
        }
      }
    }
  }

  /**
   * A host to which no connection comes up until it is told to accept; the kernel tries again each
   * second or so.
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
        Socket s = new Socket();
        try {
          s.connect(new InetSocketAddress("127.0.0.1", port()), 300);
          backlogFillers.add(s);
        } catch (java.net.SocketTimeoutException e) {
          full = true;
          s.close();
        }
      }
    }

    /** From now on connections come up. */
    void startAccepting() throws IOException {
      acceptGate.countDown();
      for (Socket s : backlogFillers) {
        s.close();
      }
    }

    /** Connections that have come up for others than the crowd. */
    int proxyConnections() {
      return acceptedSockets.size() - backlogFillers.size();
    }
  }

  /** A host that ends a connection at the first request that comes after it stood idle so long. */
  final class IdleResettingHost extends UpstreamHost {
    private final long idleMillis;

    IdleResettingHost(long idleMillis) throws IOException {
      super(h -> ok("served"));
      this.idleMillis = idleMillis;
    }

    @Override
    void serve(Socket s) throws IOException {
      long idleSince = System.nanoTime();
      while (readMessage(s.getInputStream()) != null) {
        if (System.nanoTime() - idleSince > idleMillis * 1_000_000L) {
          s.setSoLinger(true, 0); // a reset
          s.close();
          return;
        }
        write(s, ok("served"));
        idleSince = System.nanoTime();
      }
    }
  }

  /** A discovery that knows a list and is watched. */
  final class DiscoveryServer extends Server {
    private final String endpointList;
    final List<String> requestedPaths = new CopyOnWriteArrayList<>();

    DiscoveryServer(int version, UpstreamHost... hosts) throws IOException {
      List<String> entries = new ArrayList<>();
      for (UpstreamHost h : hosts) {
        entries.add(
            "{\"id\":\"h"
                + h.listener.getLocalPort()
                + "\",\"addr\":\""
                + h.address()
                + "\",\"zone\":\"z\",\"kind\":\""
                + h.kind
                + "\",\"cell\":1,\"state\":\"up\",\"weight\":1.0,"
                + "\"started_ms\":0}");
      }
      endpointList =
          "{\"version\":"
              + version
              + ",\"full\":true,\"servers\":["
              + String.join(",", entries)
              + "]}";
    }

    /** The list as it tells it. */
    String endpointList() {
      return endpointList;
    }

    @Override
    void serve(Socket s) throws IOException {
      String head;
      while ((head = readMessage(s.getInputStream())) != null) {
        String path = head.split(" ")[1];
        requestedPaths.add(path);
        if (path.contains("follow")) {
          write(s, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
        } else {
          write(s, ok(endpointList));
        }
      }
    }
  }

  /** What a thread of a peer's does. */
  public interface Task {
    void run() throws IOException, InterruptedException;
  }

  /**
   * Runs it on a thread of its own, until it is over or the other side, or the test, has ended it.
   */
  public static void runInBackground(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException | InterruptedException e) {
                // the other side, or the test, has ended it
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  /** Writes the configuration, as the platform does. */
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
            + "\"rules\":{\"cold\":1000,\"startCapacity\":1,\"fall\":1000,\"fallMultiple\":3,\"askWithin\":6000,\"drainGrace\":"
            + drainGraceMillis
            + "},"
            + (pollsDiscovery ? "\"membershipMode\":\"subscribe\"," : "")
            + ""
            + "\"report\":{\"how\":\"answers\"},\"balancers\":1}}");
  }

  /** Starts the client proxy with these hosts; its discovery tells the same. */
  DiscoveryServer start(UpstreamHost... hosts) throws Exception {
    DiscoveryServer discovery = new DiscoveryServer(40, hosts);
    startWithDiscovery(discovery, hosts);
    return discovery;
  }

  /** Starts one at this discovery, also while another runs, which is the caller's to stop. */
  void startWithDiscovery(DiscoveryServer discovery, UpstreamHost... hosts) throws Exception {
    startProxy(
        writeConfig(discovery.address(), discovery.endpointList),
        new LineLog(discardingStream(), false));
  }

  /** Starts one as this file says, with this log. */
  void startProxy(Path configuration, Log log) throws Exception {
    proxy =
        new Proxy(
            Config.load(Map.of("BALANCER_CONFIG", configuration.toString())),
            operatorState,
            hotRestart,
            log);
    proxy.start();
  }

  /** Requests that hosts have got so far. */
  int receivedRequests() {
    return servers.stream()
        .mapToInt(socket -> socket instanceof UpstreamHost h ? h.requests.size() : 0)
        .sum();
  }

  void reload() {
    proxy.reload(configFile.toString());
  }

  /** A port that nobody listens on now. */
  public static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  /** What a header of a message says that has it. */
  static String headerValue(String head, String name) {
    return head.split(name + ": ")[1].split("\r\n")[0];
  }

  static Log discardingLog() {
    return new LineLog(discardingStream(), false);
  }

  private static PrintStream discardingStream() {
    return new PrintStream(OutputStream.nullOutputStream(), true, StandardCharsets.UTF_8);
  }

  /** What the proxy's loop says. */
  <T> T callOnLoop(Callable<T> task) {
    return proxy.loop().submit(task).syncUninterruptibly().getNow();
  }

  /** Requests that are open in the proxy. */
  int openRequests() {
    return callOnLoop(() -> proxy.openRequests());
  }

  /** Connections to hosts that are open in the proxy, or being opened. */
  int upstreamConnections() {
    return callOnLoop(() -> proxy.socketBudget().upstreamCount());
  }

  /** Has the proxy end as at SIGTERM; the future is done when its process would be gone. */
  CompletableFuture<Void> drain() {
    proxy.drain();
    return CompletableFuture.runAsync(proxy::awaitEnd);
  }

  /** Connections of clients that are open in the proxy. */
  int clientConnections() {
    return callOnLoop(() -> proxy.socketBudget().clientCount());
  }

  /**
   * Stops the proxy's loop until what is returned is closed: what comes meanwhile comes to it in
   * one turn.
   */
  AutoCloseable pauseLoop() throws InterruptedException {
    CountDownLatch held = new CountDownLatch(1);
    CountDownLatch release = new CountDownLatch(1);
    proxy
        .loop()
        .execute(
            () -> {
              held.countDown();
              try {
                release.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
    held.await();
    return release::countDown;
  }

  // --- clients

  Socket connectClient() throws IOException {
    Socket socket = new Socket();
    socket.connect(new InetSocketAddress("127.0.0.1", proxy.address().getPort()), TIMEOUT_MILLIS);
    socket.setSoTimeout(TIMEOUT_MILLIS);
    return socket;
  }

  /** A request with a key. */
  static String keyedRequest(String id) {
    return "POST /log/1 HTTP/1.1\r\nHost: api\r\nX-Request-ID: "
        + id
        + "\r\nX-Priority-Class: log\r\nIdempotency-Key: "
        + id
        + "\r\nContent-Length: 0\r\n\r\n";
  }

  /** A request that may not be repeated, with these further header lines. */
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

  /** Sends on a connection of its own; the whole answer, or null where the connection ended. */
  String sendRequest(String request) throws IOException {
    try (Socket socket = connectClient()) {
      write(socket, request);
      return readMessage(socket.getInputStream());
    }
  }

  /** One message with its body, or null at the end of the stream. */
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

  /** Whether the other side ends the connection; what it sends before is passed over. */
  public static boolean isClosedByPeer(Socket socket) throws IOException {
    try {
      while (socket.getInputStream().read() >= 0) {
        // passed over
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
        throw new AssertionError("did not come about in " + TIMEOUT_MILLIS + " ms");
      }
      Thread.sleep(1);
    }
  }

  @Override
  public void close() throws IOException {
    if (proxy != null) {
      proxy.stop();
    }
    for (Server socket : servers) {
      socket.listener.close();
      for (Socket c : socket.acceptedSockets) {
        c.close();
      }
    }
  }
}
