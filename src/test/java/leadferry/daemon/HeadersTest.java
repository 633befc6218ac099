package leadferry.daemon;

import static leadferry.daemon.DaemonFixture.CLASSES;
import static leadferry.daemon.DaemonFixture.LISTENER;
import static leadferry.daemon.DaemonFixture.request;
import static leadferry.daemon.DaemonFixture.route;
import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import leadferry.proxy.ProxyFixture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks that the upstream host receives each inspected header with the value that was inspected.
 * Guards against request smuggling and against rules bypassed by repeated, removed or malformed
 * headers.
 */
class HeadersTest {
  /** Each header that the daemon inspects in this configuration, with a client's value. */
  private static final Map<String, String> INSPECTED =
      Map.of(
          "Host", "api.test",
          "X-Request-ID", "id",
          "Idempotency-Key", "k",
          "X-Timeout-Ms", "900",
          "X-Kind", "log",
          "X-Office", "o1",
          "X-Carer", "c7",
          "X-Part", "b",
          "Expect", "100-continue",
          "Content-Length", "0");

  @TempDir Path folder;
  private final List<String> heads = new CopyOnWriteArrayList<>();
  private DaemonFixture fixture;
  private ProxyFixture proxyFixture;

  @BeforeEach
  void open() throws Exception {
    fixture = new DaemonFixture(folder);
    proxyFixture = new ProxyFixture(folder, 128);
    ProxyFixture.UpstreamHost host =
        proxyFixture
        .new UpstreamHost(
            h -> {
              heads.add(h);
              return ProxyFixture.ok("x");
            });
    fixture.start(
        LISTENER + "class_header = \"X-Kind\"\ntenant_header = \"X-Office\"",
        CLASSES + "[class.log]\nrepeat = \"keyed\"\nwindow_ms = 500\n",
        "[pool.a]\n[[pool.a.member]]\nid=\"h\"\naddress=\"" + host.address() + "\"",
        "[[route]]\nname = \"r\"\nprefix = \"/\"\nsplit_by = \"header:X-Carer\"\npool = \"a\"\n"
            + "headers = { X-Part = \"b\" }\nset_headers = { X-Set = \"s\" }\nremove_headers = [\"X-Gone\"]",
        route("else", "/", "pool = \"a\""));
  }

  @AfterEach
  void close() throws Exception {
    fixture.close();
    proxyFixture.close();
  }

  private static String requestWithInspectedHeaders(String furtherLines) {
    StringBuilder request = new StringBuilder("POST /x HTTP/1.1\r\n");
    INSPECTED.forEach((k, v) -> request.append(k).append(": ").append(v).append("\r\n"));
    return request + furtherLines + "\r\n";
  }

