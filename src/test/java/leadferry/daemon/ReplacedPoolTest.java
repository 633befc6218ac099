package leadferry.daemon;

import static leadferry.daemon.DaemonFixture.CLASSES;
import static leadferry.daemon.DaemonFixture.LISTENER;
import static leadferry.daemon.DaemonFixture.pool;
import static leadferry.daemon.DaemonFixture.request;
import static leadferry.daemon.DaemonFixture.route;
import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import leadferry.proxy.ProxyFixture;
import leadferry.testbed.ExecutionLog;
import leadferry.testbed.FakeUpstream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against requests to a draining upstream host by a pool that a reload has replaced: it
 * serves the requests that arrived before, but got no further endpoint lists, and its connections
 * stayed open if a request used it later.
 */
class ReplacedPoolTest {
  private static final String ROUTE = route("r", "/", "class = \"list\"\npool = \"a\"");

  /** Setting that a pool can't take over, so that a reload with it replaces the pool. */
  private static final String OTHER_SETTING = "max_answer_bytes = 5000";

  /** Time after which a worker has removed replaced pools that no request uses. */
  private static final long SEVERAL_SWEEPS_MILLIS = 700;

  @TempDir Path folder;
  private DaemonFixture fixture;
  private FakeUpstream draining;
  private FakeUpstream healthy;

  @BeforeEach
  void open() {
    fixture = new DaemonFixture(folder);
    draining = fixture.startUpstream("draining");
    healthy = fixture.startUpstream("healthy");
  }

  @AfterEach
  void close() {
    fixture.close();
  }

  @Test
  void requestReceivedWhileItsPoolIsReplacedIsNotSentToADrainingHost() throws Exception {
    fixture.start(LISTENER, CLASSES, pool("a", "", draining), ROUTE);
    try (Socket client = fixture.startUpload("r")) {
      reload(drainingPool(OTHER_SETTING), ROUTE);
      assertThat(DaemonFixture.completeUpload(client)).startsWith("HTTP/1.1 200");
    }
    assertThat(hostsOf("r")).containsExactly("healthy");
  }

  @Test
  void requestReceivedLongAfterItsPoolIsReplacedIsNotSentToADrainingHost() throws Exception {
    fixture.start(LISTENER, CLASSES, pool("a", "", draining), ROUTE);
    try (Socket client = fixture.startUpload("r")) {
      reload(pool("a", OTHER_SETTING, draining), ROUTE);
      Thread.sleep(SEVERAL_SWEEPS_MILLIS);
      reload(drainingPool(OTHER_SETTING), ROUTE);
      assertThat(DaemonFixture.completeUpload(client)).startsWith("HTTP/1.1 200");
    }
    assertThat(hostsOf("r")).containsExactly("healthy");
  }

  @Test
  void retryInAReplacedPoolIsNotSentToADrainingHost() throws Exception {
    FakeUpstream failing =
        fixture.startUpstream(FakeUpstream.Options.instant("failing").withServiceTime(600, 1));
    failing.setFault(FakeUpstream.Fault.RESET_AFTER, 1);
    fixture.start(LISTENER, CLASSES, pool("a", "", failing), ROUTE);
    try (Socket client = fixture.client()) {
      ProxyFixture.write(client, request("GET", "/x", "r"));
      ProxyFixture.await(() -> !hostsOf("r").isEmpty());
      reload(drainingPool(OTHER_SETTING), ROUTE);
      assertThat(ProxyFixture.readMessage(client.getInputStream())).startsWith("HTTP/1.1 200");
    }
    assertThat(hostsOf("r")).containsExactly("failing", "healthy");
  }

  @Test
  void requestOfARemovedPoolIsNotSentToAHostThatTheFleetDrains() throws Exception {
    fixture.start(LISTENER, CLASSES, pool("a", "", draining), ROUTE);
    try (Socket client = fixture.startUpload("r")) {
      reload(pool("b", "", healthy), ROUTE.replace("\"a\"", "\"b\""));
      fixture.daemon.applyFleetView(Set.of("draining"), false);
      assertThat(DaemonFixture.completeUpload(client)).startsWith("HTTP/1.1 503");
    }
    assertThat(hostsOf("r")).isEmpty();
  }

  @Test
  void requestOfARemovedPoolIsSentToItsHostsAndLeavesNoConnection() throws Exception {
    fixture.start(LISTENER, CLASSES, pool("a", "", healthy), ROUTE);
    try (Socket client = fixture.startUpload("r")) {
      reload(pool("b", "", draining), ROUTE.replace("\"a\"", "\"b\""));
      Thread.sleep(SEVERAL_SWEEPS_MILLIS);
      assertThat(DaemonFixture.completeUpload(client)).startsWith("HTTP/1.1 200");
    }
    assertThat(hostsOf("r")).containsExactly("healthy");
    ProxyFixture.await(() -> healthy.connections() == 0);
  }

  /** Returns pool a with one host that drains and one that doesn't. */
  private String drainingPool(String furtherLines) {
    return pool("a", furtherLines, draining, healthy)
        .replace("id = \"draining\"", "id = \"draining\"\nstate = \"draining\"");
  }

  private void reload(String... parts) throws Exception {
    fixture.write(LISTENER, CLASSES, String.join("\n", parts));
    assertThat(fixture.daemon.reload()).isTrue();
  }

  private List<String> hostsOf(String id) {
    return fixture.executionLog.executionsOf(id).stream()
        .map(ExecutionLog.Execution::upstream)
        .toList();
  }
}
