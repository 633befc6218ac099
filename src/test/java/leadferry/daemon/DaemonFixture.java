package leadferry.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import leadferry.engine.LineLog;
import leadferry.proxy.ProxyFixture;
import leadferry.testbed.ExecutionLog;
import leadferry.testbed.FakeUpstream;
import leadferry.testbed.LoadGenerator;

/**
 * Daemon between fake upstream hosts and test clients on loopback, configured by a file that the
 * test writes.
 */
final class DaemonFixture implements AutoCloseable {
  final ExecutionLog executionLog = new ExecutionLog(1_000_000);
  final ByteArrayOutputStream logOutput = new ByteArrayOutputStream();
  final Path file;
  private final List<FakeUpstream> upstreams = new ArrayList<>();
  final List<RawUpstream> rawUpstreams = new ArrayList<>();
  Daemon daemon;

  DaemonFixture(Path folder) {
    file = folder.resolve("leadferry.toml");
  }

  FakeUpstream startUpstream(String name) {
    return startUpstream(FakeUpstream.Options.instant(name));
  }

  FakeUpstream startUpstream(FakeUpstream.Options options) {
    FakeUpstream upstream = new FakeUpstream(options, executionLog);
    upstreams.add(upstream);
    return upstream;
  }

  /** Starts an upstream host that behaves exactly as the handler specifies. */
  RawUpstream startRawUpstream(RawUpstream.ConnectionHandler handler) throws IOException {
    RawUpstream upstream = new RawUpstream(handler);
    rawUpstreams.add(upstream);
    return upstream;
  }

  /** Returns the number of requests that all raw upstream hosts have received. */
  int rawRequestCount() {
    return rawUpstreams.stream().mapToInt(h -> h.heads.size()).sum();
  }

  /**
   * Returns the configuration of a pool with these members; {@code more} are further lines of its
   * table.
   */
  static String pool(String name, String furtherLines, FakeUpstream... members) {
    StringBuilder toml = new StringBuilder("[pool." + name + "]\n" + furtherLines + "\n");
    for (FakeUpstream upstream : members) {
      toml.append("[[pool.")
          .append(name)
          .append(".member]]\nid = \"")
          .append(upstream.name())
          .append("\"\naddress = \"")
          .append(upstream.hostAndPort())
          .append("\"\npod = \"")
          .append(upstream.pod())
          .append("\"\n");
    }
    return toml.toString();
  }

  static String route(String name, String prefix, String furtherLines) {
    return "[[route]]\nname = \""
        + name
        + "\"\nprefix = \""
        + prefix
        + "\"\n"
        + furtherLines
        + "\n";
  }

  static final String LISTENER = "[listener.main]\naddress = \"127.0.0.1:0\"\n";

  static final String CLASSES =
      """
      [class.claim]
      aim_ms = 1000
      deadline_ms = 3000
      [class.list]
      aim_ms = 1000
      deadline_ms = 3000
      repeat = "safe"
      """;

  void write(String... parts) throws IOException {
    Files.writeString(file, String.join("\n", parts));
  }

  void start(String... parts) throws Exception {
    write(parts);
    daemon =
        new Daemon(
            file,
            form -> new LineLog(new PrintStream(logOutput, true, StandardCharsets.UTF_8), true));
  }

  String log() {
    return logOutput.toString(StandardCharsets.UTF_8);
  }

  InetSocketAddress address() {
    return daemon.address("main");
  }

  Socket client() throws IOException {
    return client(address());
  }

  static Socket client(InetSocketAddress to) throws IOException {
    Socket socket = new Socket();
    socket.connect(to, ProxyFixture.TIMEOUT_MILLIS);
    socket.setSoTimeout(ProxyFixture.TIMEOUT_MILLIS);
    return socket;
  }

  /** Returns a request without a body, with further header lines. */
  static String request(String method, String path, String id, String... lines) {
    return method
        + " "
        + path
        + " HTTP/1.1\r\nHost: api.test\r\nX-Request-ID: "
        + id
        + "\r\n"
        + (method.equals("POST") ? "Content-Length: 0\r\n" : "")
        + String.join("", java.util.Arrays.stream(lines).map(l -> l + "\r\n").toList())
        + "\r\n";
  }

  /**
   * Sends a request on a new connection and returns the whole response, or null if the connection
   * ends without one.
   */
  String exchange(String request) throws IOException {
    try (Socket socket = client()) {
      ProxyFixture.write(socket, request);
      return ProxyFixture.readMessage(socket.getInputStream());
    }
  }

  /** Sends the head of a request and returns once the daemon has read it. */
  Socket startUpload(String id) throws IOException {
    Socket socket = client();
    ProxyFixture.write(
        socket, request("PUT", "/x", id, "Content-Length: 4", "Expect: 100-continue"));
    assertThat(ProxyFixture.readMessage(socket.getInputStream())).startsWith("HTTP/1.1 100");
    return socket;
  }

  /** Sends the body of a request of {@link #startUpload} and returns the response. */
  static String completeUpload(Socket socket) throws IOException {
    ProxyFixture.write(socket, "body");
    return ProxyFixture.readMessage(socket.getInputStream());
  }

  /**
   * Sends a request on a new connection and returns the status of the response, or 0 if there is
   * none.
   */
  int status(String request) throws IOException {
    return statusOf(exchange(request));
  }

  static int statusOf(String response) {
    return response == null ? 0 : Integer.parseInt(response.split(" ")[1]);
  }

  LoadGenerator loadGenerator(double rate, double seconds, List<LoadGenerator.RequestKind> kinds) {
    return new LoadGenerator(
        new LoadGenerator.Plan(address(), rate, 0, seconds, 128, 1, kinds, "load-"), null);
  }

  @Override
  public void close() {
    if (daemon != null) {
      daemon.close();
    }
    upstreams.forEach(FakeUpstream::close);
    rawUpstreams.forEach(RawUpstream::close);
  }
}