  @Test
  void everyInspectedHeaderReachesTheUpstreamUnchanged() throws Exception {
    try (Socket client = fixture.client()) {
      ProxyFixture.write(
          client,
          requestWithInspectedHeaders("X-Gone: x\r\nConnection: X-Hop, close\r\nX-Hop: 1\r\n"));
      assertThat(ProxyFixture.readMessage(client.getInputStream())).startsWith("HTTP/1.1 100");
      // The test reads both responses: a client that leaves after the interim response has
      // disconnected, and its request need not be forwarded.
      assertThat(ProxyFixture.readMessage(client.getInputStream())).startsWith("HTTP/1.1 200");
    }
    assertThat(heads).hasSize(1);
    String head = heads.get(0).toLowerCase(Locale.ROOT);
    INSPECTED.forEach(
        (k, v) -> {
          String line = "\r\n" + k.toLowerCase(Locale.ROOT) + ": ";
          switch (k) {
            case "Expect" ->
                assertThat(head).doesNotContain(line); // the daemon responds to it itself
            case "X-Timeout-Ms" -> assertThat(head).containsPattern(line + "[1-9][0-9]{0,2}\r");
            default -> assertThat(head).containsOnlyOnce(line + v + "\r");
          }
        });
    assertThat(head).contains("\r\nx-set: s\r").doesNotContain("x-gone").doesNotContain("x-hop");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "Idempotency-Key",
        "idempotency-KEY",
        "Host",
        "X-Request-ID",
        "X-Timeout-Ms",
        "X-Kind",
        "X-Office",
        "X-Carer",
        "X-Part",
        "X-Set",
        "X-Gone",
        "Expect",
        "Content-Length",
        "Transfer-Encoding",
        "Forwarded",
        "X-Forwarded-For",
        "Via",
        "close,Idempotency-Key",
        "close\r\nConnection:\tHost",
        "a b",
        "x@y",
        "\"Host\"",
        "a1,a2,a3,a4,a5,a6,a7,a8,a9,a10,a11,a12,a13,a14,a15,a16,a17,a18,a19,a20,Idempotency-Key"
      })
  void connectionOptionsCannotRemoveInspectedHeaders(String options) throws Exception {
    assertThat(fixture.status(requestWithInspectedHeaders("Connection: " + options + "\r\n")))
        .isEqualTo(400);
    assertThat(heads).isEmpty();
    assertThat(fixture.log()).contains("outcome=turned-away status=400");
  }

  @Test
  void eachOfFortyConnectionOptionsIsRemoved() throws Exception {
    StringBuilder options = new StringBuilder("Connection: close");
    StringBuilder lines = new StringBuilder();
    for (int i = 0; i < 40; i++) {
      options.append(i % 3 == 0 ? "," : " , ").append("x-hop-").append(i);
      lines.append("X-Hop-").append(i).append(": 1\r\n");
    }
    assertThat(
            fixture.status(request("GET", "/x", "r", options + "\r\n" + lines.toString().strip())))
        .isEqualTo(200);
    assertThat(heads.get(0).toLowerCase(Locale.ROOT)).doesNotContain("x-hop");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "X-Kind: claim",
        "X-Office: o2",
        "X-Carer: c8",
        "X-Timeout-Ms: 5",
        "Idempotency-Key: l"
      })
  void anInspectedHeaderMustNotBeRepeated(String line) throws Exception {
    assertThat(
            fixture.status(
                requestWithInspectedHeaders(line + "\r\n").replace("Expect: 100-continue\r\n", "")))
        .isEqualTo(400);
    assertThat(heads).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "GET\t/ HTTP/1.1",
        "GET  / HTTP/1.1",
        "GET /  HTTP/1.1",
        "GET / hTTP/1.1",
        "GET / HTTP/1.1 ",
        " GET / HTTP/1.1",
        "GET / HTTP/01.1",
        "GET / HTTP/1.1x",
        "GET /\u000b HTTP/1.1",
        "G(T / HTTP/1.1",
        "GET / HTTP/1.1\r\n folded: x",
        "GET / HTTP/1.1\r\nX : y",
        "GET / HTTP/1.1\r\n: y",
        "GET / HTTP/1.1\r\nX: a\u0000b",
        "GET / HTTP/1.1\r\nX: a\rb",
        "GET / HTTP/1.1\nX: y",
        "GET / HTTP/1.1\r\nX: y\nZ: a",
        "GET / HTTP/1.0\r\nContent-Length: 0\r\ncontent-length: 00",
        "GET / HTTP/1.0\r\nContent-Length: 0,0",
        "GET /",
        "\r\n\r\nGET / HTTP/1.1",
        "\nGET / HTTP/1.1"
      })
  void aHeadOutsideTheGrammarReachesNoUpstream(String head) throws Exception {
    assertThat(fixture.status(head + "\r\nHost: a\r\n\r\n")).isEqualTo(400);
    assertThat(heads).isEmpty();
  }

  @Test
  void aLeadingEmptyLineAndSingleByteWritesAreAccepted() throws Exception {
    byte[] bytes =
        ("\r\n" + request("GET", "/x", "r")).getBytes(java.nio.charset.StandardCharsets.US_ASCII);
    try (java.net.Socket socket = fixture.client()) {
      socket.setTcpNoDelay(true);
      for (byte b : bytes) {
        socket.getOutputStream().write(b);
      }
      assertThat(ProxyFixture.readMessage(socket.getInputStream())).startsWith("HTTP/1.1 200");
      ProxyFixture.write(socket, request("GET", "/x", "again"));
      assertThat(ProxyFixture.readMessage(socket.getInputStream())).startsWith("HTTP/1.1 200");
    }
  }

  @Test
  void anUnknownExpectationIsRejected() throws Exception {
    assertThat(fixture.status(request("GET", "/x", "r", "Expect: the-moon"))).isEqualTo(417);
    assertThat(
            fixture.status(
                request("GET", "/x", "s", "Expect: 100-continue", "Expect: 100-continue")))
        .isEqualTo(417);
    assertThat(heads).isEmpty();
  }
}
