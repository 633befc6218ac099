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

/** Bodies that go on while they come, and what breaks them off. */
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

  /** Far more than all socket buffers on the way hold. */
  private static final long LONG = 48L << 20;

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
    Socket s = new Socket();
    s.setReceiveBufferSize(RawUpstream.SOCKET_BUFFER_BYTES);
    s.setSendBufferSize(RawUpstream.SOCKET_BUFFER_BYTES);
    s.connect(
        new InetSocketAddress("127.0.0.1", fixture.address().getPort()),
        ProxyFixture.TIMEOUT_MILLIS);
    s.setSoTimeout(ProxyFixture.TIMEOUT_MILLIS);
    return s;
  }

  private static String upload(String id, String framing) {
    return request("POST", "/up", id).replace("Content-Length: 0", framing);
  }

  private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

  /** Waits until a count has stood still for a while; returns it. */
  private static long still(AtomicLong count) throws InterruptedException {
    long[] last = {-1};
    int[] same = {0};
    ProxyFixture.await(
        () -> {
          same[0] = count.get() == last[0] ? same[0] + 1 : 0;
          last[0] = count.get();
          return same[0] >= 300; // a third of a second
        });
    return last[0];
  }

  // --- uploads

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void anUploadGoesOnWhileItComesAndItsClientWaitsForTheHost(boolean chunked) throws Exception {
    AtomicLong got = new AtomicLong();
    CountDownLatch reads = new CountDownLatch(1);
    RawUpstream h =
        fixture.startRawUpstream(
            (host, in, out, s) -> {
              while (host.readHead(in) != null) {
                reads.await(ProxyFixture.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
                if (chunked) {
                  long[] n = new long[1];
                  RawUpstream.readChunkedBody(in, n);
                  got.addAndGet(n[0]);
                } else {
                  for (long left = LONG; left > 0; left -= in.skip(left)) {}
                  got.addAndGet(LONG);
                }
                RawUpstream.write(out, OK);
              }
            });
    fixture.start(LISTENER, CLASSES, RawUpstream.pool("a", "", h), CLAIMS);
    AtomicLong sent = new AtomicLong();
    try (Socket s = client()) {
      ProxyFixture.write(
          s, upload("r", chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + LONG));
      RawUpstream.startThread(
          () -> {
            OutputStream out = s.getOutputStream();
            byte[] block = new byte[32 * 1024];
            for (long n = 0; n < LONG; n += block.length) {
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
      ProxyFixture.await(
          () -> h.heads.size() == 1); // the host has the head while the body still comes
      assertThat(still(sent)).isLessThan(LONG / 4);
      reads.countDown();
      assertThat(ProxyFixture.readMessage(s.getInputStream()))
          .startsWith("HTTP/1.1 200")
          .endsWith("ok");
      assertThat(got).hasValue(LONG);
    }
  }

  @Test
  void aBodyThatTakesLongerThanTheAimIsNotItsHostsSilence() throws Exception {
    RawUpstream.ConnectionHandler serving =
        (host, in, out, s) -> {
          host.readHead(in);
          in.readNBytes(200_000);
          RawUpstream.write(out, OK);
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
    try (Socket s = client()) {
      ProxyFixture.write(s, upload("r", "Content-Length: 200000"));
      for (int i = 0; i < 10; i++) {
        Thread.sleep(80); // what the test is about: time in which the host has nothing to answer
        ProxyFixture.write(s, "x".repeat(20_000));
      }
      assertThat(ProxyFixture.readMessage(s.getInputStream())).startsWith("HTTP/1.1 200");
    }
    assertThat(fixture.rawRequestCount()).isEqualTo(1);
  }

  @Test
  void anUploadThatIsCutHalfWayIsCutAtItsHostAndNotSentAgain() throws Exception {
    RawUpstream h =
        fixture.startRawUpstream(
            (host, in, out, s) -> {
              host.readHead(in);
              RawUpstream.readChunkedBody(in, new long[1]);
              RawUpstream.write(out, OK);
            });
    fixture.start(LISTENER, CLASSES, RawUpstream.pool("a", "", h), LISTS);
    try (Socket s = client()) {
      ProxyFixture.write(s, upload("r", "Transfer-Encoding: chunked") + "5\r\nhello\r\n");
      ProxyFixture.await(() -> h.heads.size() == 1);
    }
    ProxyFixture.await(
        () -> h.closedConnections.get() == 1); // it saw the end of the stream inside the body
    assertThat(h.heads).hasSize(1);
    try (Socket s = client()) {
      ProxyFixture.write(
          s, upload("bad", "Transfer-Encoding: chunked") + "5\r\nhello\r\nnoise\r\n");
      assertThat(ProxyFixture.isClosedByPeer(s)).isTrue();
    }
    ProxyFixture.await(() -> h.closedConnections.get() == h.heads.size());
  }

  @Test
  void anEarlyErrorIsPassedOnAndEndsTheConnection() throws Exception {
    RawUpstream h =
        fixture.startRawUpstream(
            (host, in, out, s) -> {
              host.readHead(in);
              RawUpstream.write(out, "HTTP/1.1 500 No\r\nContent-Length: 4\r\n\r\nfull");
              in.read(new byte[1024]);
              Thread.sleep(300);
            });
    fixture.start(LISTENER, CLASSES, RawUpstream.pool("a", "", h), CLAIMS);
    try (Socket s = client()) {
      ProxyFixture.write(s, upload("r", "Content-Length: 1000000") + "begins");
      assertThat(ProxyFixture.readMessage(s.getInputStream()))
          .startsWith("HTTP/1.1 500")
          .containsIgnoringCase("connection: close")
          .endsWith("full");
      assertThat(ProxyFixture.isClosedByPeer(s)).isTrue();
    }
    assertThat(h.heads).hasSize(1);
  }

  @ParameterizedTest
  @CsvSource({"1000, 200, 1", "60000, 200, 1", "400000, 503, 0"})
  void whatWasTurnedAwayGoesToAnotherHostOnlyWhileAllOfItIsHeld(int length, int status, int other)
      throws Exception {
    java.util.concurrent.atomic.AtomicInteger first =
        new java.util.concurrent.atomic.AtomicInteger();
    RawUpstream.ConnectionHandler serving =
        (host, in, out, s) -> {
          while (host.readHead(in) != null) {
            for (long left = length; left > 0; left -= in.skip(left)) {}
            RawUpstream.write(
                out,
                first.getAndIncrement() == 0
                    ? "HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
                    : OK);
          }
        };
    fixture.start(
        LISTENER,
        CLASSES,
        RawUpstream.pool(
            "a", "", fixture.startRawUpstream(serving), fixture.startRawUpstream(serving)),
        CLAIMS);
    try (Socket s = client()) {
      ProxyFixture.write(s, upload("r", "Content-Length: " + length) + "x".repeat(length));
      assertThat(RawUpstream.readUntil(s.getInputStream(), "\r\n\r\n"))
          .startsWith("HTTP/1.1 " + status);
    }
    assertThat(fixture.rawRequestCount()).isEqualTo(1 + other);
  }

  @Test
  void anUploadThatMayHaveRunIsNotSentAgain() throws Exception {
    RawUpstream.ConnectionHandler serving =
        (host, in, out, s) -> {
          host.readHead(in);
          in.read();
          s.setSoLinger(true, 0);
        };
    fixture.start(
        LISTENER,
        CLASSES,
        RawUpstream.pool(
            "a", "", fixture.startRawUpstream(serving), fixture.startRawUpstream(serving)),
        CLAIMS);
    try (Socket s = client()) {
      ProxyFixture.write(s, upload("r", "Content-Length: 100") + "x".repeat(50));
      assertThat(ProxyFixture.readMessage(s.getInputStream())).startsWith("HTTP/1.1 502");
    }
    assertThat(fixture.rawRequestCount()).isEqualTo(1);
  }

  @Test
  void aBodyThatStopsComingIsGivenUp() throws Exception {
    RawUpstream h =
        fixture.startRawUpstream(
            (host, in, out, s) -> {
              host.readHead(in);
              RawUpstream.readChunkedBody(in, new long[1]);
            });
    fixture.start(LISTENER + "slow_ms = 200", CLASSES, RawUpstream.pool("a", "", h), CLAIMS);
    try (Socket s = client()) {
      ProxyFixture.write(s, upload("r", "Content-Length: 100") + "x".repeat(50));
      assertThat(ProxyFixture.readMessage(s.getInputStream())).startsWith("HTTP/1.1 502");
      assertThat(ProxyFixture.isClosedByPeer(s)).isTrue();
    }
    ProxyFixture.await(() -> h.closedConnections.get() == 1);
  }

  // --- answers

  private RawUpstream longAnswers(AtomicLong sent, long upTo) throws Exception {
    return fixture.startRawUpstream(
        (host, in, out, s) -> {
          while (host.readHead(in) != null) {
            RawUpstream.write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            byte[] block = new byte[32 * 1024];
            for (long n = 0; n < upTo; n += block.length) {
              RawUpstream.write(out, "8000\r\n");
              out.write(block);
              RawUpstream.write(out, "\r\n");
              sent.addAndGet(block.length);
            }
            if (upTo < LONG) {
              return; // dies in the middle of it
            }
            RawUpstream.write(out, "0\r\nX-Sum: 7\r\n\r\n");
          }
        });
  }

  /**
   * Rule 6 of every front: the time in which a server waits for our client is no time of the
   * server's.
   */
  @Test
  void thirtyClientsThatReadNothingCostOthersNothing() throws Exception {
    byte[] block = new byte[32 * 1024];
    RawUpstream h =
        fixture.startRawUpstream(
            (host, in, out, s) -> {
              String head;
              while ((head = host.readHead(in)) != null) {
                if (head.contains("/long")) {
                  RawUpstream.write(out, "HTTP/1.1 200 OK\r\nContent-Length: " + LONG + "\r\n\r\n");
                  for (long n = 0; n < LONG; n += block.length) {
                    out.write(block);
                  }
                } else {
                  RawUpstream.write(out, OK);
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
        RawUpstream.pool("a", "", h),
        route("long", "/long", "class = \"long\"\npool = \"a\"\nstream = true"),
        route("short", "/", "class = \"short\"\npool = \"a\""));
    java.util.List<Socket> deaf = new java.util.ArrayList<>();
    try {
      for (int i = 0; i < 30; i++) {
        Socket s = client();
        deaf.add(s);
        ProxyFixture.write(s, request("GET", "/long", "deaf-" + i));
      }
      ProxyFixture.await(() -> h.heads.size() == 30);
      java.util.Map<Integer, Integer> statuses = new java.util.TreeMap<>();
      int after = 0;
      for (int i = 0; after < 100; i++) { // until all of the long ones have been cut, and on
        statuses.merge(fixture.status(request("GET", "/x", "short-" + i)), 1, Integer::sum);
        after += h.closedConnections.get() >= 30 ? 1 : 0;
        Thread.sleep(5);
      }
      assertThat(statuses).containsOnlyKeys(200);
    } finally {
      for (Socket s : deaf) {
        s.close();
      }
    }
  }

  @Test
  void aClientThatStopsReadingHoldsItsHostAndTakesNoMemory() throws Exception {
    AtomicLong sent = new AtomicLong();
    fixture.start(LISTENER, CLASSES, RawUpstream.pool("a", "", longAnswers(sent, LONG)), LISTS);
    try (Socket s = client()) {
      ProxyFixture.write(s, request("GET", "/x", "r"));
      InputStream in = s.getInputStream();
      assertThat(RawUpstream.readUntil(in, "\r\n\r\n")).startsWith("HTTP/1.1 200");
      assertThat(still(sent)).isLessThan(LONG / 4);
      long[] got = new long[1];
      assertThat(RawUpstream.readChunkedBody(in, got)).isEqualTo("X-Sum: 7\r\n");
      assertThat(got[0]).isEqualTo(LONG);
      ProxyFixture.write(s, request("GET", "/x", "again"));
      assertThat(RawUpstream.readUntil(in, "\r\n\r\n")).startsWith("HTTP/1.1 200");
    }
    ProxyFixture.await(
        () ->
            fixture.rawUpstreams.get(0).closedConnections.get()
                == 1); // a client that leaves in the middle takes its attempt with it
  }

  @Test
  void anAnswerThatBreaksOffIsCutSoThatItsClientCanTell() throws Exception {
    AtomicLong sent = new AtomicLong();
    fixture.start(
        LISTENER,
        CLASSES,
        RawUpstream.pool("a", "", longAnswers(sent, 1 << 20), longAnswers(sent, 1 << 20)),
        LISTS);
    try (Socket s = client()) {
      ProxyFixture.write(s, request("GET", "/x", "r"));
      InputStream in = s.getInputStream();
      assertThat(RawUpstream.readUntil(in, "\r\n\r\n")).startsWith("HTTP/1.1 200");
      long[] got = new long[1];
      org.assertj.core.api.Assertions.assertThatThrownBy(() -> RawUpstream.readChunkedBody(in, got))
          .isInstanceOf(java.io.IOException.class);
    }
    assertThat(fixture.rawRequestCount()).isEqualTo(1); // it has begun: no other may answer
  }

  @Test
  void aStreamWhoseTimeIsUpIsCut() throws Exception {
    RawUpstream h =
        fixture.startRawUpstream(
            (host, in, out, s) -> {
              host.readHead(in);
              RawUpstream.write(out, "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nbegins");
              in.read();
            });
    fixture.start(LISTENER, CLASSES.replace("20000", "400"), RawUpstream.pool("a", "", h), LISTS);
    try (Socket s = client()) {
      ProxyFixture.write(s, request("GET", "/x", "r"));
      assertThat(RawUpstream.readUntil(s.getInputStream(), "begins")).startsWith("HTTP/1.1 200");
      assertThat(ProxyFixture.isClosedByPeer(s)).isTrue();
    }
    ProxyFixture.await(() -> h.closedConnections.get() == 1);
  }

  @Test
  void aDrainWaitsForAnOpenStream() throws Exception {
    CountDownLatch go = new CountDownLatch(1);
    RawUpstream h =
        fixture.startRawUpstream(
            (host, in, out, s) -> {
              host.readHead(in);
              RawUpstream.write(
                  out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n");
              go.await(ProxyFixture.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
              RawUpstream.write(out, "2\r\ncd\r\n0\r\n\r\n");
            });
    fixture.start(
        "[daemon]\ndrain_ms = 20000", LISTENER, CLASSES, RawUpstream.pool("a", "", h), LISTS);
    try (Socket s = client()) {
      ProxyFixture.write(s, request("GET", "/x", "r"));
      InputStream in = s.getInputStream();
      assertThat(RawUpstream.readUntil(in, "ab\r\n")).contains("2\r\nab");
      fixture.daemon.drain();
      Thread.sleep(50);
      go.countDown();
      assertThat(RawUpstream.readUntil(in, "0\r\n\r\n")).isEqualTo("2\r\ncd\r\n0\r\n\r\n");
      fixture.daemon.awaitTermination();
      assertThat(fixture.log()).contains("drained").doesNotContain("cut short");
    }
  }

  @Test
  void toHttp10AnAnswerWithoutALengthIsGivenOne() throws Exception {
    RawUpstream h =
        fixture.startRawUpstream(
            (host, in, out, s) -> {
              host.readHead(in);
              RawUpstream.write(
                  out,
                  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n2\r\ncd\r\n0\r\n\r\n");
            });
    fixture.start(LISTENER, CLASSES, RawUpstream.pool("a", "", h), LISTS);
    assertThat(fixture.exchange("GET /x HTTP/1.0\r\n\r\n"))
        .startsWith("HTTP/1.1 200")
        .containsIgnoringCase("content-length: 4")
        .endsWith("abcd");
  }
}
