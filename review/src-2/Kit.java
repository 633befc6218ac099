import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stand-ins for the cases of this review: hosts, discovery, clients, and the platform that starts
 * client proxies with the deploy file's {@code run}. Everything listens on loopback and follows
 * the protocol pages.
 */
final class Kit {
  static final long START = System.nanoTime();
  private static final Queue<String> RECORD = new ConcurrentLinkedQueue<>();
  private static final List<Proxy> PROXIES = new ArrayList<>();
  private static final Set<Integer> USED_PORTS = new HashSet<>();

  /** Whether the processes of the case are being ended; guarded by the lock of the list. */
  private static boolean ended;

  private Kit() {}

  /** The case could not run. */
  static final class CannotRun extends RuntimeException {
    CannotRun(String message) {
      super(message);
    }
  }

  /** The body of a case; returns whether the rule held. */
  interface Case {
    boolean run(boolean trouble) throws Exception;
  }

  /** Runs a case, ends its processes, writes the record and exits with 0, 1 or 2. */
  static void main(String[] args, Case body) {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Runtime.getRuntime().addShutdownHook(new Thread(Kit::endAll));
    int status;
    try {
      record("trouble=" + trouble);
      status = body.run(trouble) ? 0 : 1;
    } catch (Throwable e) {
      record("case could not run: " + e);
      e.printStackTrace();
      status = 2;
    }
    record("exit " + status);
    endAll();
    try (PrintWriter out = new PrintWriter(args[0], StandardCharsets.UTF_8)) {
      RECORD.forEach(out::println);
    } catch (IOException e) {
      status = 2;
    }
    Runtime.getRuntime().halt(status);
  }

  /** Milliseconds since the start of the case. */
  static double now() {
    return (System.nanoTime() - START) / 1e6;
  }

  static void record(String line) {
    RECORD.add(String.format("%10.1f %s", now(), line));
  }

  /** Records a line and prints it. */
  static void say(String line) {
    record(line);
    System.out.printf("%8.1f s  %s%n", now() / 1000, line);
  }

