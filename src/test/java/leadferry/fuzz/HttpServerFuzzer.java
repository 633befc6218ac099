package leadferry.fuzz;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;
import leadferry.daemon.FuzzedDaemon;

/**
 * Sends bytes to a daemon and compares the requests that its upstream host receives with those that
 * {@link StrictReader} parses from the same bytes. As a program it generates inputs from a grammar
 * for a number of seconds; {@code fuzzerTestOneInput} is the entry point of a coverage-guided
 * fuzzer ({@code bench/fuzz}).
 */
public final class HttpServerFuzzer {
  /** Headers that must reach the upstream host with unchanged values. */
  private static final List<String> INSPECTED =
      List.of(
          "host",
          "idempotency-key",
          "x-request-id",
          "x-priority-class",
          "x-tenant-id",
          "x-route-key");

  private static FuzzedDaemon daemon;

  private HttpServerFuzzer() {}

  /**
   * Entry point of Jazzer: the first byte selects the size of the parts in which the others are
   * sent.
   */
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

  /**
   * Sends the bytes in parts of {@code partBytes}; returns the number of requests that reached the
   * upstream host.
   *
   * @throws AssertionError if the upstream host received a request that the bytes do not contain
   */
  static synchronized int check(byte[] bytes, int partBytes) throws Exception {
    FuzzedDaemon fuzzedDaemon = daemon();
    fuzzedDaemon.clearReceived();
    try (Socket socket = fuzzedDaemon.client()) {
      socket.setTcpNoDelay(true);
      try {
        for (int offset = 0; offset < bytes.length; offset += partBytes) {
          socket.getOutputStream().write(bytes, offset, Math.min(partBytes, bytes.length - offset));
        }
        // A client that shuts down its output counts as disconnected, so the fuzzer waits briefly
        // for responses first.
        socket.setSoTimeout(3);
        boolean hasMore = true;
        while (hasMore) {
          try {
            hasMore = socket.getInputStream().read(new byte[4_096]) >= 0;
          } catch (java.net.SocketTimeoutException e) {
            hasMore = false;
          }
        }
        socket.setSoTimeout(5_000);
        socket.shutdownOutput();
        while (socket.getInputStream().read(new byte[4_096]) >= 0) {}
      } catch (java.net.SocketTimeoutException e) {
        throw new AssertionError("neither a response nor a close within 5 s", e);
      } catch (IOException e) {
        // rejected while the input was still being sent
      }
    }
    fuzzedDaemon.awaitIdle();
    List<byte[]> forwarded = List.copyOf(fuzzedDaemon.received());
    List<StrictReader.Request> expected = StrictReader.parse(bytes);
    int index = 0;
    for (byte[] forwardedBytes : forwarded) {
      List<StrictReader.Request> forwardedRequests = StrictReader.parse(forwardedBytes);
      if (forwardedRequests.size() != 1) {
        throw new AssertionError(
            "upstream host received bytes that are not one valid request: " + text(forwardedBytes));
      }
      StrictReader.Request forwardedRequest = forwardedRequests.get(0);
      // The server may send a local response (404, 400) to a request, so later requests have a
      // higher index.
      while (index < expected.size() && !isSameRequest(expected.get(index), forwardedRequest)) {
        index++;
      }
      if (index++ == expected.size()) {
        throw new AssertionError(
            "upstream host received " + text(forwardedBytes) + ", which the client did not send");
      }
    }
    return forwarded.size();
  }

  private static String text(byte[] bytes) {
    return new String(bytes, java.nio.charset.StandardCharsets.ISO_8859_1);
  }

  private static boolean isSameRequest(StrictReader.Request sent, StrictReader.Request forwarded) {
    String target = sent.target();
    List<String> hosts = sent.headerValues("host");
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
    if (hosts.isEmpty() && sent.version().equals("HTTP/1.0")) {
      hosts = List.of("");
    }
    if (!sent.method().equals(forwarded.method())
        || !target.equals(forwarded.target())
        || !sent.body().equals(forwarded.body())
        || !hosts.equals(forwarded.headerValues("host"))) {
      return false;
    }
    for (String name : INSPECTED) {
      if (!name.equals("host") && !sent.headerValues(name).equals(forwarded.headerValues(name))) {
        return false;
      }
    }
    return true;
  }

