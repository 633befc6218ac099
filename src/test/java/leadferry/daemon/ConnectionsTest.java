package leadferry.daemon;

import static leadferry.daemon.DaemonFixture.CLASSES;
import static leadferry.daemon.DaemonFixture.LISTENER;
import static leadferry.daemon.DaemonFixture.pool;
import static leadferry.daemon.DaemonFixture.request;
import static leadferry.daemon.DaemonFixture.route;
import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import leadferry.proxy.ProxyFixture;
import leadferry.testbed.FakeUpstream;
import leadferry.testbed.FakeUpstream.Fault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks connections to upstream hosts against the operator's limits. Guards against more
 * connections than configured, and against requests that are sent after their deadline or after
 * their client has left.
 */
class ConnectionsTest {
  private static final String CLAIMS = route("claims", "/", "class = \"claim\"\npool = \"a\"");
  private static final String LONG_DEADLINE =
      "[class.claim]\naim_ms = 20000\ndeadline_ms = 20000\n";

  @TempDir Path folder;
  private DaemonFixture fixture;

  @BeforeEach
  void open() {
    fixture = new DaemonFixture(folder);
  }

  @AfterEach
  void close() {
    fixture.close();
  }

  /**
   * Sends requests from concurrent clients, each of them one after another, and checks that all
   * succeed.
   */
  private void sendFromManyClients(int clients, int requestsPerClient, String prefix)
      throws Exception {
    AtomicInteger served = new AtomicInteger();
    Set<String> failures = ConcurrentHashMap.newKeySet();
    List<Thread> threads = new ArrayList<>();
    for (int client = 0; client < clients; client++) {
      int clientIndex = client;
      Thread thread =
          new Thread(
              () -> {
                try (Socket socket = fixture.client()) {
                  for (int i = 0; i < requestsPerClient; i++) {
                    String id = prefix + clientIndex + "-" + i;
                    ProxyFixture.write(socket, request("POST", "/claim", id));
                    String response = ProxyFixture.readMessage(socket.getInputStream());
                    if (response != null
                        && response.startsWith("HTTP/1.1 200")
                        && response.contains("\r\n\r\n" + id)) {
                      served.incrementAndGet();
                    } else {
                      failures.add(id + ": " + response);
                    }
                  }
                } catch (Exception e) {
                  failures.add(clientIndex + ": " + e);
                }
              });
      thread.start();
      threads.add(thread);
    }
    for (Thread thread : threads) {
      thread.join();
    }
    assertThat(failures).isEmpty();
    assertThat(served).hasValue(clients * requestsPerClient);
    assertThat(fixture.executionLog.repeatedIds()).isEmpty();
  }

  @ParameterizedTest
  @CsvSource({"1, 1", "4, 1", "4, 3"})
  void clientsOfASlowUpstreamNeverExceedItsConnectionLimit(int workers, int maxConnections)
      throws Exception {
    FakeUpstream slow =
        fixture.startUpstream(FakeUpstream.Options.instant("slow").withServiceTime(2, 1));
    fixture.start(
        "[daemon]\nworkers = " + workers,
        LISTENER,
        LONG_DEADLINE,
        pool("a", "max_connections = " + maxConnections, slow),
        CLAIMS);
    sendFromManyClients(64, 4, "c");
    assertThat(slow.maxConcurrentConnections()).isLessThanOrEqualTo(maxConnections);
  }

  @Test
  void aLimitLoweredUnderLoadHoldsOnceOpenResponsesEnd() throws Exception {
    FakeUpstream slow =
        fixture.startUpstream(FakeUpstream.Options.instant("slow").withServiceTime(5, 8));
    fixture.start(
        "[daemon]\nworkers = 2",
        LISTENER,
        LONG_DEADLINE,
        pool("a", "max_connections = 8", slow),
        CLAIMS);
    Thread load = new Thread(() -> recordFailureOf(() -> sendFromManyClients(32, 40, "d")));
    load.start();
    ProxyFixture.await(() -> slow.connections() == 8);
    fixture.write(
        "[daemon]\nworkers = 2",
        LISTENER,
        LONG_DEADLINE,
        pool("a", "max_connections = 2", slow),
        CLAIMS);
    assertThat(fixture.daemon.reload()).isTrue();
    ProxyFixture.await(() -> slow.connections() <= 2);
    for (int i = 0; load.isAlive(); i++) {
      assertThat(slow.connections()).isLessThanOrEqualTo(3); // one connection may be closing
      Thread.sleep(5);
    }
    assertThat(loadFailed.get()).isFalse();
    assertThat(slow.maxConcurrentConnections()).isLessThanOrEqualTo(8);
    assertThat(fixture.executionLog.repeatedIds()).isEmpty();
  }

