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
  public static final int PATIENCE_MS = 20_000;

  private final List<Server> servers = new CopyOnWriteArrayList<>();
  private final Path file;
  private final int sockets;
  int aim = 400;
  int deadline = 3_000;
  int window = 2_000;
  int grace = 500;
  int listen;
  int seed = 7;

  /** MB; what is past 88 of it is for bodies. */
  int memory = 128;

  /** What the settings allow, and how long (ms) a connection to a host may take to come up. */
  boolean cancel = true;

  boolean parallel = true;
  int connectTimeout = 500;

  /** How long (ms) hosts keep a connection that carries nothing. */
  int connIdle = 60_000;

  /** Whether discovery is a service that is asked, in place of an agent that pushes. */
  boolean asked;

  /** Where the proxy talks to others, as keys of the configuration; empty where it may not. */
  String peers = "";

  OperatorState operators = new OperatorState();
  HotRestart generations = HotRestart.alone();
  Proxy proxy;

  public ProxyFixture(Path folder, int sockets) {
    this.file = folder.resolve("config.json");
    this.sockets = sockets;
  }

  /** A server of one thread a connection; what it does with each is the sub-class's. */
  public abstract class Server {
    final ServerSocket listener;
    final List<Socket> open = new CopyOnWriteArrayList<>();

    Server() throws IOException {
      this(200, new CountDownLatch(0));
    }

    /**
     * Accepts nobody until told; past {@code backlog} and one more, connections don't come up
     * meanwhile.
     */
    Server(int backlog, CountDownLatch accepts) throws IOException {
      listener = new ServerSocket(0, backlog, InetAddress.getLoopbackAddress());
      servers.add(this);
      spawn(
          () -> {
            accepts.await();
            while (true) {
              Socket s = listener.accept();
              open.add(s);
              spawn(() -> serve(s));
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
  public class Host extends Server {
    private final Function<String, String> answers;
    final List<String> heads = new CopyOnWriteArrayList<>();
    String kind = "k";

    /** Requests that came on a connection less than 5 ms after an answer on it had begun. */
    final AtomicInteger reusedAtOnce = new AtomicInteger();

    public Host(Function<String, String> answers) throws IOException {
      this.answers = answers;
    }

    Host(int backlog, CountDownLatch accepts, Function<String, String> answers) throws IOException {
      super(backlog, accepts);
      this.answers = answers;
    }

    /** Connections that have been accepted so far. */
    public int connections() {
      return open.size();
    }

    public int reusedAtOnce() {
      return reusedAtOnce.get();
    }

    @Override
    void serve(Socket s) throws IOException, InterruptedException {
      String head;
      long answeredAt = System.nanoTime() - 1_000_000_000L;
      while ((head = read(s.getInputStream())) != null) {
        if (System.nanoTime() - answeredAt < 5_000_000L) {
          reusedAtOnce.incrementAndGet();
        }
        heads.add(head);
        String answer = answers.apply(head);
        if (answer != null) {
          answeredAt = System.nanoTime();
          write(s, answer);
        }
      }
    }
  }

  /**
   * A host to which no connection comes up until it is told to accept; the kernel tries again each
   * second or so.
   */
  final class LateHost extends Host {
    private final CountDownLatch accepts;
    private final List<Socket> crowd = new ArrayList<>();

    LateHost(Function<String, String> answers) throws IOException {
      this(new CountDownLatch(1), answers);
    }

    private LateHost(CountDownLatch accepts, Function<String, String> answers) throws IOException {
      super(1, accepts, answers);
      this.accepts = accepts;
      boolean full = false;
      while (!full) {
        Socket s = new Socket();
        try {
          s.connect(new InetSocketAddress("127.0.0.1", port()), 300);
          crowd.add(s);
        } catch (java.net.SocketTimeoutException e) {
          full = true;
          s.close();
        }
      }
    }

    /** From now on connections come up. */
    void comesUp() throws IOException {
      accepts.countDown();
      for (Socket s : crowd) {
        s.close();
      }
    }

    /** Connections that have come up for others than the crowd. */
    int late() {
      return open.size() - crowd.size();
    }
  }

  /** A host that ends a connection at the first request that comes after it stood idle so long. */
  final class DroppingHost extends Host {
    private final long idleMs;

    DroppingHost(long idleMs) throws IOException {
      super(h -> ok("served"));
      this.idleMs = idleMs;
    }

    @Override
    void serve(Socket s) throws IOException {
      long idleSince = System.nanoTime();
      while (read(s.getInputStream()) != null) {
        if (System.nanoTime() - idleSince > idleMs * 1_000_000L) {
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
  final class Discovery extends Server {
    private final String list;
    final List<String> asked = new CopyOnWriteArrayList<>();

    Discovery(int version, Host... hosts) throws IOException {
      List<String> entries = new ArrayList<>();
      for (Host h : hosts) {
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
      list =
          "{\"version\":"
              + version
              + ",\"full\":true,\"servers\":["
              + String.join(",", entries)
              + "]}";
    }

    /** The list as it tells it. */
    String list() {
      return list;
    }

    @Override
    void serve(Socket s) throws IOException {
      String head;
      while ((head = read(s.getInputStream())) != null) {
        String path = head.split(" ")[1];
        asked.add(path);
        if (path.contains("follow")) {
          write(s, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
        } else {
          write(s, ok(list));
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
  public static void spawn(Task what) {
    Thread t =
        new Thread(
            () -> {
              try {
                what.run();
              } catch (IOException | InterruptedException e) {
                // the other side, or the test, has ended it
              }
            });
    t.setDaemon(true);
    t.start();
  }

  /** Writes the configuration, as the platform does. */
  Path configure(String discovery, String known) throws IOException {
    return Files.writeString(
        file,
        "{\"name\":\"n0\",\"listen\":\"127.0.0.1:"
            + listen
            + "\",\"discovery\":\""
            + discovery
            + "\",\"seed\":\""
            + seed
            + "\",\"limits\":{\"memory_mb\":"
            + memory
            + ",\"sockets\":"
            + sockets
            + "},"
            + peers
            + "\"known\":"
            + known
            + ",\"settings\":{\"classes\":["
            + "{\"name\":\"claim\",\"aim\":"
            + aim
            + ",\"deadline\":"
            + deadline
            + ",\"semantics\":\"at_most_once\"},"
            + "{\"name\":\"log\",\"aim\":"
            + aim
            + ",\"deadline\":"
            + deadline
            + ",\"semantics\":\"deduplicated\","
            + "\"keyScope\":\"cell\",\"repeatWindow\":"
            + window
            + "}],"
            + "\"limits\":{\"cancel\":"
            + cancel
            + ",\"retryAfter\":true,\"parallelTries\":"
            + parallel
            + ",\"maxAttempts\":3,"
            + "\"peers\":"
            + !peers.isEmpty()
            + ",\"connIdle\":"
            + connIdle
            + ",\"connectTimeout\":"
            + connectTimeout
            + "},"
            + "\"rules\":{\"cold\":1000,\"startCapacity\":1,\"fall\":1000,\"fallMultiple\":3,\"askWithin\":6000,\"drainGrace\":"
            + grace
            + "},"
            + (asked ? "\"membershipMode\":\"subscribe\"," : "")
            + ""
            + "\"report\":{\"how\":\"answers\"},\"balancers\":1}}");
  }

  /** Starts the client proxy with these hosts; its discovery tells the same. */
  Discovery start(Host... hosts) throws Exception {
    Discovery d = new Discovery(40, hosts);
    startBeside(d, hosts);
    return d;
  }

  /** Starts one at this discovery, also while another runs, which is the caller's to stop. */
  void startBeside(Discovery d, Host... hosts) throws Exception {
    run(configure(d.address(), d.list), new LineLog(quiet(), false));
  }

  /** Starts one as this file says, with this log. */
  void run(Path configuration, Log log) throws Exception {
    proxy =
        new Proxy(
            Config.load(Map.of("BALANCER_CONFIG", configuration.toString())),
            operators,
            generations,
            log);
    proxy.start();
  }

  /** Requests that hosts have got so far. */
  int sends() {
    return servers.stream().mapToInt(s -> s instanceof Host h ? h.heads.size() : 0).sum();
  }

  void reload() {
    proxy.reload(file.toString());
  }

  /** A port that nobody listens on now. */
  public static int freePort() throws IOException {
    try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return s.getLocalPort();
    }
  }

  /** What a header of a message says that has it. */
  static String header(String head, String name) {
    return head.split(name + ": ")[1].split("\r\n")[0];
  }

  static Log quietLog() {
    return new LineLog(quiet(), false);
  }

  private static PrintStream quiet() {
    return new PrintStream(OutputStream.nullOutputStream(), true, StandardCharsets.UTF_8);
  }

  /** What the proxy's loop says. */
  <T> T onLoop(Callable<T> what) {
    return proxy.loop().submit(what).syncUninterruptibly().getNow();
  }

  /** Requests that are open in the proxy. */
  int open() {
    return onLoop(() -> proxy.open());
  }

  /** Connections to hosts that are open in the proxy, or being opened. */
  int upstreams() {
    return onLoop(() -> proxy.sockets().upstreamCount());
  }

  /** Has the proxy end as at SIGTERM; the future is done when its process would be gone. */
  CompletableFuture<Void> drain() {
    proxy.drain();
    return CompletableFuture.runAsync(proxy::awaitEnd);
  }

  /** Connections of clients that are open in the proxy. */
  int clients() {
    return onLoop(() -> proxy.sockets().clientCount());
  }

  /**
   * Stops the proxy's loop until what is returned is closed: what comes meanwhile comes to it in
   * one turn.
   */
  AutoCloseable heldLoop() throws InterruptedException {
    CountDownLatch held = new CountDownLatch(1);
    CountDownLatch release = new CountDownLatch(1);
    proxy
        .loop()
        .execute(
            () -> {
              held.countDown();
              try {
                release.await(PATIENCE_MS, TimeUnit.MILLISECONDS);
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
    held.await();
    return release::countDown;
  }

  // --- clients

  Socket client() throws IOException {
    Socket s = new Socket();
    s.connect(new InetSocketAddress("127.0.0.1", proxy.address().getPort()), PATIENCE_MS);
    s.setSoTimeout(PATIENCE_MS);
    return s;
  }

  /** A request with a key. */
  static String log(String id) {
    return "POST /log/1 HTTP/1.1\r\nHost: api\r\nX-Request-ID: "
        + id
        + "\r\nX-Priority-Class: log\r\nIdempotency-Key: "
        + id
        + "\r\nContent-Length: 0\r\n\r\n";
  }

  /** A request that may not be repeated, with these further header lines. */
  static String claim(String id, String... lines) {
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

  public static void write(Socket s, String text) throws IOException {
    s.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Sends on a connection of its own; the whole answer, or null where the connection ended. */
  String ask(String request) throws IOException {
    try (Socket s = client()) {
      write(s, request);
      return read(s.getInputStream());
    }
  }

  /** One message with its body, or null at the end of the stream. */
  public static String read(InputStream in) throws IOException {
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    String text;
    do {
      int b;
      try {
        b = in.read();
      } catch (java.net.SocketTimeoutException e) {
        throw e;
      } catch (IOException e) {
        return null; // reset
      }
      if (b < 0) {
        return null;
      }
      head.write(b);
      text = head.toString(StandardCharsets.ISO_8859_1);
    } while (!text.endsWith("\r\n\r\n"));
    for (String line : text.split("\r\n")) {
      if (line.toLowerCase(java.util.Locale.ROOT).startsWith("content-length:")) {
        int n = Integer.parseInt(line.substring(15).trim());
        return text + new String(in.readNBytes(n), StandardCharsets.ISO_8859_1);
      }
    }
    return text;
  }

  /** Whether the other side ends the connection; what it sends before is passed over. */
  public static boolean ends(Socket s) throws IOException {
    try {
      while (s.getInputStream().read() >= 0) {
        // passed over
      }
      return true;
    } catch (java.net.SocketTimeoutException e) {
      return false;
    } catch (IOException e) {
      return true;
    }
  }

  public static void await(BooleanSupplier what) throws InterruptedException {
    long until = System.nanoTime() + PATIENCE_MS * 1_000_000L;
    while (!what.getAsBoolean()) {
      if (System.nanoTime() > until) {
        throw new AssertionError("did not come about in " + PATIENCE_MS + " ms");
      }
      Thread.sleep(1);
    }
  }

  @Override
  public void close() throws IOException {
    if (proxy != null) {
      proxy.stop();
    }
    for (Server s : servers) {
      s.listener.close();
      for (Socket c : s.open) {
        c.close();
      }
    }
  }
}
