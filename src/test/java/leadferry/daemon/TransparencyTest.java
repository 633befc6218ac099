package leadferry.daemon;

import static leadferry.daemon.DaemonFixture.CLASSES;
import static leadferry.daemon.DaemonFixture.LISTENER;
import static leadferry.daemon.DaemonFixture.pool;
import static leadferry.daemon.DaemonFixture.request;
import static leadferry.daemon.DaemonFixture.route;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import leadferry.proxy.ProxyFixture;
import leadferry.testbed.FakeUpstream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** What goes through goes through as it is. */
class TransparencyTest {
  private static final String CLAIMS = route("claims", "/", "class = \"claim\"\npool = \"a\"");
  private static final String LISTS = route("lists", "/", "class = \"list\"\npool = \"a\"");

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

  /** A host that gives every request, without a body, this answer. */
  private RawUpstream host(String answer) throws Exception {
    return fixture.startRawUpstream(
        (host, in, out, s) -> {
          while (host.readHead(in) != null) {
            RawUpstream.write(out, answer);
          }
        });
  }

  // --- errors of hosts

  private static final String ERROR =
      "HTTP/1.1 500 Internal Server Error\r\nContent-Type: application/json\r\nX-Trace: t7\r\nContent-Length: 16\r\n\r\n{\"error\":\"full\"}";

  @Test
  void anErrorThatEndsAnUnsafeRequestIsPassedOnWhole() throws Exception {
    RawUpstream h = host(ERROR);
    fixture.start(LISTENER, CLASSES, RawUpstream.pool("a", "", h, host(ERROR)), CLAIMS);
    assertThat(fixture.exchange(request("POST", "/claim", "r")))
        .startsWith("HTTP/1.1 500 ")
        .contains("X-Trace: t7")
        .endsWith("{\"error\":\"full\"}");
    assertThat(fixture.rawRequestCount()).isEqualTo(1);
  }

  @Test
  void theLastErrorOfASafeRequestIsPassedOnWhenItsAttemptsAreUsedUp() throws Exception {
    fixture.start(
        LISTENER,
        CLASSES,
        RawUpstream.pool("a", "max_attempts = 2", host(ERROR), host(ERROR)),
        LISTS);
    assertThat(fixture.exchange(request("GET", "/x", "r")))
        .startsWith("HTTP/1.1 500 ")
        .endsWith("{\"error\":\"full\"}");
    assertThat(fixture.rawRequestCount()).isEqualTo(2);
  }

  @Test
  void aServersOwn503ToWhatMayHaveRunDoesNotInviteAnotherTry() throws Exception {
    fixture.start(
        LISTENER,
        CLASSES,
        RawUpstream.pool("a", "", host(ERROR.replace("500 Internal Server Error", "503 Busy"))),
        CLAIMS);
    assertThat(fixture.exchange(request("POST", "/claim", "r")))
        .startsWith("HTTP/1.1 502 ")
        .contains("{\"error\"");
  }

  @Test
  void whereAnOperatorDoesNotWantThemErrorsStayInside() throws Exception {
    fixture.start(
        LISTENER, CLASSES, RawUpstream.pool("a", "pass_errors = false", host(ERROR)), CLAIMS);
    assertThat(fixture.exchange(request("POST", "/claim", "r")))
        .startsWith("HTTP/1.1 502 ")
        .doesNotContain("error");
  }

  @Test
  void anErrorWhoseBodyBreaksOffIsNotPassedOn() throws Exception {
    RawUpstream h =
        fixture.startRawUpstream(
            (host, in, out, s) -> {
              host.readHead(in);
              RawUpstream.write(out, ERROR.substring(0, ERROR.length() - 3));
            });
    fixture.start(LISTENER, CLASSES, RawUpstream.pool("a", "", h), CLAIMS);
    assertThat(fixture.exchange(request("POST", "/claim", "r")))
        .startsWith("HTTP/1.1 502 ")
        .doesNotContain("X-Trace");
  }

  // --- pipelines

