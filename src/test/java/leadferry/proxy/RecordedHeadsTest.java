package leadferry.proxy;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import leadferry.RawMessage;
import leadferry.RecordedText;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What the platform's process forwards, and what its client gets, byte for byte. */
class RecordedHeadsTest {
  private static final String SERVED = ProxyFixture.ok("served");
  private static final String CLAIM = ProxyFixture.atMostOnceRequest("r1");

  /** Requests that are forwarded; the host serves each. */
  private static final List<String> REQUESTS =
      List.of(
          CLAIM,
          ProxyFixture.keyedRequest("r2"),
          ProxyFixture.atMostOnceRequest(
                  "r3",
                  "Content-Length: 4",
                  "X-Route-Key: user-7",
                  "X-Tenant-Id: acme",
                  "X-Timeout-Ms: 900",
                  "X-Retried: 1",
                  "X-Cost: 1200",
                  "X-Attrs: size=3,depth=2",
                  "accept: */*",
                  "Cookie: a=b; c=d",
                  "X-Twice: 1",
                  "X-Twice: 2",
                  "Connection: X-Hop",
                  "X-Hop: dropped",
                  "Keep-Alive: timeout=5",
                  "TE: trailers",
                  "Forwarded: for=192.0.2.1",
                  "X-Forwarded-For: 192.0.2.1",
                  "Via: 1.1 other",
                  "Empty:",
                  "\r\nbody")
              .replace("\r\n\r\nbody\r\n\r\n", "\r\n\r\nbody"),
          ProxyFixture.atMostOnceRequest("r4", "Transfer-Encoding: chunked", "Trailer: X-Sum")
              + "3\r\nabc\r\n2\r\nde\r\n0\r\nX-Sum: 5\r\n\r\n",
          CLAIM.replace("/claim/1", "/claim/1?b=2&a=%20x&&c"),
          CLAIM.replace("/claim/1", "http://other.test/claim/1"),
          CLAIM.replace("HTTP/1.1", "HTTP/1.0"),
          CLAIM.replace("Host: api\r\n", "Host: api\r\nConnection: close\r\n"),
          ProxyFixture.atMostOnceRequest("r5", "Content-Length: 2", "Expect: 100-continue") + "ab");

  /** Requests that no host is to see. */
  private static final List<String> REJECTED =
      List.of(
          CLAIM.replace("X-Request-ID: r1\r\n", ""),
          CLAIM.replace("/claim/1", "/other/1"),
          CLAIM.replace("/claim/1", "/log/1"),
          CLAIM.replace("POST", "GET"),
          ProxyFixture.keyedRequest("r6").replace("Idempotency-Key: r6\r\n", ""),
          CLAIM.replace("Host: api\r\n", ""),
          CLAIM.replace("Content-Length: 0", "Content-Length: 0\r\nContent-Length: 1"),
          CLAIM.replace("Content-Length: 0", "X-Timeout-Ms: soon\r\nContent-Length: 0"),
          CLAIM.replace("HTTP/1.1", "HTTP/2.0"),
          CLAIM.replace("Content-Length: 0", "Expect: moon\r\nContent-Length: 0"),
          CLAIM.replace("Content-Length: 0", "Content-Length: 99999999"),
          CLAIM.replace("/claim/1", "/claim/" + "x".repeat(9_000)),
          CLAIM.replace("Host: api\r\n", "Host: api\r\nX-Long: " + "y".repeat(17_000) + "\r\n"),
          "noise\r\n\r\n",
          "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n",
          "HEAD /_health HTTP/1.1\r\nHost: a\r\n\r\n");

  /** Answers of hosts to one claim. */
  private static final List<String> RESPONSES =
      List.of(
          "HTTP/1.1 200 Fine\r\nServer: s/1\r\nDate: Thu, 01 Jan 2026 00:00:00 GMT\r\n"
              + "Set-Cookie: a=1\r\nSet-Cookie: b=2\r\nX-Server-Load: inflight=7,queue=2\r\n"
              + "Keep-Alive: timeout=5\r\ncontent-TYPE: text/plain\r\nContent-Length: 3\r\n\r\nabc",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n"
              + "3\r\nabc\r\n0\r\nX-Sum: 6\r\n\r\n",
          "HTTP/1.1 200 OK\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
          "HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\nno",
          "HTTP/1.1 429 Too Many Requests\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 500 Internal Server Error\r\nX-Trace: t7\r\nContent-Length: 5\r\n\r\nerror",
          "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 504 Gateway Timeout\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
          "noise\r\n\r\n",
          "");

  @TempDir Path folder;
  private final StringBuilder transcript = new StringBuilder();

  @Test
  void forwardedRequestsAreAsRecorded() throws Exception {
    for (String request : REQUESTS) {
      record(request, SERVED);
    }
    RecordedText.assertSame("heads/platform-requests.txt", transcript.toString());
  }

  @Test
  void rejectionsAreAsRecorded() throws Exception {
    for (String request : REJECTED) {
      record(request, SERVED);
    }
    RecordedText.assertSame("heads/platform-rejected.txt", transcript.toString());
  }

  @Test
  void responsesReachTheClientAsRecorded() throws Exception {
    for (String response : RESPONSES) {
      record(CLAIM, response);
    }
    RecordedText.assertSame("heads/platform-answers.txt", transcript.toString());
  }

  /** A proxy of its own for each exchange, so that none depends on what went before. */
  private void record(String request, String response) throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(folder, 128)) {
      RecordingHost host = new RecordingHost(fixture, response);
      fixture.start(host);
      try (Socket client = fixture.connectClient()) {
        ProxyFixture.write(client, request);
        String received = RawMessage.read(client.getInputStream());
        if (received.startsWith("HTTP/1.1 100")) {
          received += RawMessage.read(client.getInputStream());
        }
        append("client sends", request);
        append("host gets", host.messages.isEmpty() ? "nothing" : host.messages.get(0));
        append("host answers", host.messages.isEmpty() ? "nothing" : response);
        append("client gets", received);
      }
    }
  }

  private void append(String title, String message) {
    String shown = message.replaceAll("(?i)(x-timeout-ms: )\\d+", "$1MS");
    String shortened = shown.replaceAll("x{100,}|y{100,}", "...");
    transcript.append("--- ").append(title).append('\n');
    transcript
        .append(RecordedText.escapeCarriageReturns(RecordedText.maskPorts(shortened)))
        .append('\n');
  }

  /** Keeps what it gets, and answers always the same; an empty answer ends the connection. */
  private static final class RecordingHost extends ProxyFixture.UpstreamHost {
    private final List<String> messages = new CopyOnWriteArrayList<>();
    private final String response;

    RecordingHost(ProxyFixture fixture, String response) throws IOException {
      fixture.super(head -> response);
      this.response = response;
    }

    @Override
    void serve(Socket socket) throws IOException {
      InputStream input = socket.getInputStream();
      String message;
      while (!(message = RawMessage.read(input)).isEmpty()) {
        messages.add(message);
        if (response.isEmpty()) {
          socket.close();
          return;
        }
        ProxyFixture.write(socket, response);
      }
    }
  }
}
