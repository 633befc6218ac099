package leadferry.proxy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import leadferry.RecordedText;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What operators' calls are answered, byte for byte, before, during and after a drain. */
class RecordedManagementTest {
  private static final String EMPTY_BODY = "Host: a\r\nContent-Length: 0\r\n\r\n";
  private static final String DRAIN = "PUT /v1/client-proxy/drain HTTP/1.1\r\n" + EMPTY_BODY;
  private static final String ACTIVATE = "PUT /v1/client-proxy/activate HTTP/1.1\r\n" + EMPTY_BODY;
  private static final String READY = "GET /v1/readyz HTTP/1.1\r\nHost: a\r\n\r\n";
  private static final String HEALTH = "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n";

  private static final List<String> INVALID_CALLS =
      List.of(
          "GET /v1/nothing HTTP/1.1\r\nHost: a\r\n\r\n",
          "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
          "GET /v1/readyz?x=1 HTTP/1.1\r\nHost: a\r\n\r\n",
          "PUT /v1/readyz HTTP/1.1\r\n" + EMPTY_BODY,
          "HEAD /v1/readyz HTTP/1.1\r\nHost: a\r\n\r\n",
          "GET /v1/client-proxy/drain HTTP/1.1\r\nHost: a\r\n\r\n",
          "POST /v1/client-proxy/activate HTTP/1.1\r\n" + EMPTY_BODY,
          "noise\r\nHost: a\r\n\r\n",
          "GET /" + "x".repeat(1_100) + " HTTP/1.1\r\nHost: a\r\n\r\n",
          "GET /v1/readyz HTTP/1.1\r\nA: " + "y".repeat(4_200) + "\r\n\r\n",
          "GET /v1/readyz HT",
          "PUT /v1/client-proxy/drain HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nab",
          "PUT /v1/client-proxy/drain HTTP/1.0\r\nContent-Length: 0\r\n\r\n",
          "GET /v1/readyz HTTP/1.0\r\n\r\n",
          "");

  @TempDir Path folder;
  private ProxyFixture fixture;
  private OperatorState state;
  private ManagementServer management;
  private final StringBuilder transcript = new StringBuilder();

  @BeforeEach
  void open() throws Exception {
    fixture = new ProxyFixture(folder, 128);
    state = new OperatorState();
    management =
        new ManagementServer(
            state::isReady, state::drain, state::activate, ProxyFixture.discardingLog());
    management.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  }

  @AfterEach
  void close() throws Exception {
    management.close();
    fixture.close();
  }

  @Test
  void everyResponseIsAsRecorded() throws Exception {
    record("before the start", READY);
    fixture.operatorState = state;
    fixture.start(fixture.new UpstreamHost(head -> ProxyFixture.ok("served")));
    recordAll("before the drain");
    record("the drain", DRAIN);
    recordAll("during the drain");
    record("a second drain", DRAIN);
    record("the end of the drain", ACTIVATE);
    recordAll("after the drain");
    for (String call : INVALID_CALLS) {
      record("no call", call);
    }
    record("after all", READY);
    RecordedText.assertSame("management/calls.txt", transcript.toString());
  }

  private void recordAll(String when) throws IOException {
    record(when, READY);
    record(when + ", to the listener of clients", HEALTH, fixture.proxy.address());
    String request = ProxyFixture.atMostOnceRequest("1");
    record(when + ", to the listener of clients", request, fixture.proxy.address());
  }

  private void record(String when, String call) throws IOException {
    record(when, call, management.address());
  }

  /** Sends, ends the sending, and reads up to the end of the connection. */
  private void record(String when, String call, InetSocketAddress address) throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(address, ProxyFixture.TIMEOUT_MILLIS);
      socket.setSoTimeout(ProxyFixture.TIMEOUT_MILLIS);
      ProxyFixture.write(socket, call);
      boolean complete = address.equals(management.address()) && isComplete(call);
      if (!complete && address.equals(management.address())) {
        socket.shutdownOutput();
      }
      String response =
          address.equals(management.address())
              ? new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1)
              : ProxyFixture.readMessage(socket.getInputStream());
      String shown = call.length() > 200 ? call.substring(0, 40) + "...\n" : call;
      transcript
          .append("--- ")
          .append(when)
          .append('\n')
          .append(RecordedText.escapeCarriageReturns(shown));
      transcript.append("\n=>\n").append(RecordedText.escapeCarriageReturns(response)).append('\n');
    }
  }

  private static boolean isComplete(String call) {
    return call.contains("\r\n\r\n") && !call.endsWith("ab");
  }
}