  @ParameterizedTest
  @ValueSource(ints = {2, 4, 16})
  void whatIsSentAheadIsAnsweredInOrderHoweverMuchItIs(int pipeline) throws Exception {
    FakeUpstream a = fixture.startUpstream(FakeUpstream.Options.instant("a").withServiceTime(1, 4));
    fixture.start(LISTENER + "pipeline = " + pipeline, CLASSES, pool("a", "", a), CLAIMS);
    StringBuilder all = new StringBuilder();
    for (int i = 0; i < 400; i++) {
      String body = i % 3 == 0 ? "x".repeat(i) : "";
      all.append(
              request("POST", "/claim", "p" + i).replace("Length: 0", "Length: " + body.length()))
          .append(body);
    }
    try (Socket s = fixture.client()) {
      RawUpstream.startThread(() -> ProxyFixture.write(s, all.toString()));
      for (int i = 0; i < 400; i++) {
        assertThat(ProxyFixture.readMessage(s.getInputStream()))
            .startsWith("HTTP/1.1 200")
            .contains("\r\n\r\np" + i + " ");
      }
    }
    assertThat(fixture.executionLog.repeatedIds()).isEmpty();
  }

  @Test
  void aBadThirdRequestEndsThePipelineBehindTheAnswersOfTheFirstTwo() throws Exception {
    FakeUpstream a =
        fixture.startUpstream(FakeUpstream.Options.instant("a").withServiceTime(20, 1));
    fixture.start(LISTENER, CLASSES, pool("a", "", a), CLAIMS);
    try (Socket s = fixture.client()) {
      ProxyFixture.write(
          s,
          request("POST", "/claim", "p0")
              + request("POST", "/claim", "p1")
              + "GET\t/ HTTP/1.1\r\nHost: a\r\n\r\n"
              + request("POST", "/claim", "p3"));
      assertThat(ProxyFixture.readMessage(s.getInputStream()))
          .startsWith("HTTP/1.1 200")
          .contains("\r\n\r\np0 ");
      assertThat(ProxyFixture.readMessage(s.getInputStream()))
          .startsWith("HTTP/1.1 200")
          .contains("\r\n\r\np1 ");
      assertThat(ProxyFixture.readMessage(s.getInputStream())).startsWith("HTTP/1.1 400");
      assertThat(ProxyFixture.isClosedByPeer(s)).isTrue();
    }
    assertThat(fixture.executionLog.executionsOf("p3")).isEmpty();
  }

  @Test
  void aClientThatLeavesItsPipelineLeavesNothingBehind() throws Exception {
    FakeUpstream a =
        fixture.startUpstream(FakeUpstream.Options.instant("a").withServiceTime(50, 1));
    fixture.start(LISTENER, CLASSES, pool("a", "", a), CLAIMS);
    try (Socket s = fixture.client()) {
      ProxyFixture.write(
          s,
          request("POST", "/claim", "q0")
              + request("POST", "/claim", "q1")
              + request("POST", "/claim", "q2"));
      ProxyFixture.await(() -> fixture.executionLog.executionsOf("q0").size() == 1);
    }
    ProxyFixture.await(() -> a.connections() == 0);
    assertThat(fixture.status(request("POST", "/claim", "after"))).isEqualTo(200);
    assertThat(fixture.executionLog.executionsOf("q2")).isEmpty();
  }

  @Test
  void aPipelineOfOneIsNone() throws Exception {
    FakeUpstream a = fixture.startUpstream("a");
    fixture.start(LISTENER + "pipeline = 1", CLASSES, pool("a", "", a), CLAIMS);
    try (Socket s = fixture.client()) {
      ProxyFixture.write(s, request("POST", "/claim", "p0") + request("POST", "/claim", "p1"));
      assertThat(ProxyFixture.readMessage(s.getInputStream())).startsWith("HTTP/1.1 400");
    }
    assertThat(fixture.executionLog.executionCount()).isZero();
  }

  // --- HTTP/1.0 and targets