  static void sleep(double millis) {
    try {
      Thread.sleep(Math.max(0, (long) millis));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  static ServerSocket listen() throws IOException {
    ServerSocket socket = new ServerSocket();
    socket.setReuseAddress(true);
    socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 1024);
    return socket;
  }

  static void daemon(Runnable task) {
    Thread thread = new Thread(null, task, "stand-in", 256 * 1024);
    thread.setDaemon(true);
    thread.start();
  }

  // --- HTTP/1.1

  /** One message: first line, headers in lower case, body. */
  record Message(String first, Map<String, String> headers, byte[] body) {}

  static String line(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    int next;
    while ((next = in.read()) != '\n') {
      if (next < 0) {
        if (bytes.size() == 0) {
          return null;
        }
        throw new IOException("end within a line");
      }
      if (next != '\r') {
        bytes.write(next);
      }
    }
    return bytes.toString(StandardCharsets.ISO_8859_1);
  }

  /** Reads one message with a length or in chunks; null at the end of the connection. */
  static Message read(InputStream in) throws IOException {
    String first = line(in);
    if (first == null) {
      return null;
    }
    Map<String, String> headers = new LinkedHashMap<>();
    String field;
    while ((field = line(in)) != null && !field.isEmpty()) {
      int colon = field.indexOf(':');
      headers.put(field.substring(0, colon).toLowerCase(), field.substring(colon + 1).strip());
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
      int size;
      while ((size = Integer.parseInt(line(in).strip(), 16)) > 0) {
        body.write(in.readNBytes(size));
        line(in);
      }
      line(in);
    } else if (headers.containsKey("content-length")) {
      int length = Integer.parseInt(headers.get("content-length"));
      byte[] bytes = in.readNBytes(length);
      if (bytes.length < length) {
        throw new IOException("end within a body");
      }
      body.write(bytes);
    }
    return new Message(first, headers, body.toByteArray());
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  // --- hosts

  /** What a host received: when its last byte had come, for which request. */
  record Arrival(double at, String host, String id, String from) {}

  /** A sound host: answers each request with 200 after its work, also while it drains. */
  static final class Host {
    final String id;
    final int cell;
    final ServerSocket socket;
    final double workMillis;
    final Queue<Arrival> arrivals;

    Host(String id, int cell, double workMillis, Queue<Arrival> arrivals) throws IOException {
      this.id = id;
      this.cell = cell;
      this.workMillis = workMillis;
      this.arrivals = arrivals;
      this.socket = listen();
      daemon(
          () -> {
            while (true) {
              try {
                Socket connection = socket.accept();
                connection.setTcpNoDelay(true);
                daemon(() -> serve(connection));
              } catch (IOException e) {
                return;
              }
            }
          });
    }

    String address() {
      return "127.0.0.1:" + socket.getLocalPort();
    }

    private void serve(Socket connection) {
      try (connection) {
        InputStream in = new BufferedInputStream(connection.getInputStream());
        OutputStream out = connection.getOutputStream();
        Message request;
        while ((request = read(in)) != null) {
          String requestId = request.headers().getOrDefault("x-request-id", "-");
          arrivals.add(new Arrival(now(), id, requestId, request.first()));
          sleep(workMillis);
          byte[] body = bytes("done " + requestId);
          out.write(
              bytes(
                  "HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n"
                      + new String(body, StandardCharsets.ISO_8859_1)));
          out.flush();
        }
      } catch (IOException e) {
        // the client proxy gave the connection up
      }
    }
  }

  // --- discovery

  /**
   * Discovery of the protocol page: the whole list, or a watch that holds one line for each change
   * and an empty line every 2 s.
   */
  static class Discovery {
    private record Entry(String json, long version) {}

    final ServerSocket socket;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final List<Socket> open = new ArrayList<>();
    private long version = 40;
    volatile boolean down;

    /** Time (ms) that a call waits for its turn. */
    volatile double waitMillis;

    Discovery() throws IOException {
      socket = listen();
      daemon(
          () -> {
            while (true) {
              try {
                Socket connection = socket.accept();
                connection.setTcpNoDelay(true);
                synchronized (this) {
                  open.add(connection);
                }
                daemon(() -> serve(connection));
              } catch (IOException e) {
                return;
              }
            }
          });
    }

    String address() {
      return "127.0.0.1:" + socket.getLocalPort();
    }

    void put(Host host, String state) {
      put(host.id, host.address(), host.cell, state);
    }

    synchronized void put(String id, String address, int cell, String state) {
      version++;
      entries.put(
          id,
          new Entry(
              "{\"id\":\"" + id + "\",\"addr\":\"" + address
                  + "\",\"zone\":\"z\",\"kind\":\"m\",\"cell\":" + cell + ",\"state\":\""
                  + state + "\",\"weight\":1.0,\"started_ms\":0}",
              version));
      notifyAll();
    }

    synchronized String list(long since) {
      StringBuilder servers = new StringBuilder();
      for (Entry entry : entries.values()) {
        if (entry.version() > since) {
          servers.append(servers.length() == 0 ? "" : ",").append(entry.json());
        }
      }
      return "{\"version\":" + version + ",\"full\":" + (since < 0) + ",\"servers\":[" + servers
          + "]}";
    }

    /** Goes down: watches end, and calls fail until {@link #up}. */
    synchronized void goDown() {
      down = true;
      endWatches();
    }

    void up() {
      down = false;
    }

    synchronized void endWatches() {
      for (Socket connection : open) {
        try {
          connection.setSoLinger(true, 0);
          connection.close();
        } catch (IOException e) {
          // closed already
        }
      }
      open.clear();
    }

    /** Called for each call, after it was answered or failed. */
    void onCall(String call, boolean failed) {}

    private void serve(Socket connection) {
      try (connection) {
        InputStream in = new BufferedInputStream(connection.getInputStream());
        OutputStream out = connection.getOutputStream();
        Message call;
        while ((call = read(in)) != null) {
          String path = call.first().split(" ")[1];
          record("discovery: called " + path + " from port " + connection.getPort());
          if (waitMillis > 0) {
            sleep(waitMillis);
          }
          if (down) {
            out.write(bytes("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"));
            out.flush();
            record("discovery: 503 to port " + connection.getPort());
            onCall(path, true);
            continue;
          }
          int since = path.indexOf("since=");
          if (path.contains("follow=1")) {
            watch(out, since < 0 ? -1 : Long.parseLong(path.substring(since + 6)), connection);
            return;
          }
          byte[] body = bytes(list(-1) + "\n");
          out.write(bytes("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n"));
          out.write(body);
          out.flush();
          onCall(path, false);
        }
      } catch (IOException e) {
        record("discovery: the caller at port " + connection.getPort() + " gave up: " + e.getMessage());
      } finally {
        synchronized (this) {
          open.remove(connection);
        }
      }
    }

    private void watch(OutputStream out, long since, Socket connection) throws IOException {
      out.write(bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
      long told = since;
      boolean first = true;
      while (!connection.isClosed()) {
        String next;
        synchronized (this) {
          long deadline = System.nanoTime() + 2_000_000_000L;
          while (!first && version == told && System.nanoTime() < deadline) {
            try {
              wait(Math.max(1, (deadline - System.nanoTime()) / 1_000_000));
            } catch (InterruptedException e) {
              return;
            }
          }
          next = version == told ? "\n" : list(told) + "\n";
          told = version;
        }
        chunk(out, next);
        record("discovery: told version " + told + " to port " + connection.getPort());
        if (first) {
          onCall("follow", false);
        }
        first = false;
      }
    }

    private static void chunk(OutputStream out, String text) throws IOException {
      byte[] body = bytes(text);
      out.write(bytes(Integer.toHexString(body.length) + "\r\n" + text + "\r\n"));
      out.flush();
    }
  }

  // --- the platform

  /** One client proxy, started by the deploy file's {@code run} in a folder of its own. */
  static final class Proxy {
    final String name;
    final int port;
    final Path folder;
    final Process process;

    Proxy(String name, int port, Path folder, Process process) {
      this.name = name;
      this.port = port;
      this.folder = folder;
      this.process = process;
    }

    boolean isHealthy() {
      try (Socket socket = new Socket("127.0.0.1", port)) {
        socket.setSoTimeout(1000);
        socket.getOutputStream().write(bytes("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n"));
        Message answer = read(new BufferedInputStream(socket.getInputStream()));
        return answer != null && answer.first().contains(" 200");
      } catch (IOException e) {
        return false;
      }
    }

    void awaitReady() {
      double until = now() + 30_000;
      while (!isHealthy()) {
        if (now() > until || !process.isAlive()) {
          throw new CannotRun(name + " did not become ready");
        }
        sleep(50);
      }
    }
  }

  /**
   * Returns a port that is free and was not returned before. It lies below the range from which the
   * system takes the ports of clients, so that none of these takes it meanwhile.
   */
  static synchronized int freePort() throws IOException {
    for (int i = 0; i < 1_000; i++) {
      int port = ThreadLocalRandom.current().nextInt(12_000, 32_000);
      if (USED_PORTS.add(port)) {
        try (ServerSocket socket = new ServerSocket()) {
          socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port));
          return port;
        } catch (IOException e) {
          // taken: try another one
        }
      }
    }
    throw new CannotRun("no free port");
  }

  /** Returns the command {@code run} of the deploy file. */
  static String runCommand() throws IOException {
    for (String line : Files.readAllLines(Path.of("deploy/balancer.toml"))) {
      if (line.startsWith("run = \"")) {
        return line.substring(7, line.lastIndexOf('"'));
      }
    }
    throw new CannotRun("no run in the deploy file");
  }

  static Proxy start(
      String name, String discovery, String known, String settings, String limits)
      throws IOException {
    return start(name, discovery, known, settings, limits, "");
  }

  /** Starts a client proxy; operators call it at {@code management} unless that is empty. */
  static Proxy start(
      String name,
      String discovery,
      String known,
      String settings,
      String limits,
      String management)
      throws IOException {
    int port = freePort();
    Path folder = Files.createTempDirectory("review-2-");
    Path temporary = Files.createDirectory(folder.resolve("tmp"));
    Path config = folder.resolve("config.json");
    String listen = "127.0.0.1:" + port;
    Files.writeString(
        config,
        "{\"name\":\"" + name + "\",\"listen\":\"" + listen + "\",\"discovery\":\"" + discovery
            + "\",\"seed\":\"" + Long.toHexString(System.nanoTime() * 31 + port) + "\",\"limits\":"
            + limits + (management.isEmpty() ? "" : ",\"management\":\"" + management + "\"")
            + ",\"known\":" + known + ",\"settings\":" + settings + "}");
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand());
    builder.environment().put("BALANCER_NAME", name);
    builder.environment().put("BALANCER_LISTEN", listen);
    builder.environment().put("BALANCER_DISCOVERY", discovery);
    builder.environment().put("BALANCER_CONFIG", config.toString());
    builder.environment().put("TMPDIR", temporary.toString());
    builder.environment().remove("TROUBLE");
    builder.redirectErrorStream(true);
    builder.redirectOutput(folder.resolve("log").toFile());
    Proxy proxy;
    synchronized (PROXIES) {
      if (ended) {
        throw new CannotRun("the case is being ended");
      }
      proxy = new Proxy(name, port, folder, builder.start());
      PROXIES.add(proxy);
    }
    record("started " + name + " at " + listen);
    return proxy;
  }

