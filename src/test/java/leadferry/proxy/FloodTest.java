package leadferry.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;
import leadferry.soak.ProxyProcess;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a client that sends small or unsound requests on one connection at full speed:
 * others get their responses late or never, or memory grows without end. Runs the platform's
 * process and the daemon.
 */
class FloodTest {
  private static final long FLOOD_MILLIS = 4_000;
  private static final int INPUT_BYTES = 1 << 16;

  /** Time (ms) within which usual requests must have their responses. */
  private static final long USUAL_MILLIS = 2_000;

  /** Memory (MB) by which the daemon, with a heap of 128 MB, may grow. */
  private static final int DAEMON_MEGABYTES = 110;

  /** Memory (MB) by which the platform's process, with a heap of 32 MB, may grow. */
  private static final int PLATFORM_MEGABYTES = 16;

  @TempDir Path folder;
  private ProxyFixture fixture;
  private ProxyProcess process;
  private int port;

  private void start(boolean isDaemon) throws Exception {
    fixture = new ProxyFixture(folder, 512);
    port = ProxyFixture.freePort();
    fixture.listenPort = port;
    ProxyFixture.UpstreamHost host = fixture.new UpstreamHost(request -> ProxyFixture.ok("done"));
    if (isDaemon) {
      process = ProxyProcess.daemon(writeOperatorFile(host), folder, port);
    } else {
      ProxyFixture.DiscoveryServer discovery = fixture.new DiscoveryServer(40, host);
      Path file = fixture.writeConfig(discovery.address(), discovery.endpointList());
      process = ProxyProcess.platform(file, folder, port, discovery.port());
    }
    process.start();
  }

  private Path writeOperatorFile(ProxyFixture.UpstreamHost host) throws IOException {
    return Files.writeString(
        folder.resolve("leadferry.toml"),
        """
        [daemon]
        workers = 1
        [listener.main]
        address = "127.0.0.1:%d"
        [class.claim]
        aim_ms = 1000
        deadline_ms = 2000
        [pool.a]
        [[pool.a.member]]
        id = "a"
        address = "%s"
        [[route]]
        name = "claims"
        prefix = "/claim"
        class = "claim"
        pool = "a"
        stream = true
        """
            .formatted(port, host.address()));
  }

  @AfterEach
  void stop() throws Exception {
    process.kill();
    fixture.close();
  }

  /** Returns the n-th input of the flood, some 64 KiB. */
  private static IntFunction<String> input(String kind) {
    return switch (kind) {
      case "health" -> n -> repeat("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
      case "no route" -> n -> repeat("GET /none" + n + " HTTP/1.1\r\nHost: a\r\n\r\n");
      case "unsound" ->
          n ->
              repeat(
                  "POST /claim/1 HTTP/1.1\r\nHost: a\r\nX-Timeout-Ms: no\r\nContent-Length: 0\r\n\r\n");
      case "new names" ->
          n -> {
            StringBuilder text = new StringBuilder();
            for (int i = 0; text.length() < INPUT_BYTES; i++) {
              text.append(
                  ProxyFixture.atMostOnceRequest(
                      "id" + n + "." + i,
                      "X-Tenant-Id: tenant" + n + "." + i,
                      "Content-Length: 0"));
            }
            return text.toString();
          };
      case "tiny chunks" ->
          n ->
              (n == 0 ? ProxyFixture.atMostOnceRequest("chunks", "Transfer-Encoding: chunked") : "")
                  + repeat("1\r\nx\r\n");
      default -> n -> repeat("\r\n");
    };
  }

  private static String repeat(String text) {
    return text.repeat(1 + INPUT_BYTES / text.length());
  }

  /** Floods one connection after the other, without reading what the process sends. */
  private Thread startFlood(IntFunction<String> input) {
    Thread flood =
        new Thread(
            () -> {
              while (!Thread.currentThread().isInterrupted()) {
                try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                  OutputStream out = socket.getOutputStream();
                  for (int i = 0; !Thread.currentThread().isInterrupted(); i++) {
                    out.write(input.apply(i).getBytes(StandardCharsets.ISO_8859_1));
                  }
                } catch (IOException e) {
                  // closed by the process: again
                }
              }
            });
    flood.setDaemon(true);
    flood.start();
    return flood;
  }

  private long usualRequestMillis(String id) throws IOException {
    long startNanos = System.nanoTime();
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket.setSoTimeout(ProxyFixture.TIMEOUT_MILLIS);
      String timeout = "X-Timeout-Ms: 2000";
      ProxyFixture.write(socket, ProxyFixture.atMostOnceRequest(id, timeout, "Content-Length: 0"));
      assertThat(ProxyFixture.readMessage(socket.getInputStream()))
          .as("response to " + id)
          .startsWith("HTTP/1.1 200");
    }
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  @ParameterizedTest
  @CsvSource({
    "health, false",
    "no route, false",
    "unsound, false",
    "new names, false",
    "tiny chunks, false",
    "empty lines, false",
    "health, true",
    "no route, true",
    "unsound, true",
    "new names, true",
    "tiny chunks, true",
    "empty lines, true"
  })
  void floodOnOneConnectionHarmsNoOther(String kind, boolean isDaemon) throws Exception {
    start(isDaemon);
    for (int i = 0; i < 50; i++) {
      usualRequestMillis("before" + i);
    }
    long startKilobytes = process.peakMemoryKilobytes();
    Thread flood = startFlood(input(kind));
    List<Long> millis = new ArrayList<>();
    long endNanos = System.nanoTime() + FLOOD_MILLIS * 1_000_000;
    for (int i = 0; System.nanoTime() < endNanos; i++) {
      millis.add(usualRequestMillis("usual" + i));
      Thread.sleep(10);
    }
    flood.interrupt();
    assertThat(millis).hasSizeGreaterThan(10).allMatch(each -> each < USUAL_MILLIS);
    assertThat(process.peakMemoryKilobytes() - startKilobytes)
        .isLessThan(1_024L * (isDaemon ? DAEMON_MEGABYTES : PLATFORM_MEGABYTES));
  }
}