  private final AtomicBoolean loadFailed = new AtomicBoolean();

  private interface Action {
    void run() throws Exception;
  }

  private void recordFailureOf(Action action) {
    try {
      action.run();
    } catch (Exception | AssertionError e) {
      loadFailed.set(true);
    }
  }

  @Test
  void withoutAQueueARequestGoesToAnotherUpstreamOrIsRejectedUnsent() throws Exception {
    FakeUpstream a = fixture.startUpstream("a");
    FakeUpstream b = fixture.startUpstream("b");
    a.setFault(Fault.SILENT, 1);
    b.setFault(Fault.SILENT, 1);
    fixture.start(
        LISTENER, CLASSES, pool("a", "max_connections = 1\nmax_pending = 0", a, b), CLAIMS);
    List<Socket> openClients = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      Socket socket = fixture.client();
      ProxyFixture.write(socket, request("POST", "/claim", "in" + i));
      openClients.add(socket);
      int n = i + 1;
      ProxyFixture.await(() -> fixture.executionLog.executionCount() == n);
    }
    assertThat(fixture.executionLog.executionsOf("in0").get(0).upstream())
        .isNotEqualTo(fixture.executionLog.executionsOf("in1").get(0).upstream());
    assertThat(fixture.status(request("POST", "/claim", "past"))).isEqualTo(503);
    assertThat(fixture.executionLog.executionsOf("past")).isEmpty();
    for (Socket socket : openClients) {
      socket.close();
    }
  }

  @Test
  void aRequestThatTimesOutWaitingForAConnectionIsRejectedUnsent() throws Exception {
    FakeUpstream a = fixture.startUpstream("a");
    a.setFault(Fault.SILENT, 1);
    fixture.start(
        LISTENER,
        LONG_DEADLINE,
        "[class.short]\naim_ms = 300\ndeadline_ms = 300",
        pool("a", "max_connections = 1", a),
        CLAIMS,
        route("short", "/short", "class = \"short\"\npool = \"a\""));
    try (Socket socket = fixture.client()) {
      ProxyFixture.write(socket, request("POST", "/claim", "out"));
      ProxyFixture.await(() -> fixture.executionLog.executionCount() == 1);
      assertThat(fixture.status(request("POST", "/short", "waits"))).isEqualTo(503);
    }
    assertThat(fixture.executionLog.executionsOf("waits")).isEmpty();
    a.setFault(Fault.NONE, 0);
    ProxyFixture.await(() -> isServed("after"));
  }

  /**
   * Pipelined bytes suspend reading from the client, so its end of stream is not read. The daemon
   * queries the socket instead.
   */
  @ParameterizedTest
  @ValueSource(strings = {"nio", "epoll"})
  void aWaitingRequestIsNotSentAfterItsPipeliningClientLeft(String transport) throws Exception {
    FakeUpstream a = fixture.startUpstream("a");
    a.setFault(Fault.SILENT, 1);
    fixture.start(
        "[daemon]\nworkers = 1\ntransport = \"" + transport + "\"",
        LISTENER,
        LONG_DEADLINE,
        pool("a", "max_connections = 1", a),
        CLAIMS);
    try (Socket socket = fixture.client()) {
      ProxyFixture.write(socket, request("POST", "/claim", "out"));
      ProxyFixture.await(() -> fixture.executionLog.executionCount() == 1);
      for (boolean reset : new boolean[] {false, true}) {
        try (Socket leaver = fixture.client()) {
          ProxyFixture.write(
              leaver,
              request("POST", "/claim", "waits" + reset)
                  + request("POST", "/claim", "ahead" + reset));
          // Waits until both requests have been read: a reset would discard bytes in the kernel's
          // buffer.
          Thread.sleep(100);
          leaver.setSoLinger(reset, 0);
        }
      }
      a.setFault(Fault.NONE, 0);
    }
    ProxyFixture.await(() -> isServed("after"));
    assertThat(fixture.executionLog.executionsOf("waitsfalse")).isEmpty();
    assertThat(fixture.executionLog.executionsOf("waitstrue")).isEmpty();
    assertThat(fixture.executionLog.executionsOf("aheadfalse")).isEmpty();
  }

  private boolean isServed(String id) {
    try {
      return fixture.status(request("POST", "/claim", id + System.nanoTime())) == 200;
    } catch (Exception e) {
      return false;
    }
  }

  @Test
  void waitingRequestsOfARemovedUpstreamGoToAnother() throws Exception {
    FakeUpstream a = fixture.startUpstream("a");
    a.setFault(Fault.SILENT, 1);
    fixture.start(LISTENER, LONG_DEADLINE, pool("a", "max_connections = 1", a), CLAIMS);
    try (Socket socket = fixture.client();
        Socket waits = fixture.client()) {
      ProxyFixture.write(socket, request("POST", "/claim", "out"));
      ProxyFixture.await(() -> fixture.executionLog.executionCount() == 1);
      ProxyFixture.write(waits, request("POST", "/claim", "waits"));
      FakeUpstream b = fixture.startUpstream("b");
      fixture.write(LISTENER, LONG_DEADLINE, pool("a", "max_connections = 1", a, b), CLAIMS);
      assertThat(fixture.daemon.reload()).isTrue();
      fixture.write(LISTENER, LONG_DEADLINE, pool("a", "max_connections = 1", b), CLAIMS);
      assertThat(fixture.daemon.reload()).isTrue();
      assertThat(ProxyFixture.readMessage(waits.getInputStream())).startsWith("HTTP/1.1 200");
      assertThat(fixture.executionLog.executionsOf("waits"))
          .allMatch(e -> e.upstream().equals("b"))
          .hasSize(1);
    }
  }

  @Test
  void aConnectionIsClosedAfterItsNumberOfRequests() throws Exception {
    try (ProxyFixture proxyFixture = new ProxyFixture(folder, 128)) {
      ProxyFixture.UpstreamHost host = proxyFixture.new UpstreamHost(h -> ProxyFixture.ok("x"));
      fixture.start(
          LISTENER,
          CLASSES,
          "[pool.a]\nmax_requests_per_connection = 3\n[[pool.a.member]]\nid=\"h\"\naddress=\""
              + host.address()
              + "\"",
          CLAIMS);
      for (int i = 0; i < 7; i++) {
        assertThat(fixture.status(request("POST", "/claim", "r" + i))).isEqualTo(200);
      }
      assertThat(host.acceptedConnections()).isEqualTo(3);
    }
  }

  @Test
  void onlyConnectionsToAnUpstreamThatSentSurplusBytesRest() throws Exception {
    AtomicBoolean sendsSurplus = new AtomicBoolean();
    try (ProxyFixture proxyFixture = new ProxyFixture(folder, 128)) {
      ProxyFixture.UpstreamHost host =
          proxyFixture
          .new UpstreamHost(h -> ProxyFixture.ok("x") + (sendsSurplus.get() ? "noise" : ""));
      fixture.start(
          LISTENER,
          CLASSES,
          "[pool.a]\n[[pool.a.member]]\nid=\"h\"\naddress=\"" + host.address() + "\"",
          CLAIMS);
      try (Socket socket = fixture.client()) {
        sendRequests(socket, "calm", 50);
        assertThat(host.immediateReuses()).isPositive();
        sendsSurplus.set(true);
        sendRequests(socket, "spoilt", 1);
        sendsSurplus.set(false);
        int before = host.immediateReuses();
        sendRequests(socket, "after", 50);
        assertThat(host.immediateReuses()).isEqualTo(before);
      }
    }
  }

  private static void sendRequests(Socket socket, String prefix, int times) throws Exception {
    for (int i = 0; i < times; i++) {
      ProxyFixture.write(socket, request("POST", "/claim", prefix + i));
      assertThat(ProxyFixture.readMessage(socket.getInputStream()))
          .startsWith("HTTP/1.1 200")
          .endsWith("\r\n\r\nx");
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"auto", "nio", "epoll", "io-uring"})
  void everyTransportServesOrFallsBackToNio(String transport) throws Exception {
    FakeUpstream a = fixture.startUpstream("a");
    fixture.start(
        "[daemon]\nworkers = 2\ntransport = \"" + transport + "\"",
        LISTENER,
        LONG_DEADLINE,
        pool("a", "max_connections = 4", a),
        CLAIMS);
    sendFromManyClients(8, 20, transport);
    assertThat(a.maxConcurrentConnections()).isLessThanOrEqualTo(4);
  }

  /**
   * A request's deadline counts from its last byte, not from the time at which its connection was
   * accepted.
   */
  @ParameterizedTest
  @ValueSource(strings = {"nio", "epoll", "io-uring"})
  void aRequestHasItsFullDeadlineOnAnOlderConnection(String transport) throws Exception {
    FakeUpstream a = fixture.startUpstream("a");
    fixture.start(
        "[daemon]\nworkers = 1\ntransport = \"" + transport + "\"",
        LISTENER,
        "[class.claim]\naim_ms = 900\ndeadline_ms = 900\n",
        pool("a", "", a),
        CLAIMS);
    try (Socket socket = fixture.client()) {
      for (int i = 0; i < 2; i++) {
        Thread.sleep(1_000);
        ProxyFixture.write(socket, request("POST", "/claim", "r" + i));
        assertThat(ProxyFixture.readMessage(socket.getInputStream())).startsWith("HTTP/1.1 200");
      }
    }
  }
}
