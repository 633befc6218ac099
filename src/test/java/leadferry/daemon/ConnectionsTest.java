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
  private DaemonFixture it;

  @BeforeEach
  void open() {
    it = new DaemonFixture(folder);
  }

  @AfterEach
  void close() {
    it.close();
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
                try (Socket s = it.client()) {
                  for (int i = 0; i < each; i++) {
                    String id = prefix + n + "-" + i;
                    ProxyFixture.write(s, request("POST", "/claim", id));
                    String answer = ProxyFixture.read(s.getInputStream());
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
    assertThat(it.ledger.repeated()).isEmpty();
  }

  @ParameterizedTest
  @CsvSource({"1, 1", "4, 1", "4, 3"})
  void aCrowdBeforeASlowHostNeverHoldsMoreThanItsBound(int workers, int most) throws Exception {
    FakeUpstream slow = it.host(FakeUpstream.Options.quick("slow").takes(2, 1));
    it.start(
        "[daemon]\nworkers = " + workers,
        LISTENER,
        PATIENT,
        pool("a", "max_connections = " + most, slow),
        CLAIMS);
    crowd(64, 4, "c");
    assertThat(slow.mostConnections()).isLessThanOrEqualTo(most);
  }

  @Test
  void aBoundThatIsLoweredUnderLoadHoldsAsSoonAsAnswersHaveGone() throws Exception {
    FakeUpstream slow = it.host(FakeUpstream.Options.quick("slow").takes(5, 8));
    it.start(
        "[daemon]\nworkers = 2", LISTENER, PATIENT, pool("a", "max_connections = 8", slow), CLAIMS);
    Thread load = new Thread(() -> quietly(() -> crowd(32, 40, "d")));
    load.start();
    ProxyFixture.await(() -> slow.connections() == 8);
    it.write(
        "[daemon]\nworkers = 2", LISTENER, PATIENT, pool("a", "max_connections = 2", slow), CLAIMS);
    assertThat(it.daemon.reload()).isTrue();
    ProxyFixture.await(() -> slow.connections() <= 2);
    for (int i = 0; load.isAlive(); i++) {
      assertThat(slow.connections()).isLessThanOrEqualTo(3); // one of them may be closing
      Thread.sleep(5);
    }
    assertThat(failure.get()).isFalse();
    assertThat(slow.mostConnections()).isLessThanOrEqualTo(8);
    assertThat(it.ledger.repeated()).isEmpty();
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
    FakeUpstream a = it.host("a");
    FakeUpstream b = it.host("b");
    a.misbehave(Fault.SILENT, 1);
    b.misbehave(Fault.SILENT, 1);
    it.start(LISTENER, CLASSES, pool("a", "max_connections = 1\nmax_pending = 0", a, b), CLAIMS);
    List<Socket> out = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      Socket s = it.client();
      ProxyFixture.write(s, request("POST", "/claim", "in" + i));
      out.add(s);
      int n = i + 1;
      ProxyFixture.await(() -> it.ledger.executions() == n);
    }
    assertThat(it.ledger.of("in0").get(0).host()).isNotEqualTo(it.ledger.of("in1").get(0).host());
    assertThat(it.status(request("POST", "/claim", "past"))).isEqualTo(503);
    assertThat(it.ledger.of("past")).isEmpty();
    for (Socket s : out) {
      s.close();
    }
  }

  @Test
  void whatWaitsForAConnectionWhenItsTimeIsUpIsRefusedAndNeverRan() throws Exception {
    FakeUpstream a = it.host("a");
    a.misbehave(Fault.SILENT, 1);
    it.start(
        LISTENER,
        PATIENT,
        "[class.short]\naim_ms = 300\ndeadline_ms = 300",
        pool("a", "max_connections = 1", a),
        CLAIMS,
        route("short", "/short", "class = \"short\"\npool = \"a\""));
    try (Socket s = it.client()) {
      ProxyFixture.write(s, request("POST", "/claim", "out"));
      ProxyFixture.await(() -> it.ledger.executions() == 1);
      assertThat(it.status(request("POST", "/short", "waits"))).isEqualTo(503);
    }
    assertThat(it.ledger.of("waits")).isEmpty();
    a.misbehave(Fault.NONE, 0);
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
    FakeUpstream a = it.host("a");
    a.misbehave(Fault.SILENT, 1);
    it.start(
        "[daemon]\nworkers = 1\ntransport = \"epoll\"",
        LISTENER,
        PATIENT,
        pool("a", "max_connections = 1", a),
        CLAIMS);
    try (Socket s = it.client()) {
      ProxyFixture.write(s, request("POST", "/claim", "out"));
      ProxyFixture.await(() -> it.ledger.executions() == 1);
      for (boolean reset : new boolean[] {false, true}) {
        try (Socket leaver = it.client()) {
          ProxyFixture.write(
              leaver,
              request("POST", "/claim", "waits" + reset)
                  + request("POST", "/claim", "ahead" + reset));
          Thread.sleep(100); // both have been read: a reset would take from the kernel what has not
          leaver.setSoLinger(reset, 0);
        }
      }
      a.misbehave(Fault.NONE, 0);
    }
    ProxyFixture.await(() -> quietly200("after"));
    assertThat(it.ledger.of("waitsfalse")).isEmpty();
    assertThat(it.ledger.of("waitstrue")).isEmpty();
    assertThat(it.ledger.of("aheadfalse")).isEmpty();
  }

  private boolean quietly200(String id) {
    try {
      return it.status(request("POST", "/claim", id + System.nanoTime())) == 200;
    } catch (Exception e) {
      return false;
    }
  }

  @Test
  void aHostThatLeavesGivesItsWaitingRequestsToAnother() throws Exception {
    FakeUpstream a = it.host("a");
    a.misbehave(Fault.SILENT, 1);
    it.start(LISTENER, PATIENT, pool("a", "max_connections = 1", a), CLAIMS);
    try (Socket s = it.client();
        Socket waits = it.client()) {
      ProxyFixture.write(s, request("POST", "/claim", "out"));
      ProxyFixture.await(() -> it.ledger.executions() == 1);
      ProxyFixture.write(waits, request("POST", "/claim", "waits"));
      FakeUpstream b = it.host("b");
      it.write(LISTENER, PATIENT, pool("a", "max_connections = 1", a, b), CLAIMS);
      assertThat(it.daemon.reload()).isTrue();
      it.write(LISTENER, PATIENT, pool("a", "max_connections = 1", b), CLAIMS);
      assertThat(it.daemon.reload()).isTrue();
      assertThat(ProxyFixture.read(waits.getInputStream())).startsWith("HTTP/1.1 200");
      assertThat(it.ledger.of("waits")).allMatch(e -> e.host().equals("b")).hasSize(1);
    }
  }

  @Test
  void aConnectionIsClosedAfterItsNumberOfRequests() throws Exception {
    try (ProxyFixture world = new ProxyFixture(folder, 128)) {
      ProxyFixture.Host host = world.new Host(h -> ProxyFixture.ok("x"));
      it.start(
          LISTENER,
          CLASSES,
          "[pool.a]\nmax_requests_per_connection = 3\n[[pool.a.member]]\nid=\"h\"\naddress=\""
              + host.address()
              + "\"",
          CLAIMS);
      for (int i = 0; i < 7; i++) {
        assertThat(it.status(request("POST", "/claim", "r" + i))).isEqualTo(200);
      }
      assertThat(host.connections()).isEqualTo(3);
    }
  }

  @Test
  void onlyAHostThatWasSeenToSendSurplusRests() throws Exception {
    AtomicBoolean spoils = new AtomicBoolean();
    try (ProxyFixture world = new ProxyFixture(folder, 128)) {
      ProxyFixture.Host host =
          world.new Host(h -> ProxyFixture.ok("x") + (spoils.get() ? "noise" : ""));
      it.start(
          LISTENER,
          CLASSES,
          "[pool.a]\n[[pool.a.member]]\nid=\"h\"\naddress=\"" + host.address() + "\"",
          CLAIMS);
      try (Socket s = it.client()) {
        ask(s, "calm", 50);
        assertThat(host.reusedAtOnce()).isPositive();
        spoils.set(true);
        ask(s, "spoilt", 1);
        spoils.set(false);
        int before = host.reusedAtOnce();
        ask(s, "after", 50);
        assertThat(host.reusedAtOnce()).isEqualTo(before);
      }
    }
  }

  private static void ask(Socket s, String prefix, int times) throws Exception {
    for (int i = 0; i < times; i++) {
      ProxyFixture.write(s, request("POST", "/claim", prefix + i));
      assertThat(ProxyFixture.read(s.getInputStream()))
          .startsWith("HTTP/1.1 200")
          .endsWith("\r\n\r\nx");
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"auto", "nio", "epoll", "io-uring"})
  void everyTransportServesOrGivesWayToTheJdk(String transport) throws Exception {
    FakeUpstream a = it.host("a");
    it.start(
        "[daemon]\nworkers = 2\ntransport = \"" + transport + "\"",
        LISTENER,
        PATIENT,
        pool("a", "max_connections = 4", a),
        CLAIMS);
    crowd(8, 20, transport);
    assertThat(a.mostConnections()).isLessThanOrEqualTo(4);
  }

  /** Its time counts from its last byte, not from when its connection was let in. */
  @ParameterizedTest
  @ValueSource(strings = {"nio", "epoll", "io-uring"})
  void aRequestOnAConnectionThatIsOlderThanItsTimeHasAllOfIt(String transport) throws Exception {
    FakeUpstream a = it.host("a");
    it.start(
        "[daemon]\nworkers = 1\ntransport = \"" + transport + "\"",
        LISTENER,
        "[class.claim]\naim_ms = 900\ndeadline_ms = 900\n",
        pool("a", "", a),
        CLAIMS);
    try (Socket s = it.client()) {
      for (int i = 0; i < 2; i++) {
        Thread.sleep(1_000);
        ProxyFixture.write(s, request("POST", "/claim", "r" + i));
        assertThat(ProxyFixture.read(s.getInputStream())).startsWith("HTTP/1.1 200");
      }
    }
  }
}
