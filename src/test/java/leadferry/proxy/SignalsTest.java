package leadferry.proxy;

import static leadferry.proxy.ProxyFixture.atMostOnceRequest;
import static leadferry.proxy.ProxyFixture.ok;
import static leadferry.proxy.ProxyFixture.write;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The platform's process itself, with the signals that it gets at the wrong instant; it is ended by
 * id, whatever comes.
 */
class SignalsTest {
  @TempDir Path folder;
  private ProxyFixture fixture;
  private Process process;
  private final CountDownLatch responseGate = new CountDownLatch(1);

  @BeforeEach
  void open() throws IOException {
    fixture = new ProxyFixture(folder, 128);
    fixture.deadlineMillis = ProxyFixture.TIMEOUT_MILLIS;
    fixture.listenPort = ProxyFixture.freePort();
  }

  @AfterEach
  void close() throws Exception {
    process.destroyForcibly();
    fixture.close();
  }

  /** A host that answers once it is let. */
  private ProxyFixture.UpstreamHost host(String response) throws IOException {
    return fixture
    .new UpstreamHost(
        h -> {
          try {
            responseGate.await();
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
          return response;
        });
  }

  private Path start(ProxyFixture.UpstreamHost host) throws IOException {
    ProxyFixture.DiscoveryServer discovery = fixture.new DiscoveryServer(40, host);
    Path file = fixture.writeConfig(discovery.address(), discovery.endpointList());
    ProcessBuilder builder =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx64m",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "leadferry.Main",
                "proxy")
            .redirectErrorStream(true)
            .redirectOutput(folder.resolve("log").toFile());
    builder.environment().put("BALANCER_CONFIG", file.toString());
    builder.environment().put("TMPDIR", folder.toString());
    process = builder.start();
    return file;
  }

  /** The first connection that anybody can have, as soon as the process listens. */
  private Socket connectWhenListening() throws IOException, InterruptedException {
    long until = System.nanoTime() + ProxyFixture.TIMEOUT_MILLIS * 1_000_000L;
    while (true) {
      try {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), fixture.listenPort);
        socket.setSoTimeout(ProxyFixture.TIMEOUT_MILLIS);
        return socket;
      } catch (IOException e) {
        if (System.nanoTime() > until) {
          throw e;
        }
        Thread.sleep(1);
      }
    }
  }

  private void signal(String name) throws Exception {
    assertThat(
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor())
        .isZero();
  }

  private void assertCleanExit() throws Exception {
    assertThat(process.waitFor(ProxyFixture.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
    assertThat(process.exitValue()).isZero();
  }

  /** What is taken in the first moment is answered, though the end is asked for in that moment. */
  @Test
  void sigtermRightAfterListeningLosesNoRequest() throws Exception {
    ProxyFixture.UpstreamHost host = host(ok("done"));
    start(host);
    try (Socket socket = connectWhenListening()) {
      write(socket, atMostOnceRequest("first"));
      signal("TERM");
      signal("TERM"); // and once more
      ProxyFixture.await(() -> host.requests.size() == 1);
      responseGate.countDown();
      assertThat(ProxyFixture.readMessage(socket.getInputStream())).endsWith("done");
    }
    assertCleanExit();
  }

  /** Nobody has been let in, so nothing is owed. */
  @Test
  void sigtermBeforeListeningEndsTheProcess() throws Exception {
    start(host(ok("done")));
    ProxyFixture.await(() -> process.info().startInstant().isPresent() || !process.isAlive());
    signal("TERM");
    assertThat(process.waitFor(ProxyFixture.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
  }

  /**
   * The old configuration or the new one: the request in flight keeps its host, and gets its
   * answer.
   */
  @Test
  void reloadFollowedBySigtermLosesNoRequest() throws Exception {
    ProxyFixture.UpstreamHost host = host(ok("done"));
    start(host);
    try (Socket socket = connectWhenListening()) {
      write(socket, atMostOnceRequest("first"));
      ProxyFixture.await(() -> host.requests.size() == 1);
      ProxyFixture.UpstreamHost other = fixture.new UpstreamHost(h -> ok("other"));
      ProxyFixture.DiscoveryServer there = fixture.new DiscoveryServer(3, other);
      fixture.writeConfig(there.address(), there.endpointList());
      signal("HUP");
      signal("TERM");
      responseGate.countDown();
      assertThat(ProxyFixture.readMessage(socket.getInputStream())).endsWith("done");
    }
    assertCleanExit();
  }

  /**
   * More than the kernel takes for a client that reads slowly: the process goes on until it is out,
   * and then ends.
   */
  @Test
  void slowlyReadResponseIsCompleteDespiteSigterm() throws Exception {
    fixture.deadlineMillis = 2_000; // 2.7 s from SIGTERM to SIGKILL
    int size = 16 << 20;
    ProxyFixture.UpstreamHost host = host(ok("x".repeat(size)));
    start(host);
    try (Socket socket = connectWhenListening()) {
      write(socket, atMostOnceRequest("first"));
      ProxyFixture.await(() -> host.requests.size() == 1);
      responseGate.countDown();
      InputStream in = socket.getInputStream();
      int head = in.readNBytes(4).length;
      signal("TERM");
      Thread.sleep(1_500); // past the time in which it accepts; nothing is read meanwhile
      String rest = new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
      assertThat(rest.length() - rest.indexOf("\r\n\r\n") - 4).isEqualTo(size);
      assertThat(head).isEqualTo(4);
    }
    assertCleanExit();
  }
}
