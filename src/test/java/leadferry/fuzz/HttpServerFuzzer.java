package leadferry.fuzz;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;
import leadferry.daemon.FuzzedDaemon;

/**
 * Sends bytes to a daemon and compares what its host was sent with what {@link StrictReader} makes
 * of the bytes. As a program it makes bytes of a grammar for some seconds; {@code
 * fuzzerTestOneInput} is where a coverage-guided fuzzer comes in ({@code bench/fuzz}).
 */
public final class HttpServerFuzzer {
  /** Headers whose values must arrive as they were read. */
  private static final List<String> JUDGED =
      List.of(
          "host",
          "idempotency-key",
          "x-request-id",
          "x-priority-class",
          "x-tenant-id",
          "x-route-key");

  private static FuzzedDaemon daemon;

  private HttpServerFuzzer() {}

  /** Jazzer's entry: the first byte tells how the rest is split. */
  public static void fuzzerTestOneInput(byte[] data) throws Exception {
    if (data.length > 1) {
      byte[] rest = java.util.Arrays.copyOfRange(data, 1, data.length);
      check(rest, (data[0] & 7) == 0 ? 1 + (data[0] >> 3 & 31) : rest.length);
    }
  }

  private static synchronized FuzzedDaemon daemon() throws Exception {
    if (daemon == null) {
      daemon = new FuzzedDaemon();
    }
    return daemon;
  }

  /** Sends these bytes in parts of so many; throws what was wrong. */
  static synchronized int check(byte[] bytes, int part) throws Exception {
    FuzzedDaemon d = daemon();
    d.forget();
    try (Socket s = d.client()) {
      s.setTcpNoDelay(true);
      try {
        for (int at = 0; at < bytes.length; at += part) {
          s.getOutputStream().write(bytes, at, Math.min(part, bytes.length - at));
        }
        // A client that ends its sending has gone: it waits a little for answers first.
        s.setSoTimeout(3);
        boolean more = true;
        while (more) {
          try {
            more = s.getInputStream().read(new byte[4_096]) >= 0;
          } catch (java.net.SocketTimeoutException e) {
            more = false;
          }
        }
        s.setSoTimeout(5_000);
        s.shutdownOutput();
        while (s.getInputStream().read(new byte[4_096]) >= 0) {}
      } catch (java.net.SocketTimeoutException e) {
        throw new AssertionError("neither an answer nor a close", e);
      } catch (IOException e) {
        // turned away while it was still sending
      }
    }
    d.settle();
    List<byte[]> sent = List.copyOf(d.received());
    List<StrictReader.Request> read = StrictReader.parse(bytes);
    int at = 0;
    for (byte[] one : sent) {
      List<StrictReader.Request> there = StrictReader.parse(one);
      if (there.size() != 1) {
        throw new AssertionError("a host was sent what is no request: " + text(one));
      }
      StrictReader.Request host = there.get(0);
      // The front may answer one by itself (404, 400), so those that follow have a later place.
      while (at < read.size() && !same(read.get(at), host)) {
        at++;
      }
      if (at++ == read.size()) {
        throw new AssertionError("a host was sent " + text(one) + " of what was no such request");
      }
    }
    return sent.size();
  }

  private static String text(byte[] b) {
    return new String(b, java.nio.charset.StandardCharsets.ISO_8859_1);
  }

  private static boolean same(StrictReader.Request client, StrictReader.Request host) {
    String target = client.target();
    List<String> hosts = client.all("host");
    boolean absolute = target.regionMatches(true, 0, "http://", 0, 7);
    if (absolute) {
      int end = 7;
      while (end < target.length() && target.charAt(end) != '/' && target.charAt(end) != '?') {
        end++;
      }
      hosts = List.of(target.substring(7, end));
      target =
          target.substring(end).startsWith("/")
              ? target.substring(end)
              : "/" + target.substring(end);
    }
    if (hosts.isEmpty() && client.version().equals("HTTP/1.0")) {
      hosts = List.of("");
    }
    if (!client.method().equals(host.method())
        || !target.equals(host.target())
        || !client.body().equals(host.body())
        || !hosts.equals(host.all("host"))) {
      return false;
    }
    for (String name : JUDGED) {
      if (!name.equals("host") && !client.all(name).equals(host.all(name))) {
        return false;
      }
    }
    return true;
  }

  // --- a grammar of its own

