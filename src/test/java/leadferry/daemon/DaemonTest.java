package leadferry.daemon;

import static leadferry.daemon.DaemonFixture.CLASSES;
import static leadferry.daemon.DaemonFixture.LISTENER;
import static leadferry.daemon.DaemonFixture.pool;
import static leadferry.daemon.DaemonFixture.request;
import static leadferry.daemon.DaemonFixture.route;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.OutputStream;
import java.io.PrintStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import leadferry.engine.LineLog;
import leadferry.proxy.ProxyFixture;
import leadferry.testbed.FakeUpstream;
import leadferry.testbed.FakeUpstream.Fault;
import leadferry.testbed.LoadGenerator;
import leadferry.testbed.LoadGenerator.Outcome;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs a daemon between clients and upstream hosts that fail, and reloads its file meanwhile.
 * Guards against lost or repeated requests, leaks, and requests that reach a pool they should not.
 */
class DaemonTest {
  private static final String CLAIMS = route("claims", "/", "class = \"claim\"\npool = \"a\"");
  private static final LoadGenerator.RequestKind CLAIM =
      new LoadGenerator.RequestKind("claim", 1, "POST", "/claim", "", 100, 3_000);

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

  // --- reload

  @Test
  void reloadsEvery50MsLoseNoRequestAndNeverApplyAnInvalidFile() throws Exception {
    FakeUpstream a = fixture.startUpstream("a");
    FakeUpstream b = fixture.startUpstream("b");
    FakeUpstream never = fixture.startUpstream("never");
    String[] validFiles = {
      String.join("\n", LISTENER, CLASSES, pool("a", "", a), CLAIMS),
      String.join(
          "\n",
          LISTENER,
          CLASSES,
          pool("a", "", a, b),
          CLAIMS,
          "[[limit]]\nname = \"l\"\nby = \"tenant\"\nconcurrency = 5000"),
      String.join(
          "\n",
          LISTENER,
          CLASSES,
          pool("b", "", b),
          pool("a", "max_attempts = 2", b),
          route("claims", "/", "class = \"claim\"\npool = \"b\"\nfallback = [\"a\"]")),
    };
    String badPool = pool("a", "", never);
    String[] invalidFiles = {
      String.join(
          "\n", LISTENER, CLASSES, badPool, CLAIMS, "[[limit]]\nname = \"l\"\nby = \"moon\""),
      String.join("\n", LISTENER, CLASSES, badPool, CLAIMS, CLAIMS.replace("claims", "again")),
      String.join("\n", LISTENER, CLASSES, badPool, CLAIMS).substring(0, 150),
      String.join("\n", LISTENER.replace(":0", ":1"), CLASSES, badPool, CLAIMS, "x = 1"),
    };
    fixture.start(validFiles[0]);
    int applied = 0;
    try (LoadGenerator load = fixture.loadGenerator(300, 20, List.of(CLAIM)).start()) {
      for (int i = 0; i < 400; i++) {
        boolean isInvalid = i % 2 == 1;
        fixture.write(
            isInvalid
                ? invalidFiles[i / 2 % invalidFiles.length]
                : validFiles[i / 2 % validFiles.length]);
        boolean reloaded = fixture.daemon.reload();
        assertThat(reloaded).isNotEqualTo(isInvalid);
        applied += reloaded ? 1 : 0;
        Thread.sleep(50);
      }
      load.await();
      assertThat(load.count(Outcome.UNANSWERED)).isZero();
      assertThat(load.count(Outcome.WRONG)).isZero();
      assertThat(load.count(Outcome.FAILED)).isZero();
      assertThat(load.count(Outcome.SERVED)).isGreaterThan(load.sent() * 95 / 100);
    }
    assertThat(fixture.daemon.version()).isEqualTo(1 + applied);
    assertThat(never.lastArrivalNanos()).isZero();
    assertThat(fixture.executionLog.repeatedIds()).isEmpty();
    assertThat(fixture.log()).contains("reload rejected: ");
  }

