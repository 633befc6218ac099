package leadferry.daemon;

import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import leadferry.RawMessage;
import leadferry.RecordedText;
import leadferry.proxy.ProxyFixture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What the daemon forwards with its headers for upstreams, and what clients get, to the byte. */
class RecordedDaemonHeadsTest {
  private static final String TRUSTED = "trusted = [\"127.0.0.0/8\"]\n";
  private static final Map<String, String> LISTENERS =
      new TreeMap<>(
          Map.of(
              "append",
              "",
              "append-trusted",
              TRUSTED,
              "replace",
              "forwarded = \"replace\"\n",
              "replace-trusted",
              "forwarded = \"replace\"\n" + TRUSTED,
              "off",
              "forwarded = \"off\"\n" + TRUSTED,
              "small",
              "max_body_bytes = 4\nslow_ms = 100\n"));

  private static final String CLASSES =
      """
      [class.list]
      aim_ms = 1000
      deadline_ms = 3000
      repeat = "safe"
      [class.log]
      repeat = "keyed"
      window_ms = 500
      [class.short]
      aim_ms = 500
      deadline_ms = 500
      """;

  private static final String ROUTES =
      """
      [[route]]
      name = "rewritten"
      prefix = "/old"
      rewrite_prefix = "/new"
      pool = "main"
      set_headers = { X-Set = "s" }
      remove_headers = ["X-Internal"]
      [[route]]
      name = "stream"
      prefix = "/stream"
      stream = true
      pool = "main"
      [[route]]
      name = "limited"
      prefix = "/limited"
      pool = "main"
      [[route]]
      name = "error"
      prefix = "/error"
      pool = "failing"
      [[route]]
      name = "hidden"
      prefix = "/hidden"
      pool = "hiding"
      [[route]]
      name = "silent"
      prefix = "/silent"
      class = "short"
      pool = "silent"
      [[route]]
      name = "log"
      prefix = "/log"
      class = "log"
      pool = "main"
      [[route]]
      name = "plain"
      prefix = "/plain"
      pool = "main"
      [[limit]]
      name = "none-left"
      routes = ["limited"]
      per_second = 0.001
      """;

  private static final String ERROR =
      "HTTP/1.1 500 Internal Server Error\r\nX-Trace: t7\r\nContent-Length: 5\r\n\r\nerror";

  private static final List<String> CLAIMS =
      List.of(
          "Forwarded: for=192.0.2.1;proto=https, for=127.0.0.9",
          "X-Forwarded-For: 192.0.2.2, 127.0.0.9",
          "X-Forwarded-Host: outside.test",
          "X-Forwarded-Proto: https",
          "X-Forwarded-Port: 443",
          "X-Forwarded-Prefix: /p",
          "X-Forwarded-Server: s",
          "X-Real-IP: 192.0.2.3",
          "Via: 1.0 outside");

  @TempDir Path folder;
  private final List<String> forwarded = new CopyOnWriteArrayList<>();
  private final StringBuilder transcript = new StringBuilder();
  private DaemonFixture fixture;

  @BeforeEach
  void open() throws Exception {
    fixture = new DaemonFixture(folder);
    StringBuilder listeners = new StringBuilder();
    LISTENERS.forEach(
        (name, keys) ->
            listeners.append("[listener.%s]\naddress = \"127.0.0.1:0\"\n%s".formatted(name, keys)));
    fixture.start(
        listeners.toString(),
        CLASSES,
        RawUpstream.pool("main", "", upstream(ProxyFixture.ok("served", "X-Answer: 1"))),
        RawUpstream.pool("failing", "max_attempts = 1", upstream(ERROR)),
        RawUpstream.pool("hiding", "max_attempts = 1\npass_errors = false", upstream(ERROR)),
        RawUpstream.pool("silent", "max_attempts = 1", upstream("")),
        ROUTES);
  }

  @AfterEach
  void close() {
    fixture.close();
  }

  /** Keeps what it gets, and answers always the same; nothing where the answer is empty. */
  private RawUpstream upstream(String answer) throws Exception {
    return fixture.startRawUpstream((host, in, out, socket) -> serve(in, out, answer));
  }