  private static final String[] LINES = {
    "GET /a HTTP/1.1",
    "POST /a?q=1 HTTP/1.1",
    "POST http://b.test/a HTTP/1.1",
    "GET /a HTTP/1.0",
    "PUT /log/1 HTTP/1.1",
    "HEAD /a HTTP/1.1",
    "GET  /a HTTP/1.1",
    "GET /a HTTP/1.2",
    "M-X /%61 HTTP/1.1"
  };
  private static final String[] FIELDS = {
    "Host: a.test",
    "Host: a.test",
    "Host: a.test",
    "host:b.test",
    "X-Request-ID: r1",
    "Idempotency-Key: k",
    "X-Priority-Class: log",
    "X-Tenant-Id: t",
    "X-Route-Key: \t v ",
    "Content-Length: 5",
    "Content-Length: 5",
    "Content-Length: 05",
    "Content-Length: 5,5",
    "Transfer-Encoding: chunked",
    "Transfer-Encoding: chunked",
    "transfer-encoding : chunked",
    "Transfer-Encoding: chunked, chunked",
    "Transfer-Encoding: \u000bchunked",
    "Connection: close",
    "Connection: keep-alive, X-A",
    "X-A: 1",
    "Connection: idempotency-key",
    "Expect: 100-continue",
    "X-Timeout-Ms: 500",
    "TE: trailers",
    "Bad\u0000: x",
    "X-B: a\r\n b",
    "X-C: \u00e9"
  };
  private static final String[] BODIES = {
    "hello",
    "5\r\nhello\r\n0\r\n\r\n",
    "5;x=\"y\"\r\nhello\r\n0\r\nX-T: 1\r\n\r\n",
    "0\r\n\r\n",
    "",
    "5\r\nhello0\r\n\r\n",
    "0x5\r\nhello\r\n0\r\n\r\n",
    "5 \r\nhello\r\n0\r\n\r\n",
    "+5\r\nhello\r\n0\r\n\r\n",
    "5\nhello\n0\n\n",
    "00000000005\r\nhello\r\n0\r\n\r\n",
    "5\r\nhello\r\n0\r\nIdempotency-Key: other\r\n\r\n",
    "-1\r\n\r\n",
    "5;\r\nhello\r\n0\r\n\r\n",
    "\r\n5\r\nhello\r\n0\r\n\r\n",
    "5\r\nhello\r\n0;a\r\n\r\n",
    "5\r\nhelloXX0\r\n\r\n"
  };

  /** Requests of the grammar with a few bytes changed. */
  static byte[] make(SplittableRandom random) {
    StringBuilder s = new StringBuilder();
    for (int n = 1 + random.nextInt(3); n > 0; n--) {
      s.append(pick(LINES, random)).append("\r\n");
      for (int f = random.nextInt(4); f > 0; f--) {
        s.append(pick(FIELDS, random)).append("\r\n");
      }
      switch (random.nextInt(4)) {
        case 0 -> s.append("\r\n").append(pick(BODIES, random));
        case 1 -> s.append("Host: c.test\r\nContent-Length: 5\r\n\r\nhello");
        case 2 ->
            s.append("Transfer-Encoding: chunked\r\n\r\n").append(BODIES[1 + random.nextInt(3)]);
        default -> s.append("\r\n");
      }
    }
    for (int n = random.nextInt(4) - 1; n > 0; n--) {
      int at = random.nextInt(s.length());
      switch (random.nextInt(3)) {
        case 0 -> s.setCharAt(at, (char) random.nextInt(256));
        case 1 -> s.insert(at, " \t\r\n:,;\u0000".charAt(random.nextInt(8)));
        default -> s.deleteCharAt(at);
      }
    }
    return s.toString().getBytes(java.nio.charset.StandardCharsets.ISO_8859_1);
  }

  private static String pick(String[] of, SplittableRandom random) {
    return of[random.nextInt(of.length)];
  }

  /**
   * Writes so many inputs of the grammar, in {@link #fuzzerTestOneInput}'s form, for a fuzzer to
   * begin with.
   */
  private static void corpus(Path folder, int inputs) throws IOException {
    SplittableRandom random = new SplittableRandom(1);
    for (int i = 0; i < inputs; i++) {
      byte[] bytes = make(random);
      byte[] input = new byte[bytes.length + 1];
      input[0] = (byte) random.nextInt(256);
      System.arraycopy(bytes, 0, input, 1, bytes.length);
      Files.write(folder.resolve("grammar-" + i), input);
    }
  }

  /**
   * Makes inputs for so many seconds, from a seed on: {@code HttpServerFuzzer SECONDS [SEED]}.
   * {@code HttpServerFuzzer corpus FOLDER N} writes N of them instead.
   */
  public static void main(String[] args) throws Exception {
    if (args[0].equals("corpus")) {
      corpus(Path.of(args[1]), Integer.parseInt(args[2]));
      return;
    }
    long until = System.nanoTime() + (long) (Double.parseDouble(args[0]) * 1e9);
    long seed = args.length > 1 ? Long.parseLong(args[1]) : System.nanoTime();
    long inputs = 0;
    long reached = 0;
    for (; System.nanoTime() < until; seed++) {
      reached += run(seed, 500);
      inputs += 500;
    }
    System.out.println(
        inputs + " inputs, " + reached + " requests reached the host, none of them wrong");
    System.exit(0);
  }

  /** So many inputs from this seed; returns how many requests reached the host. */
  static int run(long seed, int inputs) throws Exception {
    SplittableRandom random = new SplittableRandom(seed);
    int reached = 0;
    for (int i = 0; i < inputs; i++) {
      byte[] bytes = make(random);
      int part = random.nextInt(3) == 0 ? 1 + random.nextInt(20) : bytes.length;
      try {
        reached += check(bytes, part);
      } catch (AssertionError e) {
        throw new AssertionError(
            "seed "
                + seed
                + ", input "
                + i
                + " in parts of "
                + part
                + ": "
                + text(bytes).replace("\r", "\\r")
                + "\n"
                + e.getMessage(),
            e);
      }
    }
    return reached;
  }
}
