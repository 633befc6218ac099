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
import leadferry.engine.NativeTransport;
import leadferry.proxy.ProxyFixture;
import leadferry.testbed.FakeUpstream;
import leadferry.testbed.FakeUpstream.Fault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assumptions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Connections to hosts under the operator's bounds. */
class ConnectionsTest {
  private static final String CLAIMS = route("claims", "/", "class = \"claim\"\npool = \"a\"");
  private static final String PATIENT = "[class.claim]\naim_ms = 20000\ndeadline_ms = 20000\n";

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

  /** Clients that each send so many requests one after the other; all must be served. */
  private void crowd(int clients, int each, String prefix) throws Exception {
    AtomicInteger served = new AtomicInteger();
    Set<String> wrong = ConcurrentHashMap.newKeySet();
    List<Thread> threads = new ArrayList<>();
    for (int c = 0; c < clients; c++) {
      int n = c;
      Thread t =
          new Thread(
              () -> {
                try (Socket s = fixture.client()) {
                  for (int i = 0; i < each; i++) {
                    String id = prefix + n + "-" + i;
                    ProxyFixture.write(s, request("POST", "/claim", id));
                    String answer = ProxyFixture.readMessage(s.getInputStream());
                    if (answer != null
                        && answer.startsWith("HTTP/1.1 200")
                        && answer.contains("\r\n\r\n" + id)) {
                      served.incrementAndGet();
                    } else {
                      wrong.add(id + ": " + answer);
                    }
                  }
                } catch (Exception e) {
                  wrong.add(n + ": " + e);
                }
              });
      t.start();
      threads.add(t);
    }
    for (Thread t : threads) {
      t.join();
    }
    assertThat(wrong).isEmpty();
    assertThat(served).hasValue(clients * each);
    assertThat(fixture.executionLog.repeatedIds()).isEmpty();
  }

  @ParameterizedTest
  @CsvSource({"1, 1", "4, 1", "4, 3"})
  void aCrowdBeforeASlowHostNeverHoldsMoreThanItsBound(int workers, int most) throws Exception {
    FakeUpstream slow =
        fixture.startUpstream(FakeUpstream.Options.instant("slow").withServiceTime(2, 1));
    fixture.start(
        "[daemon]\nworkers = " + workers,
        LISTENER,
        PATIENT,
        pool("a", "max_connections = " + most, slow),
        CLAIMS);
    crowd(64, 4, "c");
    assertThat(slow.maxConcurrentConnections()).isLessThanOrEqualTo(most);
  }

  @Test
  void aBoundThatIsLoweredUnderLoadHoldsAsSoonAsAnswersHaveGone() throws Exception {
    FakeUpstream slow =
        fixture.startUpstream(FakeUpstream.Options.instant("slow").withServiceTime(5, 8));
    fixture.start(
        "[daemon]\nworkers = 2", LISTENER, PATIENT, pool("a", "max_connections = 8", slow), CLAIMS);
    Thread load = new Thread(() -> quietly(() -> crowd(32, 40, "d")));
    load.start();
    ProxyFixture.await(() -> slow.connections() == 8);
    fixture.write(
        "[daemon]\nworkers = 2", LISTENER, PATIENT, pool("a", "max_connections = 2", slow), CLAIMS);
    assertThat(fixture.daemon.reload()).isTrue();
    ProxyFixture.await(() -> slow.connections() <= 2);
    for (int i = 0; load.isAlive(); i++) {
      assertThat(slow.connections()).isLessThanOrEqualTo(3); // one of them may be closing
      Thread.sleep(5);
    }
    assertThat(failure.get()).isFalse();
    assertThat(slow.maxConcurrentConnections()).isLessThanOrEqualTo(8);
    assertThat(fixture.executionLog.repeatedIds()).isEmpty();
  }

  private final AtomicBoolean failure = new AtomicBoolean();

  private interface Doing {
    void now() throws Exception;
  }

  private void quietly(Doing what) {
    try {
      what.now();
    } catch (Exception | AssertionError e) {
      failure.set(true);
    }
  }

