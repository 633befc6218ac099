package leadferry.proxy;

import static leadferry.proxy.ProxyFixture.atMostOnceRequest;
import static leadferry.proxy.ProxyFixture.ok;
import static leadferry.proxy.ProxyFixture.write;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import leadferry.engine.LineLog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests operators' actions on a running client proxy: management calls, reloads and upgrades. */
class OperationsTest {
  private static final String HEALTH = "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n";

  @TempDir Path folder;
  private ProxyFixture fixture;
  private ManagementServer management;

  @BeforeEach
  void open() {
    fixture = new ProxyFixture(folder, 128);
  }

  @AfterEach
  void close() throws Exception {
    fixture.close();
    if (management != null) {
      management.close();
    }
  }

  // --- management calls

  private String callManagement(String request) throws IOException {
    try (Socket socket = connectToManagement()) {
      write(socket, request);
      return ProxyFixture.readMessage(socket.getInputStream());
    }
  }

  private Socket connectToManagement() throws IOException {
    Socket socket = new Socket();
    socket.connect(management.address(), ProxyFixture.TIMEOUT_MILLIS);
    socket.setSoTimeout(ProxyFixture.TIMEOUT_MILLIS);
    return socket;
  }

  private void startManagement(OperatorState state) throws Exception {
    management =
        new ManagementServer(
            state::isReady,
            state::drain,
            state::activate,
            new LineLog(
                new PrintStream(OutputStream.nullOutputStream(), true, StandardCharsets.UTF_8),
                false));
    management.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  }

  private static String put(String path) {
    return "PUT " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
  }

  @Test
  void readinessIsReportedOnceTheProxyServes() throws Exception {
    OperatorState state = new OperatorState();
    startManagement(state);
    String ready = "GET /v1/readyz HTTP/1.1\r\nHost: a\r\n\r\n";
    assertThat(callManagement(ready)).startsWith("HTTP/1.1 503");
    ProxyFixture.UpstreamHost host = fixture.new UpstreamHost(h -> ok("served"));
    fixture.operatorState = state;
    fixture.start(host);
    assertThat(callManagement(ready)).startsWith("HTTP/1.1 200");
  }

  @ParameterizedTest
  @CsvSource({
    "GET /v1/nothing HTTP/1.1, 404",
    "GET /v1/client-proxy/drain HTTP/1.1, 405",
    "PUT /v1/readyz HTTP/1.1, 405",
    "noise, 400"
  })
  void invalidManagementCallIsAnError(String line, int status) throws Exception {
    OperatorState state = new OperatorState();
    startManagement(state);
    assertThat(callManagement(line + "\r\nHost: a\r\n\r\n")).startsWith("HTTP/1.1 " + status);
    assertThat(state.isDraining()).isFalse();
  }

  @Test
  void silentManagementConnectionsBlockNoCall() throws Exception {
    OperatorState state = new OperatorState();
    startManagement(state);
    List<Socket> silent = new ArrayList<>();
    for (int i = 0; i < 5 * ManagementServer.MAX_CONNECTIONS; i++) {
      Socket socket = connectToManagement();
      silent.add(socket);
      if (i % 2 == 0) {
        write(socket, "PUT /v1/client-proxy/dr");
      }
    }
    assertThat(callManagement(put("/v1/client-proxy/drain"))).startsWith("HTTP/1.1 200");
    assertThat(state.isDraining()).isTrue();
    // the oldest connection was closed to make room
    assertThat(ProxyFixture.isClosedByPeer(silent.get(0))).isTrue();
    for (Socket socket : silent) {
      socket.close();
    }
  }

  // --- drain by operators

  @Test
  void drainServesClientsAndClosesTheirConnections() throws Exception {
    ProxyFixture.UpstreamHost host = fixture.new UpstreamHost(h -> ok("served"));
    fixture.start(host);
    try (Socket idle = fixture.connectClient();
        Socket used = fixture.connectClient()) {
      for (Socket socket : List.of(idle, used)) {
        write(socket, HEALTH);
        assertThat(ProxyFixture.readMessage(socket.getInputStream()))
            .startsWith("HTTP/1.1 200")
            .doesNotContain("close");
      }
      fixture.operatorState.drain();
      assertThat(fixture.sendRequest(HEALTH)).startsWith("HTTP/1.1 503");
      write(used, atMostOnceRequest("a"));
      assertThat(ProxyFixture.readMessage(used.getInputStream())).endsWith("served");
      assertThat(fixture.sendRequest(atMostOnceRequest("b")))
          .endsWith("served"); // the front end may still send requests
      assertThat(ProxyFixture.isClosedByPeer(idle)).isTrue();
      assertThat(ProxyFixture.isClosedByPeer(used)).isTrue();
    }
    fixture.operatorState.activate();
    ProxyFixture.await(
        () -> {
          try {
            String response = fixture.sendRequest(HEALTH);
            return response.startsWith("HTTP/1.1 200") && !response.contains("close");
          } catch (IOException e) {
            throw new AssertionError(e);
          }
        });
  }