  private void serve(InputStream input, OutputStream out, String answer) throws Exception {
    String message;
    while (!(message = RawMessage.read(input)).isEmpty()) {
      forwarded.add(message);
      String chunked =
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nX-End: 1\r\n\r\n";
      RawUpstream.write(out, message.startsWith("POST /stream") ? chunked : answer);
    }
  }

  @Test
  void everyListenerTellsOfTheCallerAsRecorded() throws Exception {
    for (String listener :
        List.of("append", "append-trusted", "replace", "replace-trusted", "off")) {
      exchange(listener, get("/plain/x"));
      exchange(listener, get("/plain/x", CLAIMS.toArray(String[]::new)));
      exchange(listener, get("/plain/x", "X-Forwarded-For: 192.0.2.2, unknown, 127.0.0.9"));
    }
    RecordedText.assertSame("heads/daemon-callers.txt", transcript.toString());
  }

  @Test
  void everyRouteForwardsAsRecorded() throws Exception {
    exchange("append", get("/old/a%20b?c=%2F&d", "X-Internal: 1", "X-Set: mine"));
    exchange("append", get("/plain/a/../b"));
    exchange("append", get("http://Other.test:80/plain/x"));
    exchange("append", get("/plain/x").replace("HTTP/1.1", "HTTP/1.0"));
    exchange(
        "append", get("/plain/x", "Connection: X-Hop, close", "X-Hop: 1", "X-Timeout-Ms: 900"));
    exchange("append", post("/plain/x", "Content-Length: 2", "Expect: 100-continue") + "ab");
    exchange(
        "append",
        post("/plain/x", "Transfer-Encoding: chunked") + "2\r\nab\r\n0\r\nX-T: 1\r\n\r\n");
    exchange("append", post("/stream/x", "Content-Length: 2") + "ab");
    exchange(
        "append",
        post("/stream/x", "Transfer-Encoding: chunked") + "2\r\nab\r\n0\r\nX-T: 1\r\n\r\n");
    exchange("append", post("/log/x", "Idempotency-Key: k", "Content-Length: 0"));
    RecordedText.assertSame("heads/daemon-routes.txt", transcript.toString());
  }

  @Test
  void everyRejectionAndFailureIsAnsweredAsRecorded() throws Exception {
    exchange("append", get("/_health"));
    exchange("append", get("/nowhere"));
    exchange("append", get("/limited/x"));
    exchange("append", get("/limited/x"));
    exchange("append", get("/error/x"));
    exchange("append", get("/hidden/x"));
    exchange("append", get("/silent/x"));
    exchange("append", post("/log/x", "Content-Length: 0"));
    exchange("append", get("/plain/%2F"));
    exchange("append", get("/plain/x", "Host: twice"));
    exchange("append", get("/plain/x", "Expect: moon"));
    exchange("append", get("/plain/x").replace("HTTP/1.1", "HTTP/3.0"));
    exchange("append", get("/plain/x").replace("GET", "CONNECT"));
    exchange("append", "noise\r\n\r\n");
    exchange("small", post("/plain/x", "Content-Length: 5") + "abcde");
    exchange("small", "GET /plain/x HTTP/1.1\r\nHost: api.test\r\n");
    RecordedText.assertSame("heads/daemon-rejected.txt", transcript.toString());
  }

  private static String get(String path, String... lines) {
    return DaemonFixture.request("GET", path, "r1", lines);
  }

  private static String post(String path, String... lines) {
    return DaemonFixture.request("PUT", path, "r1", lines).replace("PUT", "POST");
  }

  private void exchange(String listener, String request) throws Exception {
    forwarded.clear();
    try (Socket client = DaemonFixture.client(fixture.daemon.address(listener))) {
      ProxyFixture.write(client, request);
      String got = RawMessage.read(client.getInputStream());
      if (got.startsWith("HTTP/1.1 100")) {
        got += RawMessage.read(client.getInputStream());
      }
      append("client sends to listener " + listener, request);
      append("upstream gets", forwarded.isEmpty() ? "nothing" : forwarded.get(0));
      append("client gets", got);
    }
  }

  private void append(String what, String message) {
    String masked = message.replaceAll("(?i)(x-timeout-ms: )\\d+", "$1MS");
    transcript.append("--- ").append(what).append('\n');
    transcript
        .append(RecordedText.escapeCarriageReturns(RecordedText.maskPorts(masked)))
        .append('\n');
  }
}
