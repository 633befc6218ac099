package leadferry.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import leadferry.RecordedText;
import leadferry.consensus.Replica;
import leadferry.consensus.ReplicaConfig;
import leadferry.disruption.DisruptionState;
import leadferry.proxy.ProxyFixture;
import leadferry.testbed.Operator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Compares the state file, from which a daemon starts while no replica is reachable, with the
 * recorded one of an earlier build. Guards against a daemon that can't read the file of its
 * predecessor.
 */
class RecordedStateFileTest {
  private static final int REQUESTS = 20;

  @TempDir Path folder;
  private DaemonFixture daemonFixture;
  private ProxyFixture hosts;
  private Path state;
  private int replicaPort;

  @BeforeEach
  void open() throws Exception {
    daemonFixture = new DaemonFixture(folder);
    hosts = new ProxyFixture(folder, 128);
    state = folder.resolve("state.json");
    replicaPort = ProxyFixture.freePort();
  }

  @AfterEach
  void close() throws Exception {
    daemonFixture.close();
    hosts.close();
  }

  @Test
  void theStateIsWrittenAsRecorded() throws Exception {
    try (Replica replica = replica()) {
      assertThat(replica).isNotNull();
      startDaemon();
      Operator operator =
          new Operator("roster", List.of(new InetSocketAddress("127.0.0.1", replicaPort)));
      operator.submit(budgets(), "b1", 0, ProxyFixture.TIMEOUT_MILLIS);
      drain(operator, "host", "h1");
      ProxyFixture.await(() -> stateFileContent().contains("\"hosts_out\":[\"h1\"]"));
      RecordedText.assertSame("state-file/host-drained.json", stateFileContent());
      joinSecondProxy(operator);
      drain(operator, "proxy", "p1");
      ProxyFixture.await(() -> stateFileContent().contains("\"permit\""));
      RecordedText.assertSame("state-file/proxy-drained.json", stateFileContent());
    }
  }

  @Test
  void aRecordedStateKeepsTheDrainedHostOut() throws Exception {
    Files.writeString(state, RecordedText.read("state-file/host-drained.json"));
    startDaemon();
    for (int i = 0; i < REQUESTS; i++) {
      String response = daemonFixture.exchange(DaemonFixture.request("GET", "/x", "r" + i));
      assertThat(response).endsWith("host h2");
    }
    assertThat(health()).startsWith("HTTP/1.1 200");
  }

  @Test
  void aRecordedStateKeepsTheDrainedProxyOut() throws Exception {
    Files.writeString(state, RecordedText.read("state-file/proxy-drained.json"));
    startDaemon();
    assertThat(health()).startsWith("HTTP/1.1 503");
  }

  private String health() throws IOException {
    return daemonFixture.exchange(DaemonFixture.request("GET", "/_health", "health"));
  }

  private String stateFileContent() {
    try {
      return Files.exists(state) ? Files.readString(state) : "";
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  private void startDaemon() throws Exception {
    daemonFixture.start(
        DaemonFixture.LISTENER,
        "[pool.a]",
        member("h1"),
        member("h2"),
        DaemonFixture.route("all", "/", "pool = \"a\""),
        "[fleet]\nfleet = \"roster\"\nname = \"p1\"\nlease_ms = 1000\nstart_wait_ms = 0",
        "on_unreachable = \"last\"\nstate_file = \"" + state + "\"",
        "[fleet.keepers]\nk1 = \"127.0.0.1:" + replicaPort + "\"");
  }

  private String member(String name) throws IOException {
    ProxyFixture.UpstreamHost host =
        hosts.new UpstreamHost(head -> ProxyFixture.ok("host " + name));
    return "[[pool.a.member]]\nid = \"" + name + "\"\naddress = \"" + host.address() + "\"";
  }

  private Replica replica() throws IOException {
    InetSocketAddress log = new InetSocketAddress("127.0.0.1", ProxyFixture.freePort());
    return new Replica(
        new ReplicaConfig(
            "roster",
            "k1",
            log,
            new InetSocketAddress("127.0.0.1", replicaPort),
            folder.resolve("k1"),
            Map.of("k1", log),
            100,
            1_000,
            new DisruptionState.Times(0, 0, 1_000)),
        true,
        System.err::println,
        Throwable::printStackTrace);
  }

  private static ObjectNode budgets() {
    ObjectNode entry = Operator.entry("budgets").put("against", 0);
    for (String type : List.of("host", "proxy")) {
      entry
          .withArray("budgets")
          .addObject()
          .put("name", type + "s")
          .put("of", type)
          .put("by", "all")
          .put("max_out", 1);
    }
    return entry;
  }

  /** Joins a second proxy, because the last proxy that serves is never drained. */
  private static void joinSecondProxy(Operator operator) {
    ObjectNode join =
        Operator.entry("join")
            .put("name", "p2")
            .put("incarnation", "p2-1")
            .put("lease_ms", 600_000)
            .put("zone", "-")
            .put("runs", "-")
            .put("digest", "none");
    join.putArray("hosts");
    JsonNode session =
        operator.submit(join, "join", 0, ProxyFixture.TIMEOUT_MILLIS).path("session");
    ObjectNode report =
        Operator.entry("tell")
            .put("name", "p2")
            .put("session", session.asLong())
            .put("number", 1)
            .put("seen", Integer.MAX_VALUE)
            .put("serving", true);
    operator.submit(report, "tell", 0, ProxyFixture.TIMEOUT_MILLIS);
  }

  /** Requests a drain until it is granted: the fleet does not know the daemon at first. */
  private static void drain(Operator operator, String type, String name)
      throws InterruptedException {
    ProxyFixture.await(
        () -> {
          ObjectNode entry = Operator.entry("drain").put("kind", type).put("name", name);
          String call = "drain-" + System.nanoTime();
          JsonNode response = operator.submit(entry, call, 0, ProxyFixture.TIMEOUT_MILLIS);
          return response != null && response.path("status").asText().equals("granted");
        });
  }
}
