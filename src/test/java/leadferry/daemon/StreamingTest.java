package leadferry.daemon;

import static leadferry.daemon.DaemonFixture.LISTENER;
import static leadferry.daemon.DaemonFixture.request;
import static leadferry.daemon.DaemonFixture.route;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import leadferry.proxy.ProxyFixture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks bodies that are forwarded while they arrive, and how they end early. Guards against
 * unbounded buffering, retries of partly sent uploads, and truncated responses that look complete.
 */
class StreamingTest {
  private static final String CLASSES =
      """
      [class.claim]
      aim_ms = 20000
      deadline_ms = 20000
      [class.list]
      aim_ms = 20000
      deadline_ms = 20000
      repeat = "safe"
      """;
  private static final String CLAIMS =
      route("claims", "/", "class = \"claim\"\npool = \"a\"\nstream = true");
  private static final String LISTS =
      route("lists", "/", "class = \"list\"\npool = \"a\"\nstream = true");

  /** Length of a body far larger than all socket buffers between client and upstream host. */
  private static final long LONG_BODY_BYTES = 48L << 20;

  @TempDir Path folder;
  private DaemonFixture fixture;

  @BeforeEach
  void open() {
    fixture = new DaemonFixture(folder);
  }

  @AfterEach
  void close() {
    fixture.close();
  }

  private Socket client() throws Exception {
    Socket socket = new Socket();
    socket.setReceiveBufferSize(RawUpstream.SOCKET_BUFFER_BYTES);
    socket.setSendBufferSize(RawUpstream.SOCKET_BUFFER_BYTES);
    socket.connect(
        new InetSocketAddress("127.0.0.1", fixture.address().getPort()),
        ProxyFixture.TIMEOUT_MILLIS);
    socket.setSoTimeout(ProxyFixture.TIMEOUT_MILLIS);
    return socket;
  }

  private static String upload(String id, String framing) {
    return request("POST", "/up", id).replace("Content-Length: 0", framing);
  }

  private static final String OK_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

  /** Waits until a count has not changed for a third of a second, and returns it. */
  private static long awaitUnchanged(AtomicLong count) throws InterruptedException {
    long[] last = {-1};
    int[] unchangedChecks = {0};
    ProxyFixture.await(
        () -> {
          unchangedChecks[0] = count.get() == last[0] ? unchangedChecks[0] + 1 : 0;
          last[0] = count.get();
          return unchangedChecks[0] >= 300; // about a third of a second
        });
    return last[0];
  }

