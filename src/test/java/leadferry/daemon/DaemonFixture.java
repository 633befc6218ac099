package leadferry.daemon;

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

/** A daemon between stand-ins and clients on loopback, with a file that tests write. */
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
    FakeUpstream h = new FakeUpstream(options, executionLog);
    upstreams.add(h);
    return h;
  }

  /** A host that answers to the byte what it is told to. */
  RawUpstream startRawUpstream(RawUpstream.ConnectionHandler serving) throws IOException {
    RawUpstream h = new RawUpstream(serving);
    rawUpstreams.add(h);
    return h;
  }

  /** Requests that came to such hosts. */
  int rawRequestCount() {
    return rawUpstreams.stream().mapToInt(h -> h.heads.size()).sum();
  }

  /** A pool with these members; {@code more} are further lines of its table. */
  static String pool(String name, String more, FakeUpstream... members) {
    StringBuilder s = new StringBuilder("[pool." + name + "]\n" + more + "\n");
    for (FakeUpstream h : members) {
      s.append("[[pool.")
          .append(name)
          .append(".member]]\nid = \"")
          .append(h.name())
          .append("\"\naddress = \"")
          .append(h.hostAndPort())
          .append("\"\npod = \"")
          .append(h.pod())
          .append("\"\n");
    }
    return s.toString();
  }

  static String route(String name, String prefix, String more) {
    return "[[route]]\nname = \"" + name + "\"\nprefix = \"" + prefix + "\"\n" + more + "\n";
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
    Socket s = new Socket();
    s.connect(to, ProxyFixture.TIMEOUT_MILLIS);
    s.setSoTimeout(ProxyFixture.TIMEOUT_MILLIS);
    return s;
  }

  /** A request without a body, with these further header lines. */
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

  /** The whole answer on a connection of its own, or null where that ended without one. */
  String exchange(String request) throws IOException {
    try (Socket s = client()) {
      ProxyFixture.write(s, request);
      return ProxyFixture.readMessage(s.getInputStream());
    }
  }

  /** The status of the answer, or 0 for none. */
  int status(String request) throws IOException {
    return statusOf(exchange(request));
  }

  static int statusOf(String answer) {
    return answer == null ? 0 : Integer.parseInt(answer.split(" ")[1]);
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