  // --- reloads

  private static final String VISIT =
      "{\"name\":\"visit\",\"aim\":400,\"deadline\":3000,\"semantics\":\"idempotent\"}";

  private static String request(String method, String name, String id, String... lines) {
    return method
        + " /"
        + name
        + "/1 HTTP/1.1\r\nHost: a\r\nX-Request-ID: "
        + id
        + "\r\nX-Priority-Class: "
        + name
        + "\r\n"
        + (lines.length == 0 ? "" : String.join("\r\n", lines) + "\r\n")
        + "\r\n";
  }

  private Path rewriteConfig(String from, String to) throws IOException {
    Path file = folder.resolve("config.json");
    String text = Files.readString(file);
    assertThat(text).contains(from);
    return Files.writeString(file, text.replace(from, to));
  }

  private void await(String request, String status) throws Exception {
    AtomicBoolean seen = new AtomicBoolean();
    ProxyFixture.await(
        () -> {
          try {
            seen.set(fixture.sendRequest(request).startsWith("HTTP/1.1 " + status));
          } catch (IOException e) {
            throw new AssertionError(e);
          }
          return seen.get();
        });
  }

  @Test
  void reloadAddsAndRemovesAClass() throws Exception {
    fixture.start(fixture.new UpstreamHost(h -> ok("served")));
    assertThat(fixture.sendRequest(request("GET", "visit", "a"))).startsWith("HTTP/1.1 404");
    String one = "\"classes\":[";
    rewriteConfig(one, one + VISIT + ",");
    fixture.reload();
    await(request("GET", "visit", "b"), "200");
    rewriteConfig(VISIT + ",", "");
    fixture.reload();
    await(request("GET", "visit", "c"), "404"); // after the transition period
  }

  @Test
  void stricterClassAppliesToNewRequestsAndAcceptsOldOnesForAWhile() throws Exception {
    List<String> run = new CopyOnWriteArrayList<>();
    Function<String, String> fails =
        h -> {
          run.add(h);
          return "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n";
        };
    fixture.start(fixture.new UpstreamHost(fails), fixture.new UpstreamHost(fails));
    String keyed = request("POST", "log", "a", "Idempotency-Key: k", "Content-Length: 0");
    fixture.sendRequest(keyed);
    assertThat(run).hasSizeGreaterThan(1); // a keyed request is retried within its cell
    rewriteConfig(
        "\"name\":\"log\",\"aim\":400,\"deadline\":3000,\"semantics\":\"deduplicated\"",
        "\"name\":\"log\",\"aim\":400,\"deadline\":3000,\"semantics\":\"at_most_once\"");
    fixture.reload();
    // Until the new settings apply, a request without a key is a client error.
    await(request("POST", "log", "b", "Content-Length: 0"), "502");
    int before = run.size();
    assertThat(fixture.sendRequest(keyed.replace("ID: a", "ID: c"))).startsWith("HTTP/1.1 502");
    assertThat(run).hasSize(before + 1); // a request that may have run is not repeated any more
  }