  // --- grammar

  private static final String[] REQUEST_LINES = {
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
  private static final String[] HEADER_LINES = {
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

  /** Generates requests from the grammar and changes a few of their bytes. */
  static byte[] generate(SplittableRandom random) {
    StringBuilder text = new StringBuilder();
    for (int remaining = 1 + random.nextInt(3); remaining > 0; remaining--) {
      text.append(pick(REQUEST_LINES, random)).append("\r\n");
      for (int headersLeft = random.nextInt(4); headersLeft > 0; headersLeft--) {
        text.append(pick(HEADER_LINES, random)).append("\r\n");
      }
      switch (random.nextInt(4)) {
        case 0 -> text.append("\r\n").append(pick(BODIES, random));
        case 1 -> text.append("Host: c.test\r\nContent-Length: 5\r\n\r\nhello");
        case 2 ->
            text.append("Transfer-Encoding: chunked\r\n\r\n").append(BODIES[1 + random.nextInt(3)]);
        default -> text.append("\r\n");
      }
    }
    for (int remaining = random.nextInt(4) - 1; remaining > 0; remaining--) {
      int index = random.nextInt(text.length());
      switch (random.nextInt(3)) {
        case 0 -> text.setCharAt(index, (char) random.nextInt(256));
        case 1 -> text.insert(index, " \t\r\n:,;\u0000".charAt(random.nextInt(8)));
        default -> text.deleteCharAt(index);
      }
    }
    return text.toString().getBytes(java.nio.charset.StandardCharsets.ISO_8859_1);
  }

  private static String pick(String[] choices, SplittableRandom random) {
    return choices[random.nextInt(choices.length)];
  }

  /**
   * Writes generated inputs as a seed corpus, in the form that {@link #fuzzerTestOneInput} reads.
   */
  private static void writeCorpus(Path folder, int inputs) throws IOException {
    SplittableRandom random = new SplittableRandom(1);
    for (int i = 0; i < inputs; i++) {
      byte[] bytes = generate(random);
      byte[] input = new byte[bytes.length + 1];
      input[0] = (byte) random.nextInt(256);
      System.arraycopy(bytes, 0, input, 1, bytes.length);
      Files.write(folder.resolve("grammar-" + i), input);
    }
  }

  /**
   * Runs generated inputs for a number of seconds, beginning with a seed: {@code HttpServerFuzzer
   * SECONDS [SEED]}. {@code HttpServerFuzzer corpus FOLDER N} writes N inputs to a folder instead.
   */
  public static void main(String[] args) throws Exception {
    if (args[0].equals("corpus")) {
      writeCorpus(Path.of(args[1]), Integer.parseInt(args[2]));
      return;
    }
    long endNanos = System.nanoTime() + (long) (Double.parseDouble(args[0]) * 1e9);
    long seed = args.length > 1 ? Long.parseLong(args[1]) : System.nanoTime();
    long inputs = 0;
    long reached = 0;
    for (; System.nanoTime() < endNanos; seed++) {
      reached += run(seed, 500);
      inputs += 500;
    }
    System.out.println(
        inputs
            + " inputs, "
            + reached
            + " requests reached the upstream host, all of them as sent");
    System.exit(0);
  }

  /**
   * Runs a number of inputs generated from a seed; returns how many requests reached the upstream
   * host.
   */
  static int run(long seed, int inputs) throws Exception {
    SplittableRandom random = new SplittableRandom(seed);
    int reached = 0;
    for (int i = 0; i < inputs; i++) {
      byte[] bytes = generate(random);
      int partBytes = random.nextInt(3) == 0 ? 1 + random.nextInt(20) : bytes.length;
      try {
        reached += check(bytes, partBytes);
      } catch (AssertionError e) {
        throw new AssertionError(
            "seed "
                + seed
                + ", input "
                + i
                + " in parts of "
                + partBytes
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