  @Test
  void clientsOfHttp10AreServedWithAndWithoutKeepAlive() throws Exception {
    RawUpstream h = host("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    fixture.start(LISTENER, CLASSES, RawUpstream.pool("a", "", h), CLAIMS);
    try (Socket s = fixture.client()) {
      for (int i = 0; i < 3; i++) {
        ProxyFixture.write(s, "GET /x HTTP/1.0\r\nConnection: keep-alive\r\n\r\n");
        assertThat(ProxyFixture.readMessage(s.getInputStream()))
            .startsWith("HTTP/1.1 200")
            .containsIgnoringCase("connection: keep-alive")
            .endsWith("ok");
      }
      ProxyFixture.write(s, "GET /x HTTP/1.0\r\nHost: api.test\r\n\r\n");
      assertThat(ProxyFixture.readMessage(s.getInputStream()))
          .startsWith("HTTP/1.1 200")
          .endsWith("ok");
      assertThat(ProxyFixture.isClosedByPeer(s)).isTrue();
    }
    assertThat(h.heads.get(0))
        .startsWith("GET /x HTTP/1.1\r\n")
        .containsIgnoringCase("\r\nhost: \r\n")
        .doesNotContainIgnoringCase("keep-alive");
    assertThat(h.heads.get(3)).containsIgnoringCase("\r\nhost: api.test\r\n");
    assertThat(fixture.status("POST /x HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"))
        .isEqualTo(400);
  }

  @ParameterizedTest
  @CsvSource({
    "http://b.test/x?q=1, api.test, /x?q=1, b.test, 200",
    "HTTP://B.test:81/x, api.test, /x, B.test:81, 200",
    "http://b.test, api.test, /, b.test, 200",
    "http://b.test?q, api.test, /?q, b.test, 200",
    "http:///x, api.test, , , 400",
    "http://user@b.test/x, api.test, , , 400",
    "http://b.test/../x, api.test, , , 400",
    "https://b.test/x, api.test, , , 400",
    "http://c.test/x, b.test, , , 404",
  })
  void theHostOfAnAbsoluteTargetWins(
      String target, String host, String path, String told, int status) throws Exception {
    RawUpstream h = host("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    fixture.start(
        LISTENER,
        CLASSES,
        RawUpstream.pool("a", "", h),
        "[[route]]\nname = \"b\"\nhosts = [\"b.test\"]\nprefix = \"/\"\npool = \"a\"");
    assertThat(fixture.status("GET " + target + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n"))
        .isEqualTo(status);
    assertThat(h.heads).hasSize(status == 200 ? 1 : 0);
    if (status == 200) {
      assertThat(h.heads.get(0))
          .startsWith("GET " + path + " HTTP/1.1")
          .containsIgnoringCase("\r\nhost: " + told + "\r\n");
    }
  }

  // --- trailers

  @Test
  void trailersGoBothWays() throws Exception {
    List<String> trailers = new java.util.concurrent.CopyOnWriteArrayList<>();
    RawUpstream h =
        fixture.startRawUpstream(
            (host, in, out, s) -> {
              while (host.readHead(in) != null) {
                trailers.add(RawUpstream.readChunkedBody(in, new long[1]));
                RawUpstream.write(
                    out,
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 7\r\nContent-Length: 9\r\n\r\n");
              }
            });
    fixture.start(LISTENER, CLASSES, RawUpstream.pool("a", "", h), CLAIMS);
    String head =
        request("POST", "/x", "r", "TE: trailers", "Connection: TE")
            .replace("Content-Length: 0", "Transfer-Encoding: chunked");
    try (Socket s = fixture.client()) {
      for (int i = 0; i < 2; i++) {
        ProxyFixture.write(s, head + "3\r\nabc\r\n0\r\nX-Check: 42\r\n\r\n");
        InputStream in = s.getInputStream();
        assertThat(RawUpstream.readUntil(in, "\r\n\r\n"))
            .startsWith("HTTP/1.1 200")
            .containsIgnoringCase("transfer-encoding: chunked");
        assertThat(RawUpstream.readUntil(in, "\r\n\r\n"))
            .isEqualTo("2\r\nok\r\n0\r\nX-Sum: 7\r\n\r\n");
      }
      ProxyFixture.write(s, head + "0\r\nIdempotency-Key: other\r\n\r\n");
      assertThat(ProxyFixture.readMessage(s.getInputStream())).startsWith("HTTP/1.1 400");
    }
    assertThat(trailers).containsExactly("X-Check: 42\r\n", "X-Check: 42\r\n");
    assertThat(h.heads.get(0)).containsIgnoringCase("\r\nte: trailers\r\n");
    try (Socket s = fixture.client()) {
      ProxyFixture.write(
          s, "GET /x HTTP/1.0\r\n\r\n"); // answered by a host that waits for a body: not at all
      ProxyFixture.await(() -> h.heads.size() == 3);
    }
  }

  // --- who called

  private static final String MADE_UP =
      "X-Forwarded-For: 6.6.6.6\r\nForwarded: for=6.6.6.6\r\nX-Real-IP: 6.6.6.6";

  @Test
  void aCallerThatIsNotTrustedCannotMakeUpAnAddress() throws Exception {
    RawUpstream h = host("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    fixture.start(
        LISTENER,
        CLASSES,
        RawUpstream.pool("a", "", h),
        CLAIMS,
        "[[limit]]\nname = \"each\"\nby = \"address\"\nper_second = 0.001\nburst = 2");
    assertThat(fixture.status(request("GET", "/x", "r", MADE_UP))).isEqualTo(200);
    assertThat(h.heads.get(0))
        .doesNotContain("6.6.6.6")
        .containsIgnoringCase("x-forwarded-for: 127.0.0.1\r\n")
        .containsIgnoringCase("forwarded: for=127.0.0.1;host=\"api.test\";proto=http\r\n")
        .containsIgnoringCase("x-forwarded-host: api.test")
        .containsIgnoringCase("via: 1.1 leadferry");
    assertThat(fixture.status(request("GET", "/x", "s", "X-Forwarded-For: 7.7.7.7")))
        .isEqualTo(200);
    assertThat(fixture.status(request("GET", "/x", "t", "X-Forwarded-For: 8.8.8.8")))
        .isEqualTo(429);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "X-Forwarded-For: 6.6.6.6, 9.9.9.9, 10.1.1.1 | 9.9.9.9",
        "Forwarded: for=6.6.6.6, For=\"[2001:db8::1]:4711\";proto=https, for=10.1.1.1 | 2001:db8:0:0:0:0:0:1",
        "Forwarded: for=6.6.6.6, for=unknown | 127.0.0.1",
        "Forwarded: for=\"6.6.6.6, for=7.7.7.7 | 127.0.0.1",
        "X-Forwarded-For: 10.1.1.1, 10.2.2.2 | 10.1.1.1",
        "X-Forwarded-For: 9.9.9.9:80 | 9.9.9.9",
        "X-Nothing: 1 | 127.0.0.1",
      })
  void ofAChainTheLastThatIsNotTrustedIsTheCaller(String line, String caller) throws Exception {
    RawUpstream h = host("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    fixture.start(
        LISTENER + "trusted = [\"127.0.0.0/8\", \"10.0.0.0/8\"]\nforwarded = \"replace\"",
        CLASSES,
        RawUpstream.pool("a", "", h),
        CLAIMS);
    assertThat(fixture.status(request("GET", "/x", "r", line))).isEqualTo(200);
    assertThat(h.heads.get(0)).containsIgnoringCase("\r\nx-forwarded-for: " + caller + "\r\n");
  }

  @Test
  void aTrustedHopIsAddedTo() throws Exception {
    RawUpstream h = host("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    fixture.start(
        LISTENER + "trusted = [\"127.0.0.1\"]", CLASSES, RawUpstream.pool("a", "", h), CLAIMS);
    assertThat(
            fixture.status(
                request(
                    "GET",
                    "/x",
                    "r",
                    "X-Forwarded-For: 9.9.9.9",
                    "X-Forwarded-Proto: https",
                    "Via: 1.0 edge")))
        .isEqualTo(200);
    assertThat(h.heads.get(0))
        .containsIgnoringCase("x-forwarded-for: 9.9.9.9, 127.0.0.1\r\n")
        .containsIgnoringCase("x-forwarded-proto: https\r\n")
        .containsIgnoringCase("via: 1.0 edge, 1.1 leadferry\r\n");
  }
}