  /** Ends all processes that the case started, and removes their folders. */
  private static void endAll() {
    List<Proxy> proxies;
    synchronized (PROXIES) {
      ended = true;
      proxies = new ArrayList<>(PROXIES);
      PROXIES.clear();
    }
    proxies.forEach(proxy -> proxy.process.destroyForcibly());
    for (Proxy proxy : proxies) {
      try {
        proxy.process.waitFor(5, TimeUnit.SECONDS);
        Path log = proxy.folder.resolve("log");
        Files.readAllLines(log).stream().limit(60).forEach(l -> RECORD.add(proxy.name + " log: " + l));
        try (var files = Files.walk(proxy.folder)) {
          files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        }
      } catch (IOException | InterruptedException e) {
        // nothing more to be done
      }
    }
  }

  // --- clients

  /** The answer to a request: status 0 where the connection ended without one. */
  record Answer(String id, double sentAt, double at, int status, String body) {}

  /** The application beside one client proxy: one request at a time on each kept connection. */
  static final class Application {
    private static final AtomicLong NEXT = new AtomicLong(System.nanoTime());
    final Proxy proxy;
    final Queue<Answer> answers = new ConcurrentLinkedQueue<>();
    private final ArrayDeque<Socket> idle = new ArrayDeque<>();
    volatile boolean stopped;