  // --- uploads

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void anUploadIsStreamedAndItsClientHeldBackByTheUpstream(boolean chunked) throws Exception {
    AtomicLong received = new AtomicLong();
    CountDownLatch mayRead = new CountDownLatch(1);
    RawUpstream upstream =
        fixture.startRawUpstream(
            (host, in, out, socket) -> {
              while (host.readHead(in) != null) {
                mayRead.await(ProxyFixture.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
                if (chunked) {
                  long[] n = new long[1];
                  RawUpstream.readChunkedBody(in, n);
                  received.addAndGet(n[0]);
                } else {
                  for (long left = LONG_BODY_BYTES; left > 0; left -= in.skip(left)) {}
                  received.addAndGet(LONG_BODY_BYTES);
                }
                RawUpstream.write(out, OK_RESPONSE);
              }
            });
    fixture.start(LISTENER, CLASSES, RawUpstream.pool("a", "", upstream), CLAIMS);
    AtomicLong sent = new AtomicLong();
    try (Socket socket = client()) {
      ProxyFixture.write(
          socket,
          upload(
              "r", chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + LONG_BODY_BYTES));
      RawUpstream.startThread(
          () -> {
            OutputStream out = socket.getOutputStream();
            byte[] block = new byte[32 * 1024];
            for (long n = 0; n < LONG_BODY_BYTES; n += block.length) {
              if (chunked) {
                RawUpstream.write(out, "8000\r\n");
              }
              out.write(block);
              if (chunked) {
                RawUpstream.write(out, "\r\n");
              }
              sent.addAndGet(block.length);
            }
            if (chunked) {
              RawUpstream.write(out, "0\r\n\r\n");
            }
          });
      // The upstream host has the head while the body still arrives.
      ProxyFixture.await(() -> upstream.heads.size() == 1);
      assertThat(awaitUnchanged(sent)).isLessThan(LONG_BODY_BYTES / 4);
      mayRead.countDown();
      assertThat(ProxyFixture.readMessage(socket.getInputStream()))
          .startsWith("HTTP/1.1 200")
          .endsWith("ok");
      assertThat(received).hasValue(LONG_BODY_BYTES);
    }
  }

  @Test
  void aSlowUploadDoesNotCountAsALateResponse() throws Exception {
    RawUpstream.ConnectionHandler serving =
        (host, in, out, socket) -> {
          host.readHead(in);
          in.readNBytes(200_000);
          RawUpstream.write(out, OK_RESPONSE);
        };
    fixture.start(
        LISTENER,
        CLASSES.replace("aim_ms = 20000", "aim_ms = 100"),
        RawUpstream.pool(
            "a",
            "parallel = true",
            fixture.startRawUpstream(serving),
            fixture.startRawUpstream(serving)),
        LISTS);
    try (Socket socket = client()) {
      ProxyFixture.write(socket, upload("r", "Content-Length: 200000"));
      for (int i = 0; i < 10; i++) {
        // The test is about this time, in which the upstream host can't respond yet.
        Thread.sleep(80);
        ProxyFixture.write(socket, "x".repeat(20_000));
      }
      assertThat(ProxyFixture.readMessage(socket.getInputStream())).startsWith("HTTP/1.1 200");
    }
    assertThat(fixture.rawRequestCount()).isEqualTo(1);
  }

  @Test
  void anAbortedUploadIsAbortedAtTheUpstreamAndNotRetried() throws Exception {
    RawUpstream upstream =
        fixture.startRawUpstream(
            (host, in, out, socket) -> {
              host.readHead(in);
              RawUpstream.readChunkedBody(in, new long[1]);
              RawUpstream.write(out, OK_RESPONSE);
            });
    fixture.start(LISTENER, CLASSES, RawUpstream.pool("a", "", upstream), LISTS);
    try (Socket socket = client()) {
      ProxyFixture.write(socket, upload("r", "Transfer-Encoding: chunked") + "5\r\nhello\r\n");
      ProxyFixture.await(() -> upstream.heads.size() == 1);
    }
    // The upstream host has read the end of the stream inside the body.
    ProxyFixture.await(() -> upstream.closedConnections.get() == 1);
    assertThat(upstream.heads).hasSize(1);
    try (Socket socket = client()) {
      ProxyFixture.write(
          socket, upload("bad", "Transfer-Encoding: chunked") + "5\r\nhello\r\nnoise\r\n");
      assertThat(ProxyFixture.isClosedByPeer(socket)).isTrue();
    }
    ProxyFixture.await(() -> upstream.closedConnections.get() == upstream.heads.size());
  }

  @Test
  void anEarlyErrorIsPassedOnAndEndsTheConnection() throws Exception {
    RawUpstream upstream =
        fixture.startRawUpstream(
            (host, in, out, socket) -> {
              host.readHead(in);
              RawUpstream.write(out, "HTTP/1.1 500 No\r\nContent-Length: 4\r\n\r\nfull");
              in.read(new byte[1024]);
              Thread.sleep(300);
            });
    fixture.start(LISTENER, CLASSES, RawUpstream.pool("a", "", upstream), CLAIMS);
    try (Socket socket = client()) {
      ProxyFixture.write(socket, upload("r", "Content-Length: 1000000") + "begins");
      assertThat(ProxyFixture.readMessage(socket.getInputStream()))
          .startsWith("HTTP/1.1 500")
          .containsIgnoringCase("connection: close")
          .endsWith("full");
      assertThat(ProxyFixture.isClosedByPeer(socket)).isTrue();
    }
    assertThat(upstream.heads).hasSize(1);
  }

  @ParameterizedTest
  @CsvSource({"1000, 200, 1", "60000, 200, 1", "400000, 503, 0"})
  void aRejectedUploadIsRetriedOnlyWhileFullyBuffered(int length, int status, int retries)
      throws Exception {
    java.util.concurrent.atomic.AtomicInteger requests =
        new java.util.concurrent.atomic.AtomicInteger();
    RawUpstream.ConnectionHandler serving =
        (host, in, out, socket) -> {
          while (host.readHead(in) != null) {
            for (long left = length; left > 0; left -= in.skip(left)) {}
            RawUpstream.write(
                out,
                requests.getAndIncrement() == 0
                    ? "HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
                    : OK_RESPONSE);
          }
        };
    fixture.start(
        LISTENER,
        CLASSES,
        RawUpstream.pool(
            "a", "", fixture.startRawUpstream(serving), fixture.startRawUpstream(serving)),
        CLAIMS);
    try (Socket socket = client()) {
      ProxyFixture.write(socket, upload("r", "Content-Length: " + length) + "x".repeat(length));
      assertThat(RawUpstream.readUntil(socket.getInputStream(), "\r\n\r\n"))
          .startsWith("HTTP/1.1 " + status);
    }
    assertThat(fixture.rawRequestCount()).isEqualTo(1 + retries);
  }

  @Test
  void anUploadThatMayHaveRunIsNotRetried() throws Exception {
    RawUpstream.ConnectionHandler serving =
        (host, in, out, socket) -> {
          host.readHead(in);
          in.read();
          socket.setSoLinger(true, 0);
        };
    fixture.start(
        LISTENER,
        CLASSES,
        RawUpstream.pool(
            "a", "", fixture.startRawUpstream(serving), fixture.startRawUpstream(serving)),
        CLAIMS);
    try (Socket socket = client()) {
      ProxyFixture.write(socket, upload("r", "Content-Length: 100") + "x".repeat(50));
      assertThat(ProxyFixture.readMessage(socket.getInputStream())).startsWith("HTTP/1.1 502");
    }
    assertThat(fixture.rawRequestCount()).isEqualTo(1);
  }

  @Test
  void aStalledUploadTimesOut() throws Exception {
    RawUpstream upstream =
        fixture.startRawUpstream(
            (host, in, out, socket) -> {
              host.readHead(in);
              RawUpstream.readChunkedBody(in, new long[1]);
            });
    fixture.start(LISTENER + "slow_ms = 200", CLASSES, RawUpstream.pool("a", "", upstream), CLAIMS);
    try (Socket socket = client()) {
      ProxyFixture.write(socket, upload("r", "Content-Length: 100") + "x".repeat(50));
      assertThat(ProxyFixture.readMessage(socket.getInputStream())).startsWith("HTTP/1.1 502");
      assertThat(ProxyFixture.isClosedByPeer(socket)).isTrue();
    }
    ProxyFixture.await(() -> upstream.closedConnections.get() == 1);
  }

  // --- responses

  private RawUpstream startLongResponses(AtomicLong sent, long upTo) throws Exception {
    return fixture.startRawUpstream(
        (host, in, out, socket) -> {
          while (host.readHead(in) != null) {
            RawUpstream.write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            byte[] block = new byte[32 * 1024];
            for (long n = 0; n < upTo; n += block.length) {
              RawUpstream.write(out, "8000\r\n");
              out.write(block);
              RawUpstream.write(out, "\r\n");
              sent.addAndGet(block.length);
            }
            if (upTo < LONG_BODY_BYTES) {
              return; // fails in the middle of the body
            }
            RawUpstream.write(out, "0\r\nX-Sum: 7\r\n\r\n");
          }
        });
  }

  /**
   * Guards rule 6: the time in which an upstream host waits for the client does not count as the
   * host's response time.
   */
  @Test
  void thirtyClientsThatStopReadingDoNotAffectOthers() throws Exception {
    byte[] block = new byte[32 * 1024];
    RawUpstream upstream =
        fixture.startRawUpstream(
            (host, in, out, socket) -> {
              String head;
              while ((head = host.readHead(in)) != null) {
                if (head.contains("/long")) {
                  RawUpstream.write(
                      out, "HTTP/1.1 200 OK\r\nContent-Length: " + LONG_BODY_BYTES + "\r\n\r\n");
                  for (long n = 0; n < LONG_BODY_BYTES; n += block.length) {
                    out.write(block);
                  }
                } else {
                  RawUpstream.write(out, OK_RESPONSE);
                }
              }
            });
    fixture.start(
        LISTENER,
        """
        [class.short]
        aim_ms = 1000
        deadline_ms = 20000
        [class.long]
        aim_ms = 1000
        deadline_ms = 1500
        repeat = "safe"
        """,
        RawUpstream.pool("a", "", upstream),
        route("long", "/long", "class = \"long\"\npool = \"a\"\nstream = true"),
        route("short", "/", "class = \"short\"\npool = \"a\""));
    java.util.List<Socket> stalledClients = new java.util.ArrayList<>();
    try {
      for (int i = 0; i < 30; i++) {
        Socket socket = client();
        stalledClients.add(socket);
        ProxyFixture.write(socket, request("GET", "/long", "deaf-" + i));
      }
      ProxyFixture.await(() -> upstream.heads.size() == 30);
      java.util.Map<Integer, Integer> statuses = new java.util.TreeMap<>();
      int requestsAfterCut = 0;
      // Runs until all long responses have been cut, and 100 requests more.
      for (int i = 0; requestsAfterCut < 100; i++) {
        statuses.merge(fixture.status(request("GET", "/x", "short-" + i)), 1, Integer::sum);
        requestsAfterCut += upstream.closedConnections.get() >= 30 ? 1 : 0;
        Thread.sleep(5);
      }
      assertThat(statuses).containsOnlyKeys(200);
    } finally {
      for (Socket socket : stalledClients) {
        socket.close();
      }
    }
  }

  @Test
  void aClientThatStopsReadingHoldsBackItsUpstream() throws Exception {
    AtomicLong sent = new AtomicLong();
    fixture.start(
        LISTENER,
        CLASSES,
        RawUpstream.pool("a", "", startLongResponses(sent, LONG_BODY_BYTES)),
        LISTS);
    try (Socket socket = client()) {
      ProxyFixture.write(socket, request("GET", "/x", "r"));
      InputStream in = socket.getInputStream();
      assertThat(RawUpstream.readUntil(in, "\r\n\r\n")).startsWith("HTTP/1.1 200");
      assertThat(awaitUnchanged(sent)).isLessThan(LONG_BODY_BYTES / 4);
      long[] received = new long[1];
      assertThat(RawUpstream.readChunkedBody(in, received)).isEqualTo("X-Sum: 7\r\n");
      assertThat(received[0]).isEqualTo(LONG_BODY_BYTES);
      ProxyFixture.write(socket, request("GET", "/x", "again"));
      assertThat(RawUpstream.readUntil(in, "\r\n\r\n")).startsWith("HTTP/1.1 200");
    }
    // A client that disconnects mid-response cancels its attempt.
    ProxyFixture.await(() -> fixture.rawUpstreams.get(0).closedConnections.get() == 1);
  }

  @Test
  void aTruncatedResponseIsVisibleToItsClient() throws Exception {
    AtomicLong sent = new AtomicLong();
    fixture.start(
        LISTENER,
        CLASSES,
        RawUpstream.pool(
            "a", "", startLongResponses(sent, 1 << 20), startLongResponses(sent, 1 << 20)),
        LISTS);
    try (Socket socket = client()) {
      ProxyFixture.write(socket, request("GET", "/x", "r"));
      InputStream in = socket.getInputStream();
      assertThat(RawUpstream.readUntil(in, "\r\n\r\n")).startsWith("HTTP/1.1 200");
      long[] received = new long[1];
      org.assertj.core.api.Assertions.assertThatThrownBy(
              () -> RawUpstream.readChunkedBody(in, received))
          .isInstanceOf(java.io.IOException.class);
    }
    // The response has begun, so no other host may respond.
    assertThat(fixture.rawRequestCount()).isEqualTo(1);
  }

  @Test
  void aStreamIsCutAtItsDeadline() throws Exception {
    RawUpstream upstream =
        fixture.startRawUpstream(
            (host, in, out, socket) -> {
              host.readHead(in);
              RawUpstream.write(out, "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nbegins");
              in.read();
            });
    fixture.start(
        LISTENER, CLASSES.replace("20000", "400"), RawUpstream.pool("a", "", upstream), LISTS);
    try (Socket socket = client()) {
      ProxyFixture.write(socket, request("GET", "/x", "r"));
      assertThat(RawUpstream.readUntil(socket.getInputStream(), "begins"))
          .startsWith("HTTP/1.1 200");
      assertThat(ProxyFixture.isClosedByPeer(socket)).isTrue();
    }
    ProxyFixture.await(() -> upstream.closedConnections.get() == 1);
  }

  @Test
  void aDrainWaitsForAnOpenStream() throws Exception {
    CountDownLatch mayFinish = new CountDownLatch(1);
    RawUpstream upstream =
        fixture.startRawUpstream(
            (host, in, out, socket) -> {
              host.readHead(in);
              RawUpstream.write(
                  out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n");
              mayFinish.await(ProxyFixture.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
              RawUpstream.write(out, "2\r\ncd\r\n0\r\n\r\n");
            });
    fixture.start(
        "[daemon]\ndrain_ms = 20000",
        LISTENER,
        CLASSES,
        RawUpstream.pool("a", "", upstream),
        LISTS);
    try (Socket socket = client()) {
      ProxyFixture.write(socket, request("GET", "/x", "r"));
      InputStream in = socket.getInputStream();
      assertThat(RawUpstream.readUntil(in, "ab\r\n")).contains("2\r\nab");
      fixture.daemon.drain();
      Thread.sleep(50);
      mayFinish.countDown();
      assertThat(RawUpstream.readUntil(in, "0\r\n\r\n")).isEqualTo("2\r\ncd\r\n0\r\n\r\n");
      fixture.daemon.awaitTermination();
      assertThat(fixture.log()).contains("drained").doesNotContain("cut short");
    }
  }

  @Test
  void aChunkedResponseGetsALengthForHttp10() throws Exception {
    RawUpstream upstream =
        fixture.startRawUpstream(
            (host, in, out, socket) -> {
              host.readHead(in);
              RawUpstream.write(
                  out,
                  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n2\r\ncd\r\n0\r\n\r\n");
            });
    fixture.start(LISTENER, CLASSES, RawUpstream.pool("a", "", upstream), LISTS);
    assertThat(fixture.exchange("GET /x HTTP/1.0\r\n\r\n"))
        .startsWith("HTTP/1.1 200")
        .containsIgnoringCase("content-length: 4")
        .endsWith("abcd");
  }
}
