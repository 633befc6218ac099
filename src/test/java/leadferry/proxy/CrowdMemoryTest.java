package leadferry.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import leadferry.soak.ProxyProcess;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a crowd of clients that makes the platform's process pass its memory limit or end
 * its event loop: clients that write slowly, stop half way, send heads of very many short fields or
 * read long responses slowly. Usual clients beside the crowd are served meanwhile.
 */
class CrowdMemoryTest {
  private static final int CROWD = 400;
  private static final long CROWD_MILLIS = 4_000;
  private static final int LARGE_RESPONSE_BYTES = 2 << 20;
  private static final int HEAD_BYTES = 16_000;
  private static final int MIN_USUAL_REQUESTS = 10;

  /**
   * Memory (MB) that a process needs more when it runs from the class path, without the archive of
   * classes of the deploy file.
   */
  private static final int CLASS_PATH_MEGABYTES = 12;

  @TempDir Path folder;
  private ProxyFixture fixture;
  private ProxyProcess process;

  private void start(int memoryMegabytes, int sockets) throws Exception {
    fixture = new ProxyFixture(folder, sockets);
    fixture.memoryMegabytes = memoryMegabytes;
    fixture.deadlineMillis = 2_000;
    fixture.listenPort = ProxyFixture.freePort();
    String large = "y".repeat(LARGE_RESPONSE_BYTES);
    ProxyFixture.UpstreamHost[] hosts = new ProxyFixture.UpstreamHost[4];
    for (int i = 0; i < hosts.length; i++) {
      hosts[i] =
          fixture
          .new UpstreamHost(
              request -> {
                String id = ProxyFixture.headerValue(request, "X-Request-ID");
                if (id.startsWith("silent")) {
                  return null;
                }
                return id.startsWith("large") ? ProxyFixture.ok(large) : ProxyFixture.ok("done");
              });
    }
    ProxyFixture.DiscoveryServer discovery = fixture.new DiscoveryServer(40, hosts);
    Path file = fixture.writeConfig(discovery.address(), discovery.endpointList());
    process = ProxyProcess.platform(file, folder, fixture.listenPort, discovery.port());
    process.start();
  }

  @AfterEach
  void stop() throws Exception {
    if (process != null) {
      process.kill();
      fixture.close();
    }
  }

  /** What one client of the crowd does on its connection. */
  private interface Client {
    void run(Socket socket, int number) throws IOException, InterruptedException;
  }