    Application(Proxy proxy) {
      this.proxy = proxy;
    }

    /** Sends keyed and unsafe requests, {@code perSecond} in all, until {@link #stopped}. */
    void load(double perSecond) {
      daemon(
          () -> {
            double next = now();
            for (int i = 0; !stopped; i++) {
              boolean keyed = i % 3 == 2;
              daemon(() -> ask(keyed));
              next += 1000 / perSecond;
              sleep(next - now());
            }
          });
    }

    private synchronized Socket poll() {
      return idle.pollLast();
    }

    private synchronized void keep(Socket socket) {
      idle.addLast(socket);
    }

    Answer ask(boolean keyed) {
      String id = Long.toHexString(NEXT.incrementAndGet());
      String name = keyed ? "visit-log" : "visit-claim";
      String request =
          "POST /" + name + " HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: " + id
              + "\r\nX-Priority-Class: " + name + "\r\nX-Timeout-Ms: " + (keyed ? 1200 : 800)
              + "\r\n" + (keyed ? "Idempotency-Key: k" + id + "\r\n" : "")
              + "Content-Length: 5\r\n\r\nhello";
      Answer answer = null;
      for (int i = 0; answer == null; i++) {
        answer = exchange(id, request, i > 0);
      }
      answers.add(answer);
      record(proxy.name + " " + name + " " + id + " answered " + answer.status() + " after "
          + Math.round(answer.at() - answer.sentAt()) + " ms");
      return answer;
    }