  @Test
  void aRequestEndsUnderTheSnapshotThatAcceptedIt() throws Exception {
    FakeUpstream slow =
        fixture.startUpstream(FakeUpstream.Options.instant("slow").withServiceTime(400, 1));
    fixture.start(LISTENER, CLASSES, pool("a", "", slow), CLAIMS);
    try (Socket socket = fixture.client()) {
      ProxyFixture.write(socket, request("POST", "/claim", "out"));
      ProxyFixture.await(() -> fixture.executionLog.executionsOf("out").size() == 1);
      FakeUpstream other = fixture.startUpstream("other");
      fixture.write(
          LISTENER,
          CLASSES,
          pool("b", "", other),
          route("else", "/else", "class = \"claim\"\npool = \"b\""));
      assertThat(fixture.daemon.reload()).isTrue();
      assertThat(fixture.status(request("POST", "/claim", "late"))).isEqualTo(404);
      assertThat(ProxyFixture.readMessage(socket.getInputStream()))
          .startsWith("HTTP/1.1 200")
          .contains("out");
    }
    // The removed pool has closed its connections.
    ProxyFixture.await(() -> slow.connections() == 0);
    assertThat(fixture.executionLog.executionsOf("out")).hasSize(1);
    assertThat(fixture.executionLog.executionsOf("late")).isEmpty();
  }

  @Test
  void unchangedPoolsAndListenersKeepTheirConnectionsOverAReload() throws Exception {
    FakeUpstream a = fixture.startUpstream("a");
    fixture.start(LISTENER, CLASSES, pool("a", "", a), CLAIMS);
    try (Socket socket = fixture.client()) {
      for (int i = 0; i < 5; i++) {
        ProxyFixture.write(socket, request("POST", "/claim", "r" + i));
        assertThat(ProxyFixture.readMessage(socket.getInputStream())).startsWith("HTTP/1.1 200");
        fixture.write(
            LISTENER,
            CLASSES,
            pool("a", "", a),
            CLAIMS,
            route("more" + i, "/more" + i, "class = \"claim\"\npool = \"a\""));
        assertThat(fixture.daemon.reload()).isTrue();
        Thread.sleep(20); // longer than a connection rests after a response
      }
      assertThat(a.maxConcurrentConnections()).isEqualTo(1);
    }
  }

  @Test
  void aListenerWhosePortIsInUseFailsTheReloadAndChangesNothing() throws Exception {
    FakeUpstream a = fixture.startUpstream("a");
    try (ServerSocket other = new ServerSocket(0, 1, java.net.InetAddress.getLoopbackAddress())) {
      String taken = "[listener.second]\naddress = \"127.0.0.1:" + other.getLocalPort() + "\"\n";
      fixture.write(LISTENER, taken, CLASSES, pool("a", "", a), CLAIMS);
      assertThatThrownBy(() -> new Daemon(fixture.file, form -> new LineLog(quiet(), false)))
          .isInstanceOf(ConfigurationException.class)
          .hasMessageContaining("listener.second.address");
      fixture.start(LISTENER, CLASSES, pool("a", "", a), CLAIMS);
      fixture.write(
          LISTENER,
          taken,
          CLASSES,
          pool("a", "", a),
          route("else", "/else", "class = \"claim\"\npool = \"a\""));
      assertThat(fixture.daemon.reload()).isFalse();
      assertThat(fixture.daemon.address("second")).isNull();
      assertThat(fixture.status(request("POST", "/claim", "r"))).isEqualTo(200);
    }
  }

  @Test
  void aRemovedListenerRespondsToAcceptedRequestsAndClosesItsConnections() throws Exception {
    FakeUpstream slow =
        fixture.startUpstream(FakeUpstream.Options.instant("slow").withServiceTime(300, 2));
    String second = "[listener.second]\naddress = \"127.0.0.1:0\"\n";
    fixture.start(LISTENER, second, CLASSES, pool("a", "", slow), CLAIMS);
    try (Socket socket = DaemonFixture.client(fixture.daemon.address("second"))) {
      ProxyFixture.write(socket, request("POST", "/claim", "out"));
      ProxyFixture.await(() -> fixture.executionLog.executionsOf("out").size() == 1);
      fixture.write(LISTENER, CLASSES, pool("a", "", slow), CLAIMS);
      assertThat(fixture.daemon.reload()).isTrue();
      assertThat(ProxyFixture.readMessage(socket.getInputStream()))
          .startsWith("HTTP/1.1 200")
          .containsIgnoringCase("connection: close");
      assertThat(ProxyFixture.isClosedByPeer(socket)).isTrue();
    }
    assertThat(fixture.daemon.address("second")).isNull();
  }