  /** Sends a usual request on a new connection; returns its status, or 0 if there is no answer. */
  private int usualRequest(String id) {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), fixture.listenPort)) {
      socket.setSoTimeout(ProxyFixture.TIMEOUT_MILLIS);
      ProxyFixture.write(socket, ProxyFixture.atMostOnceRequest(id));
      String response = ProxyFixture.readMessage(socket.getInputStream());
      return response == null ? 0 : Integer.parseInt(response.split(" ")[1]);
    } catch (IOException e) {
      return 0;
    }
  }

  /** Runs the crowd for a while with usual requests beside it; returns their statuses. */
  private List<Integer> runCrowd(Client client) throws Exception {
    ExecutorService threads = Executors.newCachedThreadPool();
    List<Socket> sockets = new ArrayList<>();
    try {
      for (int i = 0; i < CROWD; i++) {
        int number = i;
        threads.submit(
            () -> {
              while (!Thread.currentThread().isInterrupted()) {
                try (Socket socket =
                    new Socket(InetAddress.getLoopbackAddress(), fixture.listenPort)) {
                  synchronized (sockets) {
                    sockets.add(socket);
                  }
                  client.run(socket, number);
                } catch (IOException e) {
                  Thread.sleep(20); // closed by the proxy: again
                }
              }
              return null;
            });
      }
      List<Integer> statuses = new ArrayList<>();
      long endNanos = System.nanoTime() + CROWD_MILLIS * 1_000_000;
      for (int i = 0; System.nanoTime() < endNanos; i++) {
        String id = "usual" + i;
        Future<Integer> status = threads.submit(() -> usualRequest(id));
        statuses.add(status.get());
        Thread.sleep(20);
      }
      return statuses;
    } finally {
      threads.shutdownNow();
      synchronized (sockets) {
        for (Socket socket : sockets) {
          socket.close();
        }
      }
    }
  }

  private static void writeSlowly(Socket socket, String text, int partBytes, int pauseMillis)
      throws IOException, InterruptedException {
    byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
    for (int start = 0; start < bytes.length; start += partBytes) {
      socket.getOutputStream().write(bytes, start, Math.min(partBytes, bytes.length - start));
      Thread.sleep(pauseMillis);
    }
  }

  /** Returns a head of 16,000 bytes, nearly all of it in fields of 4 bytes. */
  private static String headOfShortFields(String id) {
    String lines = "a:\r\n".repeat((HEAD_BYTES - 300) / 4);
    return ProxyFixture.atMostOnceRequest(
        id, "Content-Length: 0\r\n" + lines.substring(0, lines.length() - 2));
  }

  private Client client(String kind) {
    return switch (kind) {
      case "slow bodies" -> CrowdMemoryTest::sendBodySlowly;
      case "half bodies" -> CrowdMemoryTest::sendHalfBody;
      case "short fields" -> CrowdMemoryTest::sendShortFields;
      case "long heads" -> CrowdMemoryTest::sendLongHead;
      case "half heads" -> CrowdMemoryTest::sendHalfHead;
      default -> CrowdMemoryTest::readSlowly;
    };
  }

  private static String uniqueId(String kind, int number) {
    return kind + number + "." + System.nanoTime();
  }

  private static void sendBodySlowly(Socket socket, int number)
      throws IOException, InterruptedException {
    String head = ProxyFixture.atMostOnceRequest(uniqueId("slow", number), "Content-Length: 65000");
    writeSlowly(socket, head + "x".repeat(65_000), 3_200, 50);
    ProxyFixture.readMessage(socket.getInputStream());
  }

  private static void sendHalfBody(Socket socket, int number) throws IOException {
    String head =
        ProxyFixture.atMostOnceRequest(uniqueId("half", number), "Content-Length: 400000");
    ProxyFixture.write(socket, head + "x".repeat(number % 2 == 0 ? 60_000 : 200_000));
    ProxyFixture.isClosedByPeer(socket);
  }

  private static void sendShortFields(Socket socket, int number) throws IOException {
    ProxyFixture.write(socket, headOfShortFields(uniqueId("silent", number)));
    ProxyFixture.readMessage(socket.getInputStream());
  }

  /** Sends a head of 16,000 bytes in 100 fields; its request is open until its deadline. */
  private static void sendLongHead(Socket socket, int number) throws IOException {
    String field = "X-Field: " + "v".repeat(HEAD_BYTES / 100 - 11) + "\r\n";
    String lines = field.repeat(97);
    ProxyFixture.write(
        socket,
        ProxyFixture.atMostOnceRequest(
            uniqueId("silent", number),
            "Content-Length: 0\r\n" + lines.substring(0, lines.length() - 2)));
    ProxyFixture.readMessage(socket.getInputStream());
  }

  private static void sendHalfHead(Socket socket, int number) throws IOException {
    String head = headOfShortFields(uniqueId("half", number));
    ProxyFixture.write(socket, head.substring(0, head.length() - 4));
    ProxyFixture.isClosedByPeer(socket);
  }

  private static void readSlowly(Socket socket, int number)
      throws IOException, InterruptedException {
    ProxyFixture.write(socket, ProxyFixture.atMostOnceRequest(uniqueId("large", number)));
    byte[] part = new byte[8_000];
    while (socket.getInputStream().read(part) >= 0) {
      Thread.sleep(100);
    }
  }

  @ParameterizedTest
  @CsvSource({
    "slow bodies, 96, 512",
    "half bodies, 96, 512",
    "short fields, 96, 512",
    "half heads, 96, 512",
    "slow readers, 96, 512",
    "short fields, 128, 1024",
    "half heads, 128, 1024"
  })
  void crowdStaysWithinTheMemoryLimit(String kind, int memoryMegabytes, int sockets)
      throws Exception {
    start(memoryMegabytes, sockets);
    List<Integer> statuses = runCrowd(client(kind));
    assertThat(usualRequest("after")).as("status of a request after the crowd").isEqualTo(200);
    assertThat(statuses).hasSizeGreaterThan(MIN_USUAL_REQUESTS).containsOnly(200);
    assertMemoryWithin(memoryMegabytes);
  }

  /** The budget for heads binds: some of the long heads are rejected for want of memory. */
  @Test
  void headsAreLimitedByTheirBudget() throws Exception {
    start(96, 512);
    runCrowd(client("long heads"));
    assertThat(Files.readString(process.logFile())).contains("out of memory for heads");
    assertMemoryWithin(96);
  }

  private void assertMemoryWithin(int memoryMegabytes) throws IOException {
    assertThat(process.isAlive()).isTrue();
    long limitMegabytes =
        memoryMegabytes + (ProxyProcess.runsFromClassPath() ? CLASS_PATH_MEGABYTES : 0);
    assertThat(process.peakMemoryKilobytes()).isLessThan(limitMegabytes * 1_024);
  }
}
