package leadferry.proxy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import leadferry.engine.LineLog;
import leadferry.engine.Log;
import leadferry.loadbalancer.Settings;

/**
 * Requests that a client proxy of its own carries on loopback before the real one listens. Guards
 * the first seconds: with part of a core, loading and compiling the code while clients wait costs
 * most of what they ask for then. It makes a start longer by as much, which clients wait for after
 * a restart: so it is no longer than it takes. {@code deploy/proxy.jvm} has methods compiled after
 * a fifth of the usual calls, so that a fifth of the requests warms as much. One that fails is left
 * out.
 */
final class WarmUp {
  static final int REQUESTS = 300;
  private static final long MOST_NANOS = 3_000_000_000L;
  private static final int PATIENCE_MS = 500;
  private static final int SOCKETS = 64;
  private static final double UNHURRIED_MS = 60_000;

  /** Where another process serves meanwhile: pauses, for each time that a request has taken. */
  private static final int PAUSES = 2;

  private static final long MOST_PACED_NANOS = 2_500_000_000L;
  private static final String BODY = "x".repeat(1_000);

  /** A question to discovery begins so; a reader tells of it by {@link #TO_DISCOVERY}. */
  private static final byte[] DISCOVERY =
      "GET /catalog/members".getBytes(StandardCharsets.ISO_8859_1);

  private static final int TO_DISCOVERY = 0;

  private static final byte[] ANSWER =
      ("HTTP/1.1 200 OK\r\nX-Server-Load: inflight=1,eps=0\r\nContent-Length: "
              + BODY.length()
              + "\r\n\r\n"
              + BODY)
          .getBytes(StandardCharsets.ISO_8859_1);

  private final Config config;
  private final ServerSocket host;
  private final boolean paced;

  private WarmUp(Config config, ServerSocket host, boolean paced) {
    this.config = config;
    this.host = host;
    this.paced = paced;
  }

  /**
   * Carries some requests of each class, for three seconds at most; {@code paced} leaves most of
   * the core to a process that serves meanwhile, and takes 2.5 s.
   *
   * @return how many were answered
   */
  static int run(Config config, boolean paced, Log log) {
    try (ServerSocket host = new ServerSocket(0, 16, InetAddress.getLoopbackAddress())) {
      return new WarmUp(config, host, paced).play();
    } catch (IOException | ConfigException | RuntimeException e) {
      log.line("rehearsal left out: " + e);
      return 0;
    }
  }

  private int play() throws IOException, ConfigException {
    Thread accepting = new Thread(this::accept, "rehearsal");
    accepting.setDaemon(true);
    accepting.start();
    InetSocketAddress at = (InetSocketAddress) host.getLocalSocketAddress();
    ObjectMapper json = new ObjectMapper();
    JsonNode root = json.createObjectNode().set("known", json.readTree(list(at.getPort())));
    Config own =
        new Config(
            "rehearsal",
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            at,
            null,
            1,
            config.memoryMb(),
            SOCKETS,
            root,
            unhurried(config.settings()),
            config.connIdle(),
            PATIENCE_MS,
            config.maxOpen());
    Proxy proxy =
        new Proxy(
            own,
            new OperatorState(),
            HotRestart.alone(),
            new LineLog(
                new PrintStream(OutputStream.nullOutputStream(), false, StandardCharsets.UTF_8),
                false));
    try {
      proxy.start();
      return ask(proxy.address());
    } finally {
      proxy.stop();
    }
  }

  /**
   * Guards against a rehearsal that ends with its first request: cold code is so slow that the
   * module would refuse, for its own process can't be in time.
   */
  private static Settings unhurried(Settings s) {
    return s.with(s.classes().stream().map(c -> c.within(UNHURRIED_MS)).toList());
  }

  private int ask(InetSocketAddress at) throws IOException {
    List<Settings.RequestClass> classes = config.settings().classes();
    int answered = 0;
    long until = System.nanoTime() + (paced ? MOST_PACED_NANOS : MOST_NANOS);
    try (Socket s = new Socket()) {
      s.connect(at, PATIENCE_MS);
      s.setSoTimeout(PATIENCE_MS);
      s.setTcpNoDelay(true);
      Reader in = new Reader(s.getInputStream());
      for (int i = 0; i < REQUESTS && !classes.isEmpty() && System.nanoTime() < until; i++) {
        long from = System.nanoTime();
        write(s, request(classes.get(i % classes.size()), i));
        if (in.next(true) < 0) {
          break;
        }
        answered++;
        if (paced) {
          pause(PAUSES * (System.nanoTime() - from));
        }
      }
    }
    return answered;
  }

