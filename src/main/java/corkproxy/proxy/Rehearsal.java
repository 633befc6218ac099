package corkproxy.proxy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import corkproxy.balancer.Settings;
import corkproxy.engine.LineLog;
import corkproxy.engine.Log;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;

/**
 * Requests that a client proxy of its own carries on loopback before the real one listens. Guards
 * the first seconds: with part of a core, loading and compiling the code while clients wait costs
 * most of what they ask for then. It makes a start longer by as much, which clients wait for the
 * first time, but not after a restart: so it has its bound. A rehearsal that fails is left out.
 */
final class Rehearsal {
  private static final int REQUESTS = 1_500;
  private static final long MOST_NANOS = 3_000_000_000L;
  private static final int PATIENCE_MS = 500;
  private static final int SOCKETS = 64;

  /** Where another process serves meanwhile: pauses, for each time that a request has taken. */
  private static final int PAUSES = 2;

  private static final long MOST_PACED_NANOS = 2_500_000_000L;
  private static final String BODY = "x".repeat(1_000);

  private final Config config;
  private final ServerSocket host;
  private final boolean paced;

  private Rehearsal(Config config, ServerSocket host, boolean paced) {
    this.config = config;
    this.host = host;
    this.paced = paced;
  }

  /**
   * Carries some requests of each class, for three seconds at most; {@code paced} leaves most of the core to
   * a process that serves meanwhile, and takes 2.5 s.
   */
  static void run(Config config, boolean paced, Log log) {
    try (ServerSocket host = new ServerSocket(0, 16, InetAddress.getLoopbackAddress())) {
      new Rehearsal(config, host, paced).play();
    } catch (IOException | ConfigException | RuntimeException e) {
      log.line("rehearsal left out: " + e);
    }
  }

  private void play() throws IOException, ConfigException {
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
            config.settings(),
            config.connIdle(),
            PATIENCE_MS,
            config.maxOpen());
    Proxy proxy =
        new Proxy(
            own,
            new Operators(),
            Generations.alone(),
            new LineLog(
                new PrintStream(OutputStream.nullOutputStream(), false, StandardCharsets.UTF_8), false));
    try {
      proxy.start();
      ask(proxy.address());
    } finally {
      proxy.stop();
    }
  }

  private void ask(InetSocketAddress at) throws IOException {
    List<Settings.RequestClass> classes = config.settings().classes();
    long until = System.nanoTime() + (paced ? MOST_PACED_NANOS : MOST_NANOS);
    try (Socket s = new Socket()) {
      s.connect(at, PATIENCE_MS);
      s.setSoTimeout(PATIENCE_MS);
      s.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(s.getInputStream());
      for (int i = 0; i < REQUESTS && !classes.isEmpty() && System.nanoTime() < until; i++) {
        long from = System.nanoTime();
        write(s, request(classes.get(i % classes.size()), i));
        if (read(in) == null) {
          return;
        }
        if (paced) {
          pause(PAUSES * (System.nanoTime() - from));
        }
      }
    }
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
    return (safe ? "GET /" : "POST /") + c.name() + "/" + i + " HTTP/1.1\r\n"
        + "Host: api.internal\r\nX-Request-ID: rehearsal-" + i + "\r\nX-Priority-Class: "
        + c.name() + "\r\nX-Timeout-Ms: " + PATIENCE_MS + "\r\n"
        + (keyed ? "Idempotency-Key: rehearsal-" + i + "\r\n" : "")
        + (safe ? "\r\n" : "Content-Length: " + BODY.length() + "\r\n\r\n" + BODY);
  }

  // --- the host and discovery of the rehearsal

  private static String list(int port) {
    return "{\"version\":1,\"full\":true,\"servers\":[{\"id\":\"rehearsal\",\"addr\":\"127.0.0.1:"
        + port + "\",\"zone\":\"\",\"kind\":\"\",\"cell\":1,\"state\":\"up\",\"weight\":1.0,"
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
      InputStream in = new BufferedInputStream(s.getInputStream());
      String head;
      while ((head = read(in)) != null) {
        if (head.contains("/catalog/members")) {
          String line = list(host.getLocalPort()) + "\n";
          write(
              s,
              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                  + Integer.toHexString(line.length()) + "\r\n" + line + "\r\n");
        } else {
          write(
              s,
              "HTTP/1.1 200 OK\r\nX-Server-Load: inflight=1,eps=0\r\nContent-Length: "
                  + BODY.length() + "\r\n\r\n" + BODY);
        }
      }
    } catch (IOException e) {
      // closed: the rehearsal is over
    }
  }

  private static void write(Socket s, String text) throws IOException {
    s.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** One message: its head, with the body read as well; null at the end. */
  private static String read(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder(512);
    while (head.indexOf("\r\n\r\n", Math.max(0, head.length() - 4)) < 0) {
      int b = in.read();
      if (b < 0) {
        return null;
      }
      head.append((char) b);
    }
    int at = head.toString().toLowerCase(Locale.ROOT).indexOf("content-length");
    if (at >= 0) {
      int colon = head.indexOf(":", at);
      int end = head.indexOf("\r\n", colon);
      in.skipNBytes(Integer.parseInt(head.substring(colon + 1, end).trim()));
    }
    return head.toString();
  }
}