    /** Returns null where a kept connection ended before it gave an answer. */
    private Answer exchange(String id, String request, boolean fresh) {
      Socket socket = fresh ? null : poll();
      boolean kept = socket != null;
      double sentAt = now();
      try {
        if (socket == null) {
          socket = new Socket("127.0.0.1", proxy.port);
          socket.setTcpNoDelay(true);
        }
        socket.setSoTimeout(5000);
        sentAt = now();
        socket.getOutputStream().write(bytes(request));
        Message answer = read(new BufferedInputStream(socket.getInputStream()));
        if (answer == null) {
          socket.close();
          return kept ? null : new Answer(id, sentAt, now(), 0, "");
        }
        if ("close".equalsIgnoreCase(answer.headers().get("connection"))) {
          socket.close();
        } else {
          keep(socket);
        }
        int status = Integer.parseInt(answer.first().split(" ")[1]);
        return new Answer(
            id, sentAt, now(), status, new String(answer.body(), StandardCharsets.ISO_8859_1));
      } catch (IOException e) {
        return kept ? null : new Answer(id, sentAt, now(), 0, e.toString());
      }
    }
  }

  // --- settings of a small deployment, as on the page of the wire

  static String settings(String membershipMode, int position, int balancers) {
    return """
        {"balancers": %d,
         "blend": {"whole": 0.55, "worstClass": 0.1, "worstTenant": 0.0, "worstWindow": 0.35},
         "classes": [
          {"aim": 400.0, "deadline": 800.0, "keyScope": "all", "lateWorth": 0.0,
           "name": "visit-claim", "repeatWindow": 5000.0, "semantics": "at_most_once",
           "streamed": false, "value": 8.0},
          {"aim": 400.0, "deadline": 1200.0, "keyScope": "cell", "lateWorth": 0.0,
           "name": "visit-log", "repeatWindow": 750.0, "semantics": "deduplicated",
           "streamed": false, "value": 5.0}],
         "clients": {"marksRetry": false},
         "fees": {"connection": 0.03, "crossZone": 0.0, "handshake": 0.03, "lateFail": 0.05,
          "membershipMode": 0.0, "moves": 0.0, "origin": 0.0, "peer": 0.01, "probe": 0.01,
          "waste": 0.04},
         "kindOfService": "mesh", "kinds": ["m"],
         "limits": {"cancel": true, "connIdle": 60000.0, "connectTimeout": 200.0,
          "cpuUsPerRequest": 0.0, "cpuUsPerS": 141890, "maxAttempts": 6, "maxOpen": 28378,
          "maxRetryAfter": 1200.0, "parallelTries": true, "peers": false, "probes": false,
          "retryAfter": true, "streamsPerConn": 1},
         "membershipMode": "%s", "overShareWorth": 0.1, "period": 5.0, "position": %d,
         "report": {"fields": [], "how": "none"},
         "rules": {"answerSlack": 20.0, "askWithin": 10000.0, "cold": 8700.0, "drainGrace": 500.0,
          "fall": 1500.0, "fallMultiple": 3.0, "startCapacity": 0.3},
         "specifics": {"warmKeys": false}, "stage": 0, "tenants": [], "tiers": ["roster-api"],
         "weights": "none", "worthBy": "request", "zone": "z", "zones": ["z"]}"""
        .formatted(balancers, membershipMode, position);
  }

  static final String LIMITS = "{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}";
}