  @Test
  void anEmptiedPoolRejectsRequestsAndARefilledOneServesAgain() throws Exception {
    FakeUpstream a = fixture.startUpstream("a");
    fixture.start(LISTENER, CLASSES, pool("a", "", a), CLAIMS);
    fixture.write(LISTENER, CLASSES, pool("a", ""), CLAIMS);
    assertThat(fixture.daemon.reload()).isTrue();
    assertThat(fixture.status(request("POST", "/claim", "r1"))).isEqualTo(503);
    assertThat(fixture.executionLog.executionCount()).isZero();
    fixture.write(LISTENER, CLASSES, pool("a", "", a), CLAIMS);
    assertThat(fixture.daemon.reload()).isTrue();
    assertThat(fixture.status(request("POST", "/claim", "r2"))).isEqualTo(200);
  }

  @Test
  void aDrainDuringReloadsRespondsToAllAcceptedRequests() throws Exception {
    FakeUpstream slow =
        fixture.startUpstream(FakeUpstream.Options.instant("slow").withServiceTime(150, 50));
    fixture.start(LISTENER, CLASSES, pool("a", "", slow), CLAIMS);
    List<Socket> clients = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      Socket socket = fixture.client();
      ProxyFixture.write(socket, request("POST", "/claim", "r" + i));
      clients.add(socket);
    }
    ProxyFixture.await(() -> fixture.executionLog.executionCount() == 20);
    Thread reloads =
        new Thread(
            () -> {
              for (int i = 0; i < 50; i++) {
                fixture.daemon.reload();
              }
            });
    reloads.start();
    fixture.daemon.drain();
    reloads.join();
    for (Socket socket : clients) {
      assertThat(ProxyFixture.readMessage(socket.getInputStream())).startsWith("HTTP/1.1 200");
      socket.close();
    }
    fixture.daemon.awaitTermination();
    assertThat(fixture.daemon.reload()).isFalse(); // a reload does not restart a drained daemon
    assertThat(fixture.executionLog.repeatedIds()).isEmpty();
  }

  // --- limits

  @Test
  void aLoweredLimitCountsRequestsInFlight() throws Exception {
    FakeUpstream silent = fixture.startUpstream("silent");
    silent.setFault(Fault.SILENT, 1);
    String limit = "[[limit]]\nname = \"l\"\nconcurrency = ";
    fixture.start(LISTENER, CLASSES, pool("a", "", silent), CLAIMS, limit + 10);
    List<Socket> clients = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      Socket socket = fixture.client();
      ProxyFixture.write(socket, request("POST", "/claim", "r" + i));
      clients.add(socket);
    }
    ProxyFixture.await(() -> fixture.executionLog.executionCount() == 5);
    fixture.write(LISTENER, CLASSES, pool("a", "", silent), CLAIMS, limit + 3);
    assertThat(fixture.daemon.reload()).isTrue();
    String refused = fixture.exchange(request("POST", "/claim", "over"));
    assertThat(refused).startsWith("HTTP/1.1 429").containsIgnoringCase("retry-after: 1\r\n");
    assertThat(fixture.executionLog.executionsOf("over")).isEmpty();
    for (int i = 0; i < 3; i++) {
      clients.get(i).close();
    }
    silent.setFault(Fault.NONE, 0);
    ProxyFixture.await(
        () -> statusOrMinusOne(() -> fixture.status(request("POST", "/claim", "after"))) == 200);
    for (Socket socket : clients) {
      socket.close();
    }
  }

  @Test
  void aBusyTenantLeavesRoomForOthers() throws Exception {
    FakeUpstream silent = fixture.startUpstream("silent");
    silent.setFault(Fault.SILENT, 1);
    fixture.start(
        LISTENER,
        CLASSES,
        pool("a", "", silent),
        CLAIMS,
        "[[limit]]\nname = \"all\"\nconcurrency = 20",
        "[[limit]]\nname = \"tenant\"\nby = \"tenant\"\nwithin = \"all\"\nconcurrency = 1000");
    List<Socket> clients = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      Socket socket = fixture.client();
      clients.add(socket);
      ProxyFixture.write(socket, request("POST", "/claim", "hot" + i, "X-Tenant-Id: hot"));
    }
    ProxyFixture.await(() -> fixture.executionLog.executionCount() >= 16);
    List<String> otherIds = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      Socket socket = fixture.client();
      clients.add(socket);
      String id = "quiet" + i;
      ProxyFixture.write(socket, request("POST", "/claim", id, "X-Tenant-Id: quiet" + i));
      otherIds.add(id);
    }
    ProxyFixture.await(
        () -> otherIds.stream().allMatch(id -> fixture.executionLog.executionsOf(id).size() == 1));
    assertThat(fixture.executionLog.executionCount()).isLessThanOrEqualTo(20);
    for (Socket socket : clients) {
      socket.close();
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 4})
  void clientsThatDisconnectMidRequestLeakNothingOnAnyWorker(int workers) throws Exception {
    FakeUpstream a = fixture.startUpstream("a");
    a.setFault(Fault.SILENT, 1);
    fixture.start(
        "[daemon]\nworkers = " + workers,
        LISTENER,
        CLASSES,
        pool("a", "", a),
        CLAIMS,
        "[[limit]]\nname = \"l\"\nconcurrency = 16");
    for (int round = 0; round < 4; round++) {
      List<Socket> clients = new ArrayList<>();
      for (int i = 0; i < 16; i++) {
        Socket socket = fixture.client();
        clients.add(socket);
        String whole = request("POST", "/claim", "g" + round + "-" + i);
        // Half of the clients disconnect while their request is incomplete, after the limit has
        // counted it.
        ProxyFixture.write(
            socket,
            i % 2 == 0 ? whole : whole.replace("Content-Length: 0", "Content-Length: 5") + "ab");
      }
      int expected = 8 * (round + 1);
      ProxyFixture.await(() -> fixture.executionLog.executionCount() == expected);
      for (Socket socket : clients) {
        socket.close();
      }
      ProxyFixture.await(() -> a.connections() == 0); // their attempts were cancelled
    }
    a.setFault(Fault.NONE, 0);
    for (int i = 0; i < 16; i++) {
      int n = i;
      ProxyFixture.await(
          () ->
              statusOrMinusOne(() -> fixture.status(request("POST", "/claim", "after" + n)))
                  == 200);
    }
  }

  @Test
  void connectionsBeyondTheLimitAreClosedAndOthersAreUnaffected() throws Exception {
    FakeUpstream a = fixture.startUpstream("a");
    a.setFault(Fault.SILENT, 1);
    // Of 64 descriptors, 40 are reserved and half of the rest, 12, is for clients. One of these is
    // for the connection that is rejected.
    fixture.start("[daemon]\ndescriptors = 64", LISTENER, CLASSES, pool("a", "", a), CLAIMS);
    List<Socket> openClients = new ArrayList<>();
    for (int i = 0; i < 11; i++) {
      Socket socket = fixture.client();
      ProxyFixture.write(socket, request("POST", "/claim", "in" + i));
      openClients.add(socket);
    }
    ProxyFixture.await(() -> fixture.executionLog.executionCount() == 11);
    ProxyFixture.await(
        () -> statusOrMinusOne(() -> fixture.status(request("POST", "/claim", "past"))) == 0);
    assertThat(fixture.executionLog.executionsOf("past")).isEmpty();
    for (Socket socket : openClients) {
      assertThat(ProxyFixture.readMessage(socket.getInputStream()))
          .startsWith("HTTP/1.1 50"); // their only response
      socket.close();
    }
    a.setFault(Fault.NONE, 0);
    ProxyFixture.await(
        () -> statusOrMinusOne(() -> fixture.status(request("POST", "/claim", "after"))) == 200);
  }

  private interface StatusCall {
    int status() throws Exception;
  }

  private static int statusOrMinusOne(StatusCall call) {
    try {
      return call.status();
    } catch (Exception e) {
      return -1;
    }
  }

  // --- routes

  @ParameterizedTest
  @CsvSource({
    "/public/../admin",
    "/public/%2e%2e/admin",
    "/public/.%2E/admin",
    "//admin",
    "/public//admin",
    "/public/%2fadmin",
    "/public%2f..%2fadmin",
    "/public/..%2fadmin",
    "/public/%5c../admin",
    "/public/..;/admin",
    "/public/%2e%2e;x=1/admin",
    "/./admin",
    "/admin%00",
    "/%00/admin",
    "/public/%252e%252e/admin",
    "/public/\\admin",
    "/public/%zz",
    "/public/%2",
    "public/admin",
    "ftp://api.test/admin",
    "*",
    "/public/%0d%0aX:1"
  })
  void anAmbiguousPathReachesNoUpstream(String path) throws Exception {
    FakeUpstream open = fixture.startUpstream("open");
    FakeUpstream admin = fixture.startUpstream("admin");
    fixture.start(
        LISTENER,
        CLASSES,
        pool("a", "", open),
        pool("b", "", admin),
        route("public", "/public", "pool = \"a\""),
        route("admin", "/admin", "pool = \"b\""),
        route("rest", "/", "pool = \"a\""));
    assertThat(fixture.status(request("GET", path, "r"))).isEqualTo(400);
    assertThat(fixture.executionLog.executionCount()).isZero();
    assertThat(fixture.log()).contains("outcome=turned-away status=400");
  }

  @Test
  void anEncodedLetterDoesNotBypassItsRoute() throws Exception {
    FakeUpstream open = fixture.startUpstream("open");
    FakeUpstream admin = fixture.startUpstream("admin");
    fixture.start(
        LISTENER,
        CLASSES,
        pool("a", "", open),
        pool("b", "", admin),
        route("admin", "/admin", "pool = \"b\""),
        route("rest", "/", "pool = \"a\""));
    assertThat(fixture.exchange(request("GET", "/%61dmin/x", "r"))).contains("X-Served-By: admin");
    assertThat(fixture.exchange(request("GET", "/administer", "s"))).contains("X-Served-By: open");
  }

  @Test
  void aListenerThatResolvesPathsForwardsTheMatchedPath() throws Exception {
    List<String> seen = new java.util.concurrent.CopyOnWriteArrayList<>();
    try (ProxyFixture proxyFixture = new ProxyFixture(folder, 128)) {
      ProxyFixture.UpstreamHost host =
          proxyFixture
          .new UpstreamHost(
              upstream -> {
                seen.add(upstream.split(" ")[1]);
                return ProxyFixture.ok("x");
              });
      fixture.start(
          LISTENER + "paths = \"resolve\"",
          CLASSES,
          "[pool.a]\n[[pool.a.member]]\nid=\"h\"\naddress=\"" + host.address() + "\"",
          route("all", "/", "pool = \"a\""));
      assertThat(fixture.status(request("GET", "/a/../b//c/./d%20e?q=../x", "r"))).isEqualTo(200);
      assertThat(fixture.status(request("GET", "/a/%2e%2e/..", "s"))).isEqualTo(400);
      assertThat(seen).containsExactly("/b/c/d%20e?q=../x");
    }
  }

  @Test
  void aRouteRewritesItsPrefixAndHeaders() throws Exception {
    List<String> heads = new java.util.concurrent.CopyOnWriteArrayList<>();
    try (ProxyFixture proxyFixture = new ProxyFixture(folder, 128)) {
      ProxyFixture.UpstreamHost host =
          proxyFixture
          .new UpstreamHost(
              upstream -> {
                heads.add(upstream);
                return ProxyFixture.ok("x");
              });
      fixture.start(
          LISTENER,
          CLASSES,
          "[pool.a]\n[[pool.a.member]]\nid=\"h\"\naddress=\"" + host.address() + "\"",
          route(
              "old",
              "/old",
              "pool = \"a\"\nrewrite_prefix = \"/new/\"\n"
                  + "set_headers = { X-Office = \"7\" }\nremove_headers = [\"X-Secret\"]"));
      assertThat(fixture.status(request("GET", "/old/x%20y?q=1", "r", "X-Secret: s")))
          .isEqualTo(200);
      assertThat(fixture.status(request("GET", "/old", "s"))).isEqualTo(200);
      assertThat(heads.get(0))
          .startsWith("GET /new/x%20y?q=1 ")
          .contains("X-Office: 7")
          .doesNotContain("X-Secret");
      assertThat(heads.get(1)).startsWith("GET /new HTTP");
    }
  }

  @Test
  void aSplitSendsEachKeyToOnePool() throws Exception {
    FakeUpstream a = fixture.startUpstream("a");
    FakeUpstream b = fixture.startUpstream("b");
    fixture.start(
        LISTENER,
        CLASSES,
        pool("a", "", a),
        pool("b", "", b),
        "[[route]]\nname = \"r\"\nprefix = \"/\"\nsplit_by = \"header:X-Carer\"\n"
            + "split = [ { pool = \"a\", weight = 1 }, { pool = \"b\", weight = 1 } ]");
    for (int key = 0; key < 20; key++) {
      Set<String> servers = new HashSet<>();
      for (int i = 0; i < 3; i++) {
        String id = "k" + key + "-" + i;
        assertThat(fixture.status(request("GET", "/x", id, "X-Carer: carer" + key))).isEqualTo(200);
        servers.add(fixture.executionLog.executionsOf(id).get(0).upstream());
      }
      assertThat(servers).hasSize(1);
    }
    assertThat(a.served()).isPositive();
    assertThat(b.served()).isPositive();
  }

  @ParameterizedTest
  @CsvSource({
    "claim, TURN_AWAY, 200, 1", // known not to have run, so the next pool serves it
    "claim, RESET_AFTER, 502, 0", // it has run, so no other pool may receive it
    "claim, FAIL_FAST, 500, 0", // it may have run, so the server's error is the response
    "list, RESET_AFTER, 200, 1", // safe to repeat
  })
  void aFallbackPoolServesOnlyUnprocessedOrIdempotentRequests(
      String type, Fault fault, int status, int runsAtNext) throws Exception {
    FakeUpstream first = fixture.startUpstream("first");
    FakeUpstream next = fixture.startUpstream("next");
    first.setFault(fault, 1);
    fixture.start(
        LISTENER,
        CLASSES,
        pool("a", "", first),
        pool("b", "", next),
        route("r", "/", "class = \"" + type + "\"\npool = \"a\"\nfallback = [\"b\"]"));
    assertThat(fixture.status(request("POST", "/x", "r"))).isEqualTo(status);
    assertThat(
            fixture.executionLog.executionsOf("r").stream()
                .filter(e -> e.upstream().equals("next")))
        .hasSize(runsAtNext);
  }

  /** A fallback pool looked the class up again by name, in the file that had replaced it. */
  @Test
  void aFallbackPoolKeepsTheClassWithWhichTheRequestArrived() throws Exception {
    FakeUpstream first = fixture.startUpstream("first");
    first.setFault(Fault.TURN_AWAY, 1);
    FakeUpstream[] next = {fixture.startUpstream("next"), fixture.startUpstream("other")};
    for (FakeUpstream upstream : next) {
      upstream.setFault(Fault.RESET_AFTER, 1);
    }
    String[] pools = {pool("a", "", first), pool("b", "", next)};
    String route = route("r", "/", "class = \"claim\"\npool = \"a\"\nfallback = [\"b\"]");
    fixture.start(LISTENER, CLASSES, pools[0], pools[1], route);
    try (Socket client = fixture.startUpload("r")) {
      fixture.write(
          LISTENER,
          CLASSES.replace("[class.claim]", "[class.claim]\nrepeat = \"safe\""),
          pools[0],
          pools[1],
          route);
      assertThat(fixture.daemon.reload()).isTrue();
      assertThat(DaemonFixture.completeUpload(client)).startsWith("HTTP/1.1 502");
    }
    assertThat(fixture.executionLog.executionsOf("r")).hasSize(1);
  }

  @Test
  void aKeyedRequestThatMayHaveRunStaysInItsPool() throws Exception {
    FakeUpstream first = fixture.startUpstream("first");
    FakeUpstream next = fixture.startUpstream("next");
    first.setFault(Fault.RESET_AFTER, 1);
    fixture.start(
        LISTENER,
        "[class.log]\nrepeat = \"keyed\"\nscope = \"all\"\nwindow_ms = 2000\ndeadline_ms = 3000",
        pool("a", "", first),
        pool("b", "", next),
        route("r", "/", "class = \"log\"\npool = \"a\"\nfallback = [\"b\"]"));
    fixture.status(request("POST", "/x", "r", "Idempotency-Key: k"));
    assertThat(fixture.executionLog.executionsOf("r"))
        .isNotEmpty()
        .allMatch(e -> e.upstream().equals("first"));
    assertThat(fixture.status(request("POST", "/x", "s")))
        .isEqualTo(400); // without a key, retries can't be recognised
    assertThat(fixture.executionLog.executionsOf("s")).isEmpty();
  }

  @Test
  void aRetryBudgetOnlyPreventsRetries() throws Exception {
    FakeUpstream[] upstreams = {
      fixture.startUpstream("a"), fixture.startUpstream("b"), fixture.startUpstream("c")
    };
    for (FakeUpstream upstream : upstreams) {
      upstream.setFault(Fault.TURN_AWAY, 1);
    }
    String route = route("r", "/", "class = \"list\"\npool = \"a\"");
    fixture.start(
        LISTENER, CLASSES, pool("a", "retries = { ratio = 0, burst = 0 }", upstreams), route);
    assertThat(fixture.status(request("GET", "/x", "r"))).isEqualTo(503);
    long contacted =
        java.util.Arrays.stream(upstreams)
            .filter(upstream -> upstream.lastArrivalNanos() > 0)
            .count();
    assertThat(contacted).isEqualTo(1);
    fixture.daemon.close();
    long before = System.nanoTime();
    fixture.start(LISTENER, CLASSES, pool("a", "", upstreams), route);
    assertThat(fixture.status(request("GET", "/x", "s"))).isEqualTo(503);
    assertThat(
            java.util.Arrays.stream(upstreams)
                .filter(upstream -> upstream.lastArrivalNanos() > before)
                .count())
        .isGreaterThan(1);
  }

  // --- invalid or unusual input

  @ParameterizedTest
  @ValueSource(
      strings = {
        "\u0001\u0002garbage\r\n\r\n",
        "GET / HTTP/1.1\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a b\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a:x\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: [::1\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nX-Timeout-Ms: soon\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nX-Timeout-Ms: 0\r\n\r\n",
        "CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n",
      })
  void anInvalidRequestGetsAnErrorAndReachesNoUpstream(String bytes) throws Exception {
    FakeUpstream a = fixture.startUpstream("a");
    fixture.start(LISTENER, CLASSES, pool("a", "", a), CLAIMS);
    assertThat(fixture.status(bytes)).isBetween(400, 505);
    assertThat(a.lastArrivalNanos()).isZero();
    assertThat(fixture.status(request("POST", "/claim", "good"))).isEqualTo(200);
  }

  @Test
  void aBodyAboveTheLimitIsRejectedWithAnyFraming() throws Exception {
    FakeUpstream a = fixture.startUpstream("a");
    fixture.start(LISTENER + "max_body_bytes = 100", CLASSES, pool("a", "", a), CLAIMS);
    String sized = request("POST", "/c", "r").replace("Content-Length: 0", "Content-Length: 101");
    assertThat(fixture.status(sized + "x".repeat(101))).isEqualTo(413);
    String chunked =
        request("POST", "/c", "s").replace("Content-Length: 0", "Transfer-Encoding: chunked");
    assertThat(fixture.status(chunked + "65\r\n" + "x".repeat(101) + "\r\n0\r\n\r\n"))
        .isEqualTo(413);
    assertThat(a.lastArrivalNanos()).isZero();
    assertThat(fixture.status(sized.replace("101", "100").replace(": r", ": t") + "x".repeat(100)))
        .isEqualTo(200);
  }

  @Test
  void aRequestIsNotSentWhoseClientLeftWhileTheLoopWasBlocked() throws Exception {
    FakeUpstream a = fixture.startUpstream("a");
    fixture.start(LISTENER, CLASSES, pool("a", "", a), CLAIMS);
    assertThat(fixture.status(request("POST", "/c", "warm"))).isEqualTo(200);
    CountDownLatch blocked = new CountDownLatch(1);
    CountDownLatch release = new CountDownLatch(1);
    fixture
        .daemon
        .eventLoops()
        .iterator()
        .next()
        .submit(
            () -> {
              blocked.countDown();
              return release.await(30, java.util.concurrent.TimeUnit.SECONDS);
            });
    blocked.await();
    try (Socket connected = fixture.client()) {
      try (Socket disconnected = fixture.client()) {
        ProxyFixture.write(disconnected, request("POST", "/c", "gone"));
      }
      ProxyFixture.write(connected, request("POST", "/c", "stays"));
      release.countDown();
      assertThat(ProxyFixture.readMessage(connected.getInputStream())).contains("stays");
    }
    assertThat(a.served()).isEqualTo(2);
  }

  @Test
  void theLogRateOfInvalidRequestsIsBounded() throws Exception {
    FakeUpstream a = fixture.startUpstream("a");
    fixture.start(LISTENER, CLASSES, pool("a", "", a), CLAIMS);
    for (int i = 0; i < 300; i++) {
      assertThat(fixture.status("GET /../x HTTP/1.1\r\nHost: a\r\n\r\n")).isEqualTo(400);
    }
    // Generous: the loop above takes less time, and the log counts whole seconds.
    long seconds = 3;
    assertThat(fixture.log().lines().filter(l -> l.contains("outcome=turned-away")).count())
        .isLessThanOrEqualTo(50 * (seconds + 1));
  }

  @Test
  void aHeadRequestGetsTheLengthWithoutTheBody() throws Exception {
    FakeUpstream a = fixture.startUpstream("a");
    fixture.start(LISTENER, CLASSES, pool("a", "", a), CLAIMS);
    try (Socket socket = fixture.client()) {
      for (int i = 0; i < 2; i++) {
        ProxyFixture.write(socket, request("HEAD", "/x", "h" + i));
        String head = head(socket);
        assertThat(head).startsWith("HTTP/1.1 200").containsIgnoringCase("content-length: 64");
      }
      ProxyFixture.write(socket, request("GET", "/x", "g"));
      assertThat(ProxyFixture.readMessage(socket.getInputStream())).contains("\r\n\r\ng ");
    }
  }

  private static String head(Socket socket) throws Exception {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      head.append((char) socket.getInputStream().read());
    }
    return head.toString();
  }

  @Test
  void responsesBelow500ArePassedOnUnchanged() throws Exception {
    try (ProxyFixture proxyFixture = new ProxyFixture(folder, 128)) {
      ProxyFixture.UpstreamHost host =
          proxyFixture
          .new UpstreamHost(
              upstream ->
                  upstream.contains("/none")
                      ? "HTTP/1.1 204 No Content\r\n\r\n"
                      : upstream.contains("/moved")
                          ? "HTTP/1.1 302 Found\r\nLocation: /y\r\nContent-Length: 0\r\n\r\n"
                          : "HTTP/1.1 409 Conflict\r\nContent-Length: 5\r\n\r\ntaken");
      fixture.start(
          LISTENER,
          CLASSES,
          "[pool.a]\n[[pool.a.member]]\nid=\"h\"\naddress=\"" + host.address() + "\"",
          CLAIMS);
      assertThat(fixture.exchange(request("POST", "/x", "a")))
          .startsWith("HTTP/1.1 409")
          .endsWith("taken");
      assertThat(fixture.exchange(request("GET", "/moved", "b")))
          .startsWith("HTTP/1.1 302")
          .contains("/y");
      assertThat(fixture.exchange(request("GET", "/none", "c"))).startsWith("HTTP/1.1 204");
    }
  }

  private static PrintStream quiet() {
    return new PrintStream(OutputStream.nullOutputStream(), true, StandardCharsets.UTF_8);
  }
}
