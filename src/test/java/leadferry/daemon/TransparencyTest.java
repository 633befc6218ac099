package leadferry.daemon;

import static leadferry.daemon.DaemonFixture.CLASSES;
import static leadferry.daemon.DaemonFixture.LISTENER;
import static leadferry.daemon.DaemonFixture.request;
import static leadferry.daemon.DaemonFixture.route;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import leadferry.proxy.ProxyFixture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks that requests and responses pass the daemon unchanged. Guards against altered errors,
 * reordered pipelined responses, lost trailers and forged client addresses.
 */
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

  /** Starts an upstream host that sends this response to every request without a body. */
  private RawUpstream startUpstream(String response) throws Exception {
    return fixture.startRawUpstream(
        (host, in, out, socket) -> {
          while (host.readHead(in) != null) {
            RawUpstream.write(out, response);
          }
        });
  }

  // --- errors of upstream hosts

  private static final String ERROR =
      "HTTP/1.1 500 Internal Server Error\r\nContent-Type: application/json\r\nX-Trace: t7\r\nContent-Length: 16\r\n\r\n{\"error\":\"full\"}";

  @Test
  void anErrorForANonIdempotentRequestIsPassedOnUnchanged() throws Exception {
    RawUpstream upstream = startUpstream(ERROR);
    fixture.start(
        LISTENER, CLASSES, RawUpstream.pool("a", "", upstream, startUpstream(ERROR)), CLAIMS);
    assertThat(fixture.exchange(request("POST", "/claim", "r")))
        .startsWith("HTTP/1.1 500 ")
        .contains("X-Trace: t7")
        .endsWith("{\"error\":\"full\"}");
    assertThat(fixture.rawRequestCount()).isEqualTo(1);
  }

  @Test
  void theLastErrorOfAnIdempotentRequestIsPassedOn() throws Exception {
    fixture.start(
        LISTENER,
        CLASSES,
        RawUpstream.pool("a", "max_attempts = 2", startUpstream(ERROR), startUpstream(ERROR)),
        LISTS);
    assertThat(fixture.exchange(request("GET", "/x", "r")))
        .startsWith("HTTP/1.1 500 ")
        .endsWith("{\"error\":\"full\"}");
    assertThat(fixture.rawRequestCount()).isEqualTo(2);
  }

  @Test
  void anUpstreams503AfterPossibleProcessingBecomes502() throws Exception {
    fixture.start(
        LISTENER,
        CLASSES,
        RawUpstream.pool(
            "a", "", startUpstream(ERROR.replace("500 Internal Server Error", "503 Busy"))),
        CLAIMS);
    assertThat(fixture.exchange(request("POST", "/claim", "r")))
        .startsWith("HTTP/1.1 502 ")
        .contains("{\"error\"");
  }

  @Test
  void upstreamErrorsAreHiddenWherePassErrorsIsOff() throws Exception {
    fixture.start(
        LISTENER,
        CLASSES,
        RawUpstream.pool("a", "pass_errors = false", startUpstream(ERROR)),
        CLAIMS);
    assertThat(fixture.exchange(request("POST", "/claim", "r")))
        .startsWith("HTTP/1.1 502 ")
        .doesNotContain("error");
  }

  @Test
  void anErrorWithATruncatedBodyIsNotPassedOn() throws Exception {
    RawUpstream upstream =
        fixture.startRawUpstream(
            (host, in, out, socket) -> {
              host.readHead(in);
              RawUpstream.write(out, ERROR.substring(0, ERROR.length() - 3));
            });
    fixture.start(LISTENER, CLASSES, RawUpstream.pool("a", "", upstream), CLAIMS);
    assertThat(fixture.exchange(request("POST", "/claim", "r")))
        .startsWith("HTTP/1.1 502 ")
        .doesNotContain("X-Trace");
  }

  // --- HTTP/1.0 and targets

  @Test
  void clientsOfHttp10AreServedWithAndWithoutKeepAlive() throws Exception {
    RawUpstream upstream = startUpstream("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    fixture.start(LISTENER, CLASSES, RawUpstream.pool("a", "", upstream), CLAIMS);
    try (Socket socket = fixture.client()) {
      for (int i = 0; i < 3; i++) {
        ProxyFixture.write(socket, "GET /x HTTP/1.0\r\nConnection: keep-alive\r\n\r\n");
        assertThat(ProxyFixture.readMessage(socket.getInputStream()))
            .startsWith("HTTP/1.1 200")
            .containsIgnoringCase("connection: keep-alive")
            .endsWith("ok");
      }
      ProxyFixture.write(socket, "GET /x HTTP/1.0\r\nHost: api.test\r\n\r\n");
      assertThat(ProxyFixture.readMessage(socket.getInputStream()))
          .startsWith("HTTP/1.1 200")
          .endsWith("ok");
      assertThat(ProxyFixture.isClosedByPeer(socket)).isTrue();
    }
    assertThat(upstream.heads.get(0))
        .startsWith("GET /x HTTP/1.1\r\n")
        .containsIgnoringCase("\r\nhost: \r\n")
        .doesNotContainIgnoringCase("keep-alive");
    assertThat(upstream.heads.get(3)).containsIgnoringCase("\r\nhost: api.test\r\n");
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
  void theHostOfAnAbsoluteTargetReplacesTheHostHeader(
      String target, String host, String path, String forwardedHost, int status) throws Exception {
    RawUpstream upstream = startUpstream("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    fixture.start(
        LISTENER,
        CLASSES,
        RawUpstream.pool("a", "", upstream),
        "[[route]]\nname = \"b\"\nhosts = [\"b.test\"]\nprefix = \"/\"\npool = \"a\"");
    assertThat(fixture.status("GET " + target + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n"))
        .isEqualTo(status);
    assertThat(upstream.heads).hasSize(status == 200 ? 1 : 0);
    if (status == 200) {
      assertThat(upstream.heads.get(0))
          .startsWith("GET " + path + " HTTP/1.1")
          .containsIgnoringCase("\r\nhost: " + forwardedHost + "\r\n");
    }
  }

  // --- trailers

  @Test
  void trailersAreForwardedInBothDirections() throws Exception {
    List<String> trailers = new java.util.concurrent.CopyOnWriteArrayList<>();
    RawUpstream upstream =
        fixture.startRawUpstream(
            (host, in, out, socket) -> {
              while (host.readHead(in) != null) {
                trailers.add(RawUpstream.readChunkedBody(in, new long[1]));
                RawUpstream.write(
                    out,
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 7\r\nContent-Length: 9\r\n\r\n");
              }
            });
    fixture.start(LISTENER, CLASSES, RawUpstream.pool("a", "", upstream), CLAIMS);
    String head =
        request("POST", "/x", "r", "TE: trailers", "Connection: TE")
            .replace("Content-Length: 0", "Transfer-Encoding: chunked");
    try (Socket socket = fixture.client()) {
      for (int i = 0; i < 2; i++) {
        ProxyFixture.write(socket, head + "3\r\nabc\r\n0\r\nX-Check: 42\r\n\r\n");
        InputStream in = socket.getInputStream();
        assertThat(RawUpstream.readUntil(in, "\r\n\r\n"))
            .startsWith("HTTP/1.1 200")
            .containsIgnoringCase("transfer-encoding: chunked");
        assertThat(RawUpstream.readUntil(in, "\r\n\r\n"))
            .isEqualTo("2\r\nok\r\n0\r\nX-Sum: 7\r\n\r\n");
      }
      ProxyFixture.write(socket, head + "0\r\nIdempotency-Key: other\r\n\r\n");
      assertThat(ProxyFixture.readMessage(socket.getInputStream())).startsWith("HTTP/1.1 400");
    }
    assertThat(trailers).containsExactly("X-Check: 42\r\n", "X-Check: 42\r\n");
    assertThat(upstream.heads.get(0)).containsIgnoringCase("\r\nte: trailers\r\n");
    try (Socket socket = fixture.client()) {
      // The upstream host waits for a body, so it never responds.
      ProxyFixture.write(socket, "GET /x HTTP/1.0\r\n\r\n");
      ProxyFixture.await(() -> upstream.heads.size() == 3);
    }
  }

  // --- client addresses

  private static final String FORGED_HEADERS =
      "X-Forwarded-For: 6.6.6.6\r\nForwarded: for=6.6.6.6\r\nX-Real-IP: 6.6.6.6";

  @Test
  void anUntrustedClientCannotForgeItsAddress() throws Exception {
    RawUpstream upstream = startUpstream("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    fixture.start(
        LISTENER,
        CLASSES,
        RawUpstream.pool("a", "", upstream),
        CLAIMS,
        "[[limit]]\nname = \"each\"\nby = \"address\"\nper_second = 0.001\nburst = 2");
    assertThat(fixture.status(request("GET", "/x", "r", FORGED_HEADERS))).isEqualTo(200);
    assertThat(upstream.heads.get(0))
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
  void theLastUntrustedAddressOfAChainIsTheClient(String line, String client) throws Exception {
    RawUpstream upstream = startUpstream("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    fixture.start(
        LISTENER + "trusted = [\"127.0.0.0/8\", \"10.0.0.0/8\"]\nforwarded = \"replace\"",
        CLASSES,
        RawUpstream.pool("a", "", upstream),
        CLAIMS);
    assertThat(fixture.status(request("GET", "/x", "r", line))).isEqualTo(200);
    assertThat(upstream.heads.get(0))
        .containsIgnoringCase("\r\nx-forwarded-for: " + client + "\r\n");
  }

  @Test
  void forwardingHeadersOfATrustedHopAreExtended() throws Exception {
    RawUpstream upstream = startUpstream("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    fixture.start(
        LISTENER + "trusted = [\"127.0.0.1\"]",
        CLASSES,
        RawUpstream.pool("a", "", upstream),
        CLAIMS);
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
    assertThat(upstream.heads.get(0))
        .containsIgnoringCase("x-forwarded-for: 9.9.9.9, 127.0.0.1\r\n")
        .containsIgnoringCase("x-forwarded-proto: https\r\n")
        .containsIgnoringCase("via: 1.0 edge, 1.1 leadferry\r\n");
  }
}
