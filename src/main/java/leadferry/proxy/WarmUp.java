package leadferry.proxy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import leadferry.engine.LineLog;
import leadferry.engine.Log;
import leadferry.loadbalancer.Settings;

/**
 * Requests that a proxy of its own forwards on loopback before the real one listens. Guards the
 * first seconds: with part of a core, loading and compiling the code while clients wait costs most
 * of what they ask for then. It makes a start longer by as much, which clients wait for after a
 * restart, so it is no longer than it takes. {@code deploy/proxy.jvm} has methods compiled after a
 * fifth of the usual calls, so that a fifth of the requests warms as much. A warm-up that fails is
 * left out.
 */
final class WarmUp {
  static final int REQUESTS = 300;
  private static final long MAX_NANOS = 3_000_000_000L;
  private static final int TIMEOUT_MILLIS = 500;
  private static final int SOCKETS = 64;
  private static final int SEED = 1;

  /** Where another process serves meanwhile: how long to pause, in times of a request. */
  private static final int PAUSES_PER_REQUEST = 2;

  private static final long MAX_PACED_NANOS = 2_500_000_000L;

  /**
   * The deadline of each class. Guards against a warm-up that ends with its first request: cold
   * code is so slow that the load balancer would shed what it can't serve in time.
   */
  private static final double DEADLINE_MILLIS = 60_000;

  private static final String NAME = "warm-up";
  private static final String BODY = "x".repeat(WarmUpMessageReader.BODY_BYTES);

  private final Config config;
  private final boolean paced;

  private WarmUp(Config config, boolean paced) {
    this.config = config;
    this.paced = paced;
  }

  /**
   * Forwards some requests of each class, for three seconds at most; {@code paced} leaves most of
   * the core to a process that serves meanwhile, and takes 2.5 s.
   *
   * @return how many were served
   */
  static int run(Config config, boolean paced, Log log) {
    try (WarmUpServer server = new WarmUpServer(BODY)) {
      server.start();
      return new WarmUp(config, paced).forwardRequestsTo(server);
    } catch (IOException | ConfigException | RuntimeException e) {
      log.line("warm-up left out: " + e);
      return 0;
    }
  }

  private int forwardRequestsTo(WarmUpServer server) throws IOException, ConfigException {
    PrintStream discarded =
        new PrintStream(OutputStream.nullOutputStream(), false, StandardCharsets.UTF_8);
    Proxy proxy =
        new Proxy(
            warmUpConfig(server),
            new OperatorState(),
            HotRestart.disabled(),
            new LineLog(discarded, false));
    try {
      proxy.start();
      return sendRequests(proxy.address());
    } finally {
      proxy.stop();
    }
  }

  private Config warmUpConfig(WarmUpServer server) throws IOException {
    ObjectMapper json = new ObjectMapper();
    JsonNode root = json.createObjectNode().set("known", json.readTree(server.endpointList()));
    return new Config(
        NAME,
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
        server.address(),
        null,
        SEED,
        config.memoryMegabytes(),
        SOCKETS,
        root,
        withLongDeadlines(config.settings()),
        config.connectionIdleMillis(),
        TIMEOUT_MILLIS,
        config.maxOpen());
  }

  private static Settings withLongDeadlines(Settings settings) {
    return settings.withClasses(
        settings.classes().stream()
            .map(requestClass -> requestClass.withTimeLimit(DEADLINE_MILLIS))
            .toList());
  }

  private int sendRequests(InetSocketAddress address) throws IOException {
    List<Settings.RequestClass> classes = config.settings().classes();
    int served = 0;
    long untilNanos = System.nanoTime() + (paced ? MAX_PACED_NANOS : MAX_NANOS);
    try (Socket socket = new Socket()) {
      socket.connect(address, TIMEOUT_MILLIS);
      socket.setSoTimeout(TIMEOUT_MILLIS);
      socket.setTcpNoDelay(true);
      WarmUpMessageReader responses = new WarmUpMessageReader(socket.getInputStream());
      for (int i = 0; i < REQUESTS && !classes.isEmpty() && System.nanoTime() < untilNanos; i++) {
        long sentNanos = System.nanoTime();
        String request = request(classes.get(i % classes.size()), i);
        socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        if (!responses.readResponse()) {
          break;
        }
        served++;
        if (paced) {
          pause(PAUSES_PER_REQUEST * (System.nanoTime() - sentNanos));
        }
      }
    }
    return served;
  }

  /** Leaves the core to the process that serves meanwhile. */
  private static void pause(long nanos) throws IOException {
    try {
      Thread.sleep(nanos / 1_000_000, (int) (nanos % 1_000_000));
    } catch (InterruptedException e) {
      throw new IOException("interrupted", e);
    }
  }

  private static String request(Settings.RequestClass requestClass, int number) {
    boolean idempotent = requestClass.semantics() == Settings.Semantics.IDEMPOTENT;
    boolean keyed = requestClass.semantics() == Settings.Semantics.DEDUPLICATED;
    String id = NAME + "-" + number;
    return (idempotent ? "GET /" : "POST /")
        + requestClass.name()
        + "/"
        + number
        + " HTTP/1.1\r\n"
        + "Host: api.internal\r\nX-Request-ID: "
        + id
        + "\r\nX-Priority-Class: "
        + requestClass.name()
        + "\r\nX-Timeout-Ms: "
        + TIMEOUT_MILLIS
        + "\r\n"
        + (keyed ? "Idempotency-Key: " + id + "\r\n" : "")
        + (idempotent ? "\r\n" : "Content-Length: " + BODY.length() + "\r\n\r\n" + BODY);
  }
}