  /** Leaves the core to the process that serves meanwhile. */
  private static void pause(long nanos) throws IOException {
    try {
      Thread.sleep(nanos / 1_000_000, (int) (nanos % 1_000_000));
    } catch (InterruptedException e) {
      throw new IOException("interrupted", e);
    }
  }

  private static String request(Settings.RequestClass c, int i) {
    boolean safe = c.semantics() == Settings.Semantics.IDEMPOTENT;
    boolean keyed = c.semantics() == Settings.Semantics.DEDUPLICATED;
    return (safe ? "GET /" : "POST /")
        + c.name()
        + "/"
        + i
        + " HTTP/1.1\r\n"
        + "Host: api.internal\r\nX-Request-ID: rehearsal-"
        + i
        + "\r\nX-Priority-Class: "
        + c.name()
        + "\r\nX-Timeout-Ms: "
        + PATIENCE_MS
        + "\r\n"
        + (keyed ? "Idempotency-Key: rehearsal-" + i + "\r\n" : "")
        + (safe ? "\r\n" : "Content-Length: " + BODY.length() + "\r\n\r\n" + BODY);
  }

  // --- the host and discovery of the rehearsal

  private static String list(int port) {
    return "{\"version\":1,\"full\":true,\"servers\":[{\"id\":\"rehearsal\",\"addr\":\"127.0.0.1:"
        + port
        + "\",\"zone\":\"\",\"kind\":\"\",\"cell\":1,\"state\":\"up\",\"weight\":1.0,"
        + "\"started_ms\":0}]}";
  }

  private void accept() {
    try {
      while (true) {
        Socket s = host.accept();
        Thread t = new Thread(() -> serve(s), "rehearsal");
        t.setDaemon(true);
        t.start();
      }
    } catch (IOException e) {
      // closed: the rehearsal is over
    }
  }

  private void serve(Socket s) {
    try (s) {
      s.setTcpNoDelay(true);
      Reader in = new Reader(s.getInputStream());
      int of;
      while ((of = in.next(false)) >= 0) {
        if (of == TO_DISCOVERY) {
          String line = list(host.getLocalPort()) + "\n";
          write(
              s,
              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                  + Integer.toHexString(line.length())
                  + "\r\n"
                  + line
                  + "\r\n");
        } else {
          s.getOutputStream().write(ANSWER);
        }
      }
    } catch (IOException e) {
      // closed: the rehearsal is over
    }
  }

  private static void write(Socket s, String text) throws IOException {
    s.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /**
   * Messages of one connection, read as cheaply as can be: what is spent here is taken from the
   * code that is rehearsed, and this is never needed again. Bodies are of one length or none.
   */
  private static final class Reader {
    private final InputStream in;
    private final byte[] bytes = new byte[4_096];
    private int held;

    Reader(InputStream in) {
      this.in = in;
    }

    /**
     * Reads the next message to its end; its first byte, {@link #TO_DISCOVERY}, or -1. A GET has no
     * body.
     */
    int next(boolean ofHost) throws IOException {
      int from = 0;
      int ends = -1;
      while (ends < 0) {
        if (held == bytes.length) {
          return -1;
        }
        int n = in.read(bytes, held, bytes.length - held);
        if (n < 0) {
          return -1;
        }
        held += n;
        for (; ends < 0 && from + 3 < held; from++) {
          if (bytes[from] == '\r' && bytes[from + 2] == '\r') {
            ends = from + 4;
          }
        }
      }
      int first = bytes[0];
      boolean toDiscovery =
          Arrays.mismatch(bytes, 0, DISCOVERY.length, DISCOVERY, 0, DISCOVERY.length) < 0;
      int left = ends + (ofHost || first != 'G' ? BODY.length() : 0) - held;
      if (left > 0) {
        in.skipNBytes(left);
      }
      held = 0; // one message at a time: nothing comes behind
      return toDiscovery ? TO_DISCOVERY : first;
    }
  }
}