  @Test
  void reloadLowersMaxAttempts() throws Exception {
    Function<String, String> full =
        h -> "HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
    fixture.start(fixture.new UpstreamHost(full), fixture.new UpstreamHost(full));
    rewriteConfig("\"maxAttempts\":3", "\"maxAttempts\":1");
    fixture.reload();
    ProxyFixture.await(
        () -> {
          try {
            int before = fixture.receivedRequests();
            fixture.sendRequest(atMostOnceRequest("a" + before));
            return fixture.receivedRequests() == before + 1;
          } catch (IOException e) {
            throw new AssertionError(e);
          }
        });
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "\"deadline\":3000 -> \"deadline\":0",
        "\"deadline\":3000 -> \"deadline\":-5",
        "\"deadline\":3000, -> ",
        "\"maxAttempts\":3 -> \"maxAttempts\":0",
        "\"maxAttempts\":3, -> ",
        "\"rules\":{ -> \"roles\":{",
        "\"semantics\":\"deduplicated\" -> \"semantics\":\"often\"",
        "\"name\":\"log\" -> \"name\":\"claim\"",
        "\"settings\":{ -> \"setting\":{",
      })
  void invalidFileChangesNothing(String change) throws Exception {
    fixture.start(fixture.new UpstreamHost(h -> ok("served")));
    ProxyFixture.DiscoveryServer other =
        fixture.new DiscoveryServer(3, fixture.new UpstreamHost(h -> ok("other")));
    Config inForce =
        Config.load(Map.of("BALANCER_CONFIG", folder.resolve("config.json").toString()));
    String[] parts = change.split(" -> ", 2);
    rewriteConfig(parts[0], parts[1]);
    Path file = rewriteConfig(inForce.discovery().toString().substring(1), other.address());
    assertThatThrownBy(() -> inForce.loadReplacement(file)).isInstanceOf(ConfigException.class);
    fixture.reload();
    Thread.sleep(50);
    assertThat(fixture.sendRequest(atMostOnceRequest("a"))).endsWith("served");
    assertThat(other.requestedPaths).isEmpty();
  }

  @Test
  void allErrorsOfAFileAreReportedTogether() throws Exception {
    fixture.start(fixture.new UpstreamHost(h -> ok("served")));
    Config inForce =
        Config.load(Map.of("BALANCER_CONFIG", folder.resolve("config.json").toString()));
    rewriteConfig("\"maxAttempts\":3", "\"maxAttempts\":0");
    Path file = rewriteConfig("\"balancers\":1", "\"others\":1");
    assertThatThrownBy(() -> inForce.loadReplacement(file))
        .hasMessageContaining("settings.limits.maxAttempts: expected a number above 0")
        .hasMessageContaining("settings.balancers: missing");
  }

  // --- two processes at one address

  @Test
  void newProcessTakesOverTheClients() throws Exception {
    ProxyFixture.UpstreamHost host = fixture.new UpstreamHost(h -> ok("served"));
    fixture.hotRestart = HotRestart.join(folder.toString());
    ProxyFixture.DiscoveryServer discovery = fixture.start(host);
    Proxy old = fixture.proxy;
    int port = old.address().getPort();
    Socket kept = fixture.connectClient();
    write(kept, atMostOnceRequest("kept"));
    assertThat(ProxyFixture.readMessage(kept.getInputStream())).endsWith("served");
    assertThat(fixture.hotRestart.readOtherProcesses()).isNull();

    HotRestart next = HotRestart.join(folder.toString());
    assertThat(fixture.hotRestart.readOtherProcesses().isListening()).isFalse();
    fixture.listenPort = port;
    fixture.hotRestart = next;
    fixture.startWithDiscovery(discovery, host);
    AtomicBoolean stopped = new AtomicBoolean();
    List<String> unexpected = new CopyOnWriteArrayList<>();
    Thread clients =
        new Thread(
            () -> {
              for (int i = 0; !stopped.get(); i++) {
                try {
                  String response = fixture.sendRequest(atMostOnceRequest("n" + i));
                  if (response != null && !response.endsWith("served")) {
                    unexpected.add(response);
                  }
                } catch (IOException e) {
                  // accepted between the last check and the close of the old socket: reset, and
                  // sent again
                }
              }
            });
    clients.start();
    old.drain();
    ProxyFixture.await(() -> !old.isListening());
    assertThat(ProxyFixture.isClosedByPeer(kept)).isTrue();
    old.awaitEnd(); // no client is connected to it any more
    stopped.set(true);
    clients.join();
    assertThat(fixture.sendRequest(atMostOnceRequest("last"))).endsWith("served");
    assertThat(unexpected).isEmpty();
    next.close();
    old.stop();
  }

  @Test
  void lockFileOfADeadProcessIsIgnored() throws Exception {
    HotRestart one = HotRestart.join(folder.toString());
    Files.createTempFile(folder, "corkproxy-", ".lock"); // no process holds its lock
    assertThat(one.readOtherProcesses()).isNull();
    assertThat(HotRestart.join(null).readOtherProcesses()).isNull();
    assertThat(HotRestart.join(folder.resolve("nowhere").toString()).readOtherProcesses()).isNull();
    HotRestart two = HotRestart.join(folder.toString());
    two.publish(new HotRestart.ProcessState(true, 3, 5, 1L << 33));
    assertThat(one.readOtherProcesses())
        .isEqualTo(new HotRestart.ProcessState(true, 3, 5, 1L << 33));
    two.close();
    assertThat(one.readOtherProcesses()).isNull();
    one.close();
  }
}