  @Test
  void whereNothingMayWaitARequestGoesToAnotherHostOrIsRefusedUnsent() throws Exception {
    FakeUpstream a = fixture.startUpstream("a");
    FakeUpstream b = fixture.startUpstream("b");
    a.setFault(Fault.SILENT, 1);
    b.setFault(Fault.SILENT, 1);
    fixture.start(
        LISTENER, CLASSES, pool("a", "max_connections = 1\nmax_pending = 0", a, b), CLAIMS);
    List<Socket> out = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      Socket s = fixture.client();
      ProxyFixture.write(s, request("POST", "/claim", "in" + i));
      out.add(s);
      int n = i + 1;
      ProxyFixture.await(() -> fixture.executionLog.executionCount() == n);
    }
    assertThat(fixture.executionLog.executionsOf("in0").get(0).upstream())
        .isNotEqualTo(fixture.executionLog.executionsOf("in1").get(0).upstream());
    assertThat(fixture.status(request("POST", "/claim", "past"))).isEqualTo(503);
    assertThat(fixture.executionLog.executionsOf("past")).isEmpty();
    for (Socket s : out) {
      s.close();
    }
  }

  @Test
  void whatWaitsForAConnectionWhenItsTimeIsUpIsRefusedAndNeverRan() throws Exception {
    FakeUpstream a = fixture.startUpstream("a");
    a.setFault(Fault.SILENT, 1);
    fixture.start(
        LISTENER,
        PATIENT,
        "[class.short]\naim_ms = 300\ndeadline_ms = 300",
        pool("a", "max_connections = 1", a),
        CLAIMS,
        route("short", "/short", "class = \"short\"\npool = \"a\""));
    try (Socket s = fixture.client()) {
      ProxyFixture.write(s, request("POST", "/claim", "out"));
      ProxyFixture.await(() -> fixture.executionLog.executionCount() == 1);
      assertThat(fixture.status(request("POST", "/short", "waits"))).isEqualTo(503);
    }
    assertThat(fixture.executionLog.executionsOf("waits")).isEmpty();
    a.setFault(Fault.NONE, 0);
    ProxyFixture.await(() -> quietly200("after"));
  }

  /**
   * What a client has sent ahead stops the reading of it, so that its end is not read: the socket
   * is asked.
   */
  @Test
  void whatWaitsForAClientThatSentMoreAheadAndLeftIsNotSent() throws Exception {
    Assumptions.assumeTrue(
        NativeTransport.EPOLL.unavailabilityCause() == null,
        "the JDK's sockets can't be asked without losing a byte");
    FakeUpstream a = fixture.startUpstream("a");
    a.setFault(Fault.SILENT, 1);
    fixture.start(
        "[daemon]\nworkers = 1\ntransport = \"epoll\"",
        LISTENER,
        PATIENT,
        pool("a", "max_connections = 1", a),
        CLAIMS);
    try (Socket s = fixture.client()) {
      ProxyFixture.write(s, request("POST", "/claim", "out"));
      ProxyFixture.await(() -> fixture.executionLog.executionCount() == 1);
      for (boolean reset : new boolean[] {false, true}) {
        try (Socket leaver = fixture.client()) {
          ProxyFixture.write(
              leaver,
              request("POST", "/claim", "waits" + reset)
                  + request("POST", "/claim", "ahead" + reset));
          Thread.sleep(100); // both have been read: a reset would take from the kernel what has not
          leaver.setSoLinger(reset, 0);
        }
      }
      a.setFault(Fault.NONE, 0);
    }
    ProxyFixture.await(() -> quietly200("after"));
    assertThat(fixture.executionLog.executionsOf("waitsfalse")).isEmpty();
    assertThat(fixture.executionLog.executionsOf("waitstrue")).isEmpty();
    assertThat(fixture.executionLog.executionsOf("aheadfalse")).isEmpty();
  }

  private boolean quietly200(String id) {
    try {
      return fixture.status(request("POST", "/claim", id + System.nanoTime())) == 200;
    } catch (Exception e) {
      return false;
    }
  }

  @Test
  void aHostThatLeavesGivesItsWaitingRequestsToAnother() throws Exception {
    FakeUpstream a = fixture.startUpstream("a");
    a.setFault(Fault.SILENT, 1);
    fixture.start(LISTENER, PATIENT, pool("a", "max_connections = 1", a), CLAIMS);
    try (Socket s = fixture.client();
        Socket waits = fixture.client()) {
      ProxyFixture.write(s, request("POST", "/claim", "out"));
      ProxyFixture.await(() -> fixture.executionLog.executionCount() == 1);
      ProxyFixture.write(waits, request("POST", "/claim", "waits"));
      FakeUpstream b = fixture.startUpstream("b");
      fixture.write(LISTENER, PATIENT, pool("a", "max_connections = 1", a, b), CLAIMS);
      assertThat(fixture.daemon.reload()).isTrue();
      fixture.write(LISTENER, PATIENT, pool("a", "max_connections = 1", b), CLAIMS);
      assertThat(fixture.daemon.reload()).isTrue();
      assertThat(ProxyFixture.readMessage(waits.getInputStream())).startsWith("HTTP/1.1 200");
      assertThat(fixture.executionLog.executionsOf("waits"))
          .allMatch(e -> e.upstream().equals("b"))
          .hasSize(1);
    }
  }

  @Test
  void aConnectionIsClosedAfterItsNumberOfRequests() throws Exception {
    try (ProxyFixture world = new ProxyFixture(folder, 128)) {
      ProxyFixture.UpstreamHost host = world.new UpstreamHost(h -> ProxyFixture.ok("x"));
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
  void onlyAHostThatWasSeenToSendSurplusRests() throws Exception {
    AtomicBoolean spoils = new AtomicBoolean();
    try (ProxyFixture world = new ProxyFixture(folder, 128)) {
      ProxyFixture.UpstreamHost host =
          world.new UpstreamHost(h -> ProxyFixture.ok("x") + (spoils.get() ? "noise" : ""));
      fixture.start(
          LISTENER,
          CLASSES,
          "[pool.a]\n[[pool.a.member]]\nid=\"h\"\naddress=\"" + host.address() + "\"",
          CLAIMS);
      try (Socket s = fixture.client()) {
        ask(s, "calm", 50);
        assertThat(host.immediateReuses()).isPositive();
        spoils.set(true);
        ask(s, "spoilt", 1);
        spoils.set(false);
        int before = host.immediateReuses();
        ask(s, "after", 50);
        assertThat(host.immediateReuses()).isEqualTo(before);
      }
    }
  }

  private static void ask(Socket s, String prefix, int times) throws Exception {
    for (int i = 0; i < times; i++) {
      ProxyFixture.write(s, request("POST", "/claim", prefix + i));
      assertThat(ProxyFixture.readMessage(s.getInputStream()))
          .startsWith("HTTP/1.1 200")
          .endsWith("\r\n\r\nx");
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"auto", "nio", "epoll", "io-uring"})
  void everyTransportServesOrGivesWayToTheJdk(String transport) throws Exception {
    FakeUpstream a = fixture.startUpstream("a");
    fixture.start(
        "[daemon]\nworkers = 2\ntransport = \"" + transport + "\"",
        LISTENER,
        PATIENT,
        pool("a", "max_connections = 4", a),
        CLAIMS);
    crowd(8, 20, transport);
    assertThat(a.maxConcurrentConnections()).isLessThanOrEqualTo(4);
  }

  /** Its time counts from its last byte, not from when its connection was let in. */
  @ParameterizedTest
  @ValueSource(strings = {"nio", "epoll", "io-uring"})
  void aRequestOnAConnectionThatIsOlderThanItsTimeHasAllOfIt(String transport) throws Exception {
    FakeUpstream a = fixture.startUpstream("a");
    fixture.start(
        "[daemon]\nworkers = 1\ntransport = \"" + transport + "\"",
        LISTENER,
        "[class.claim]\naim_ms = 900\ndeadline_ms = 900\n",
        pool("a", "", a),
        CLAIMS);
    try (Socket s = fixture.client()) {
      for (int i = 0; i < 2; i++) {
        Thread.sleep(1_000);
        ProxyFixture.write(s, request("POST", "/claim", "r" + i));
        assertThat(ProxyFixture.readMessage(s.getInputStream())).startsWith("HTTP/1.1 200");
      }
    }
  }
}
