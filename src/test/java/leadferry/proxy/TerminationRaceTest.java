package leadferry.proxy;

import static leadferry.proxy.ProxyFixture.atMostOnceRequest;
import static leadferry.proxy.ProxyFixture.keyedRequest;
import static leadferry.proxy.ProxyFixture.ok;
import static leadferry.proxy.ProxyFixture.write;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests disconnects, timeouts and drains while a request is in progress, in an order of events that
 * the peers force. Described in docs/design/endings.md.
 */
class TerminationRaceTest {
  @TempDir Path folder;
  private ProxyFixture fixture;

  @BeforeEach
  void open() {
    fixture = new ProxyFixture(folder, 128);
    fixture.connectTimeoutMillis = 2 * ProxyFixture.TIMEOUT_MILLIS;
    fixture.deadlineMillis = 2 * ProxyFixture.TIMEOUT_MILLIS;
  }

  @AfterEach
  void close() throws Exception {
    fixture.close();
  }

  // --- while an upstream connection is being opened

  @ParameterizedTest
  @CsvSource({"true,false", "false,false", "true,true", "false,true"})
  void requestIsNotSentWhenItsClientLeavesDuringTheUpstreamConnect(boolean cancel, boolean reset)
      throws Exception {
    fixture.allowsCancel = cancel;
    ProxyFixture.DelayedAcceptHost host = fixture.new DelayedAcceptHost(h -> ok("late"));
    fixture.start(host);
    try (Socket leaver = fixture.connectClient()) {
      write(leaver, atMostOnceRequest("leaver"));
      ProxyFixture.await(() -> fixture.upstreamConnections() == 1);
      if (reset) {
        leaver.setSoLinger(true, 0);
      }
    }
    // long before the deadline of the request and the timeout of its connection
    ProxyFixture.await(() -> fixture.openRequests() == 0);
    ProxyFixture.await(() -> fixture.upstreamConnections() == 0);
    host.startAccepting();
    assertThat(fixture.sendRequest(atMostOnceRequest("next"))).endsWith("late");
    assertThat(host.requests).hasSize(1).first().asString().contains("next");
  }

  /**
   * Guards against a disconnect that goes unnoticed: the proxy stops reading requests from a client
   * that pipelines them, and must still detect its disconnect.
   */
  @ParameterizedTest
  @ValueSource(ints = {1, 300, 30_000})
  void disconnectIsDetectedBehindPipelinedRequests(int requestsAhead) throws Exception {
    ProxyFixture.DelayedAcceptHost host = fixture.new DelayedAcceptHost(h -> ok("late"));
    fixture.start(host);
    try (Socket leaver = fixture.connectClient()) {
      write(leaver, atMostOnceRequest("leaver"));
      ProxyFixture.await(() -> fixture.upstreamConnections() == 1);
      write(leaver, atMostOnceRequest("ahead").repeat(requestsAhead));
    }
    ProxyFixture.await(() -> fixture.openRequests() == 0);
    ProxyFixture.await(() -> fixture.upstreamConnections() == 0);
    host.startAccepting();
    assertThat(fixture.sendRequest(atMostOnceRequest("next"))).endsWith("late");
    assertThat(host.requests).hasSize(1);
  }

  /**
   * Guards against a result that depends on the order of reads: the upstream connection is
   * established first, the client leaves after that, and both events are unread.
   */
  @ParameterizedTest
  @CsvSource({
    "true,false,0",
    "false,false,0",
    "true,true,0",
    "false,true,0",
    "true,false,300",
    "false,false,300"
  })
  void disconnectReadAfterTheConnectIsDetectedBeforeTheWrite(
      boolean cancel, boolean reset, int requestsAhead) throws Exception {
    fixture.allowsCancel = cancel;
    ProxyFixture.DelayedAcceptHost host = fixture.new DelayedAcceptHost(h -> ok("late"));
    fixture.start(host);
    AutoCloseable paused;
    try (Socket leaver = fixture.connectClient()) {
      write(leaver, atMostOnceRequest("leaver"));
      ProxyFixture.await(() -> fixture.upstreamConnections() == 1);
      paused = fixture.pauseLoop();
      host.startAccepting();
      ProxyFixture.await(() -> host.proxyConnections() == 1);
      write(leaver, atMostOnceRequest("ahead").repeat(requestsAhead));
      if (reset) {
        leaver.setSoLinger(true, 0);
      }
    }
    paused.close();
    ProxyFixture.await(
        () ->
            fixture.openRequests() == 0
                && fixture.upstreamConnections() == 0
                && fixture.clientConnections() == 0);
    assertThat(fixture.sendRequest(atMostOnceRequest("next"))).endsWith("late");
    assertThat(host.requests).hasSize(1).first().asString().contains("next");
  }

  /**
   * Guards against sending the request of a client that has left: a request, more data than one
   * read takes, and the close are all in the kernel when the loop reads them.
   */
  @ParameterizedTest
  @ValueSource(ints = {0, 300})
  void requestOfAClientThatLeftBeforeTheReadIsNotSent(int requestsAhead) throws Exception {
    ProxyFixture.UpstreamHost host = fixture.new UpstreamHost(h -> ok("done"));
    fixture.start(host);
    assertThat(fixture.sendRequest(atMostOnceRequest("first"))).endsWith("done");
    // its upstream connection is past the reuse delay and ready for the next request
    Thread.sleep(20);
    AutoCloseable paused = fixture.pauseLoop();
    try (Socket leaver = fixture.connectClient()) {
      write(leaver, atMostOnceRequest("leaver") + atMostOnceRequest("ahead").repeat(requestsAhead));
    }
    paused.close();
    assertThat(fixture.sendRequest(atMostOnceRequest("next"))).endsWith("done");
    ProxyFixture.await(() -> fixture.openRequests() == 0 && fixture.clientConnections() == 0);
    assertThat(host.requests).hasSize(2).last().asString().contains("next");
  }

  /**
   * Counts the requests that are sent on although their clients left while the requests waited, and
   * those still waiting 0.3 s later, as the users do.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void noRequestOfManyLeavingClientsIsSent(boolean cancel) throws Exception {
    fixture.close();
    fixture = new ProxyFixture(folder, 512);
    fixture.connectTimeoutMillis = 2 * ProxyFixture.TIMEOUT_MILLIS;
    fixture.deadlineMillis = 2 * ProxyFixture.TIMEOUT_MILLIS;
    fixture.allowsCancel = cancel;
    ProxyFixture.DelayedAcceptHost host = fixture.new DelayedAcceptHost(h -> ok("late"));
    fixture.start(host);
    int leaverCount = 0;
    int late = 0;
    while (leaverCount < 500) {
      List<Socket> leavers = new ArrayList<>();
      for (int i = 0; i < 50; i++) {
        Socket socket = fixture.connectClient();
        leavers.add(socket);
        write(socket, atMostOnceRequest("leaver" + leaverCount + "-" + i));
      }
      ProxyFixture.await(() -> fixture.upstreamConnections() == leavers.size());
      leaverCount += leavers.size();
      for (int i = 0; i < leavers.size(); i++) {
        Socket socket = leavers.get(i);
        switch (i % 3) {
          case 0 -> socket.setSoLinger(true, 0);
          case 1 -> write(socket, atMostOnceRequest("ahead"));
          default -> {}
        }
        socket.close();
      }
      long leftNanos = System.nanoTime();
      ProxyFixture.await(() -> fixture.openRequests() == 0);
      late += System.nanoTime() - leftNanos > 300_000_000L ? leavers.size() : 0;
    }
    host.startAccepting();
    assertThat(fixture.sendRequest(atMostOnceRequest("next"))).endsWith("late");
    long sent = host.requests.stream().filter(h -> h.contains("leaver")).count();
    System.out.println(
        "leavers: " + leaverCount + ", sent on: " + sent + ", waiting still after 0.3 s: " + late);
    assertThat(sent).isZero();
    // the connection of the client that has stayed
    assertThat(fixture.upstreamConnections()).isEqualTo(1);
    ProxyFixture.await(() -> fixture.clientConnections() == 0);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void waitingParallelAttemptIsNotSentAfterTheOtherResponse(boolean cancel) throws Exception {
    fixture.allowsCancel = cancel;
    CountDownLatch responseGate = new CountDownLatch(1);
    ProxyFixture.UpstreamHost quick =
        fixture
        .new UpstreamHost(
            h -> {
              try {
                responseGate.await();
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
              return ok("quick");
            });
    ProxyFixture.DelayedAcceptHost late = fixture.new DelayedAcceptHost(h -> ok("late"));
    fixture.start(quick, late);
    try (Socket socket = fixture.connectClient()) {
      write(socket, keyedRequest("copied"));
      ProxyFixture.await(() -> fixture.upstreamConnections() == 2);
      responseGate.countDown();
      assertThat(ProxyFixture.readMessage(socket.getInputStream())).endsWith("quick");
      ProxyFixture.await(() -> fixture.openRequests() == 0);
      ProxyFixture.await(() -> fixture.upstreamConnections() == 1);
      late.startAccepting();
      ProxyFixture.await(() -> late.acceptedSockets.size() > 0);
      assertThat(late.requests).isEmpty();
    }
  }

  /**
   * Guards against sending the complete body of a client that has left. The body is larger than the
   * part held in memory: the rest of it is unread in the kernel, with the client's close behind it.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void largeBodyOfALeavingClientIsNotSentCompletely(boolean cancel) throws Exception {
    fixture.allowsCancel = cancel;
    ProxyFixture.DelayedAcceptHost host = fixture.new DelayedAcceptHost(h -> ok("late"));
    fixture.start(host);
    int size = (1 << 20) + 100_000;
    try (Socket leaver = fixture.connectClient()) {
      write(leaver, atMostOnceRequest("leaver", "Content-Length: " + size) + "x".repeat(size));
      ProxyFixture.await(() -> fixture.upstreamConnections() == 1);
    }
    host.startAccepting();
    ProxyFixture.await(
        () ->
            fixture.openRequests() == 0
                && fixture.upstreamConnections() == 0
                && fixture.clientConnections() == 0);
    assertThat(fixture.sendRequest(atMostOnceRequest("next"))).endsWith("late");
    assertThat(completeRequests(host, size)).isZero();
  }

  /**
   * Guards against a timeout header that exceeds the time left: the request is complete, and its
   * deadline runs while it waits.
   */
  @Test
  void timeoutSentForAWaitingLargeBodyIsTheTimeLeft() throws Exception {
    fixture.hotRestart = HotRestart.join(folder.toString());
    ProxyFixture.DelayedAcceptHost host = fixture.new DelayedAcceptHost(h -> ok("late"));
    fixture.start(host);
    int bufferLimit = 1 << 20; // a larger body is not held in memory
    try (HotRestart otherProcess = HotRestart.join(folder.toString());
        Socket socket = fixture.connectClient()) {
      write(
          socket,
          atMostOnceRequest("long", "Content-Length: " + (bufferLimit + 2_000))
              + "x".repeat(bufferLimit - 1_000));
      ProxyFixture.await(
          () -> otherProcess.readOtherProcesses().bodyBytes() == bufferLimit - 1_000);
      write(socket, "x".repeat(3_000)); // one read, which includes the last byte
      ProxyFixture.await(() -> fixture.openRequests() == 1);
      long completeNanos = System.nanoTime();
      ProxyFixture.await(() -> System.nanoTime() - completeNanos > 200_000_000L);
      long waitedMillis = (System.nanoTime() - completeNanos) / 1_000_000;
      host.startAccepting();
      assertThat(ProxyFixture.readMessage(socket.getInputStream())).endsWith("late");
      assertThat(Long.parseLong(ProxyFixture.headerValue(host.requests.get(0), "X-Timeout-Ms")))
          .isBetween(1L, fixture.deadlineMillis - waitedMillis);
    }
  }

  /** Returns the number of requests of which the host has received a complete body of this size. */
  private static long completeRequests(ProxyFixture.UpstreamHost host, int size) {
    return host.requests.stream()
        .filter(h -> h.length() - h.indexOf("\r\n\r\n") - 4 == size)
        .count();
  }

  /**
   * Guards against a host connection that stays open after an aborted body: the host waits for the
   * rest of the body, and nothing else closes the connection where the deployment allows no
   * cancelling.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void abortedLargeBodyReleasesItsConnections(boolean cancel) throws Exception {
    fixture.allowsCancel = cancel;
    ProxyFixture.UpstreamHost host = fixture.new UpstreamHost(h -> ok("done"));
    fixture.start(host);
    try (Socket leaver = fixture.connectClient()) {
      write(
          leaver,
          atMostOnceRequest("leaver", "Content-Length: " + (3 << 20)) + "x".repeat(2 << 20));
      ProxyFixture.await(() -> host.acceptedConnections() == 1);
    }
    ProxyFixture.await(
        () ->
            fixture.openRequests() == 0
                && fixture.upstreamConnections() == 0
                && fixture.clientConnections() == 0);
    assertThat(completeRequests(host, 3 << 20)).isZero();
  }

  /**
   * Guards against a repeat after the repeat window, which begins when the first byte of the other
   * attempt is sent. Either host may be the first.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void keyedRequestIsNotRepeatedAfterItsRepeatWindow(boolean cancel) throws Exception {
    fixture.allowsCancel = cancel;
    fixture.aimMillis = 100;
    fixture.repeatWindowMillis = 1_000;
    ProxyFixture.UpstreamHost hangs = fixture.new UpstreamHost(h -> null);
    ProxyFixture.DelayedAcceptHost late = fixture.new DelayedAcceptHost(h -> ok("late"));
    fixture.start(hangs, late);
    try (Socket socket = fixture.connectClient()) {
      write(socket, keyedRequest("keyed"));
      ProxyFixture.await(() -> hangs.requests.size() == 1 && fixture.upstreamConnections() == 2);
      long until = System.nanoTime() + fixture.repeatWindowMillis * 1_000_000L;
      ProxyFixture.await(() -> System.nanoTime() > until);
      late.startAccepting();
      ProxyFixture.await(() -> late.proxyConnections() == 1);
      ProxyFixture.await(() -> fixture.upstreamConnections() == 1 || !late.requests.isEmpty());
      assertThat(late.requests).isEmpty();
      assertThat(fixture.openRequests()).isEqualTo(1); // the silent host may still respond
    }
  }

  /** Discovery server that sends its list, and later the updates that a test adds. */
  private final class ScriptedDiscovery extends ProxyFixture.Server {
    private final String list;
    private final BlockingQueue<String> updates = new LinkedBlockingQueue<>();

    ScriptedDiscovery(String list) throws IOException {
      fixture.super();
      this.list = list;
    }

    @Override
    void serve(Socket socket) throws IOException, InterruptedException {
      ProxyFixture.readMessage(socket.getInputStream());
      write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(list));
      while (true) {
        String line = updates.poll(500, TimeUnit.MILLISECONDS);
        write(socket, chunk(line == null ? "" : line));
      }
    }

    private String chunk(String line) {
      return Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n";
    }
  }

  private static String singleEntryList(
      boolean full, int version, String address, String state, long startedMillis) {
    return list(full, version, entry("h", address, 1, state, startedMillis));
  }

  private static String list(boolean full, int version, String... entries) {
    return "{\"version\":"
        + version
        + ",\"full\":"
        + full
        + ",\"servers\":["
        + String.join(",", entries)
        + "]}";
  }

  private static String entry(
      String id, String address, int cell, String state, long startedMillis) {
    return "{\"id\":\""
        + id
        + "\",\"addr\":\""
        + address
        + "\",\"zone\":\"z\",\"kind\":\"k\",\"cell\":"
        + cell
        + ",\"state\":\""
        + state
        + "\",\"weight\":1.0,\"started_ms\":"
        + startedMillis
        + "}";
  }

  private static String entry(String id, String address, int cell) {
    return entry(id, address, cell, "up", 0);
  }

  /**
   * Guards against sending a waiting request to a host that has changed meanwhile, or that drains
   * and whose grace is over.
   */
  @ParameterizedTest
  @ValueSource(strings = {"draining", "removed", "left out", "moved", "started anew"})
  void waitingRequestIsNotSentToAChangedHost(String change) throws Exception {
    ProxyFixture.DelayedAcceptHost host = fixture.new DelayedAcceptHost(h -> ok("late"));
    ProxyFixture.UpstreamHost other = fixture.new UpstreamHost(h -> ok("other"));
    ScriptedDiscovery discovery =
        new ScriptedDiscovery(singleEntryList(true, 41, host.address(), "up", 0));
    fixture.startProxy(
        fixture.writeConfig(
            discovery.address(), singleEntryList(true, 40, host.address(), "up", 0)),
        ProxyFixture.discardingLog());
    try (Socket socket = fixture.connectClient()) {
      write(socket, atMostOnceRequest("waits"));
      ProxyFixture.await(() -> fixture.upstreamConnections() == 1);
      discovery.updates.add(
          switch (change) {
            case "left out" -> list(true, 42);
            case "moved" -> singleEntryList(false, 42, other.address(), "up", 0);
            case "started anew" ->
                singleEntryList(false, 42, host.address(), "up", System.currentTimeMillis());
            default -> singleEntryList(false, 42, host.address(), change, 0);
          });
      if (change.equals("started anew")) {
        discovery.updates.add(list(false, 43, entry("behind", other.address(), 1)));
        ProxyFixture.await(
            () ->
                fixture.callOnLoop(
                    () ->
                        fixture.proxy.canSendTo(
                            "behind"))); // the change before it has been applied, too
        host.startAccepting(); // for a new connection: the one before was closed
        assertThat(ProxyFixture.readMessage(socket.getInputStream())).endsWith("late");
        assertThat(host.requests).hasSize(1);
        ProxyFixture.await(() -> host.proxyConnections() == 1);
      } else {
        assertThat(ProxyFixture.readMessage(socket.getInputStream()))
            .contains(" 503 "); // rejected: it never ran
        assertThat(host.requests).isEmpty();
        ProxyFixture.await(() -> fixture.upstreamConnections() == 0);
        host.startAccepting();
        assertThat(host.requests).isEmpty();
      }
    }
  }

  /**
   * Guards against sending the request of a client that has left: the proxy stops reading the body
   * until memory is free, and the close is unread behind the rest of the body.
   */
  @Test
  void bodyWaitingForMemoryIsNotSentAfterItsClientLeft() throws Exception {
    fixture.close();
    fixture = new ProxyFixture(folder, 512);
    fixture.memoryMegabytes = 100; // 8 MB for bodies
    fixture.deadlineMillis = 1_500;
    int size = 65_536;
    ProxyFixture.UpstreamHost hangs = fixture.new UpstreamHost(h -> null);
    fixture.start(hangs);
    List<Socket> holders = new ArrayList<>();
    for (int i = 0; i < 70; i++) {
      Socket socket = fixture.connectClient();
      holders.add(socket);
      write(socket, atMostOnceRequest("holder" + i, "Content-Length: " + size) + "x".repeat(size));
    }
    ProxyFixture.await(
        () -> hangs.requests.size() == holders.size()); // 4.6 MB, held until the deadlines
    List<Socket> leavers = new ArrayList<>();
    for (int i = 0; i < 70; i++) {
      Socket socket = fixture.connectClient();
      leavers.add(socket);
      write(
          socket,
          atMostOnceRequest("leaver" + i, "Content-Length: " + size) + "x".repeat(size - 100));
    }
    ProxyFixture.await(() -> fixture.clientConnections() == holders.size() + leavers.size());
    for (Socket socket : leavers) {
      // requests that had room have been accepted, the others are unread in the kernel
      write(socket, "x".repeat(100));
    }
    int accepted = 0;
    for (long since = System.nanoTime();
        System.nanoTime() - since < 300_000_000L;
        Thread.sleep(1)) {
      since = accepted == hangs.requests.size() ? since : System.nanoTime();
      accepted = hangs.requests.size(); // until no more requests arrive
    }
    // Clients whose requests wait leave first: an accepted request frees its memory when its client
    // leaves, and a request that still waits would be accepted then.
    for (int i = leavers.size() - 1; i >= 0; i--) {
      leavers.get(i).close();
    }
    for (Socket socket : holders) {
      assertThat(ProxyFixture.readMessage(socket.getInputStream())).contains(" 504 ");
      socket.close();
    }
    ProxyFixture.await(() -> fixture.clientConnections() == 0 && fixture.openRequests() == 0);
    System.out.println(
        "waited for memory and left: " + (holders.size() + leavers.size() - accepted));
    assertThat(accepted).isLessThan(holders.size() + leavers.size());
    assertThat(hangs.requests).hasSize(accepted);
  }

  /**
   * Guards against a parallel attempt in another cell. The attempt was allowed while both hosts
   * were in one cell; another cell does not know which requests the first one has run.
   */
  @Test
  void waitingParallelAttemptIsNotSentToAnotherCell() throws Exception {
    fixture.aimMillis = 100;
    ProxyFixture.UpstreamHost hangs = fixture.new UpstreamHost(h -> null);
    ProxyFixture.DelayedAcceptHost late = fixture.new DelayedAcceptHost(h -> ok("late"));
    String list =
        list(true, 41, entry("hangs", hangs.address(), 1), entry("late", late.address(), 1));
    ScriptedDiscovery discovery = new ScriptedDiscovery(list);
    fixture.startProxy(
        fixture.writeConfig(discovery.address(), list), ProxyFixture.discardingLog());
    try (Socket socket = fixture.connectClient()) {
      write(socket, keyedRequest("keyed"));
      ProxyFixture.await(() -> hangs.requests.size() == 1 && fixture.upstreamConnections() == 2);
      discovery.updates.add(list(false, 42, entry("late", late.address(), 2)));
      ProxyFixture.await(() -> fixture.upstreamConnections() == 1);
      late.startAccepting();
      assertThat(late.requests).isEmpty();
      assertThat(fixture.openRequests()).isEqualTo(1); // the silent host may still respond
    }
  }

  /**
   * Guards against withdrawing the request from the new host because that host has changed in the
   * same list.
   */
  @Test
  void waitingRequestMovesToAHostAddedInTheSameList() throws Exception {
    ProxyFixture.DelayedAcceptHost goes = fixture.new DelayedAcceptHost(h -> ok("goes"));
    ProxyFixture.UpstreamHost comes = fixture.new UpstreamHost(h -> ok("comes"));
    ScriptedDiscovery discovery =
        new ScriptedDiscovery(singleEntryList(true, 41, goes.address(), "up", 0));
    fixture.startProxy(
        fixture.writeConfig(
            discovery.address(), singleEntryList(true, 40, goes.address(), "up", 0)),
        ProxyFixture.discardingLog());
    try (Socket socket = fixture.connectClient()) {
      write(socket, atMostOnceRequest("waits"));
      ProxyFixture.await(() -> fixture.upstreamConnections() == 1);
      discovery.updates.add(
          list(
              false,
              42,
              entry("h", goes.address(), 1, "removed", 0),
              entry("new", comes.address(), 1)));
      assertThat(ProxyFixture.readMessage(socket.getInputStream())).endsWith("comes");
    }
  }

  // --- upstream connections that fail at a critical moment

  /**
   * Guards against a write to a closed connection: the request is read first, and the host's close
   * of the pooled connection is unread behind it.
   */
  @Test
  void unreadCloseOfAPooledConnectionIsDetectedBeforeTheWrite() throws Exception {
    ProxyFixture.UpstreamHost host = fixture.new UpstreamHost(h -> ok("done"));
    fixture.start(host);
    assertThat(fixture.sendRequest(atMostOnceRequest("warm"))).endsWith("done");
    try (Socket socket = fixture.connectClient()) {
      ProxyFixture.await(() -> fixture.clientConnections() == 1);
      Thread.sleep(10); // the reuse delay is over
      AutoCloseable paused = fixture.pauseLoop();
      write(socket, atMostOnceRequest("crosses"));
      host.acceptedSockets.get(0).shutdownOutput();
      paused.close();
      assertThat(ProxyFixture.readMessage(socket.getInputStream())).endsWith("done");
      assertThat(host.acceptedConnections()).isEqualTo(2);
    }
  }

  /**
   * Guards against a duplicate response that is taken for that of a later request. It arrives after
   * the initial reuse delay; the delay grows once a duplicate was seen on an idle connection.
   */
  @Test
  void lateDuplicateResponseIsNotMatchedToTheNextRequest() throws Exception {
    ProxyFixture.UpstreamHost host =
        fixture.new UpstreamHost(h -> null) {
          @Override
          void serve(Socket socket) throws IOException, InterruptedException {
            String head;
            while ((head = ProxyFixture.readMessage(socket.getInputStream())) != null) {
              String id = ProxyFixture.headerValue(head, "X-Request-ID");
              // the late duplicate arrives before this response
              Thread.sleep(id.equals("third") ? 100 : 0);
              write(socket, ok(id));
              Thread.sleep(25);
              write(socket, ok(id));
            }
          }
        };
    fixture.start(host);
    assertThat(fixture.sendRequest(atMostOnceRequest("first"))).endsWith("first");
    ProxyFixture.await(
        () -> fixture.upstreamConnections() == 0); // the duplicate arrived on an idle connection
    try (Socket socket = fixture.connectClient()) {
      ProxyFixture.await(() -> fixture.clientConnections() == 1);
      write(socket, atMostOnceRequest("second"));
      assertThat(ProxyFixture.readMessage(socket.getInputStream())).endsWith("second");
      Thread.sleep(
          10); // longer than the initial reuse delay, and shorter than the delay of the duplicate
      write(socket, atMostOnceRequest("third"));
      assertThat(ProxyFixture.readMessage(socket.getInputStream())).endsWith("third");
    }
  }

  /**
   * Guards against a longer reuse delay after a fault. Data behind a faulty response, or the end
   * that is made up for a response whose connection closes, did not arrive on an idle connection.
   */
  @ParameterizedTest
  @CsvSource({"reset", "unframed", "interim"})
  void faultOnABusyConnectionDoesNotExtendTheReuseDelay(String fault) throws Exception {
    fixture.aimMillis = ProxyFixture.TIMEOUT_MILLIS; // an idle connection is kept for two aims
    ProxyFixture.UpstreamHost host =
        fixture.new UpstreamHost(h -> null) {
          @Override
          void serve(Socket socket) throws IOException, InterruptedException {
            String head;
            while ((head = ProxyFixture.readMessage(socket.getInputStream())) != null) {
              String id = ProxyFixture.headerValue(head, "X-Request-ID");
              switch (id) {
                case "reset" -> {
                  write(socket, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf of it");
                  ProxyFixture.await(
                      () -> fixture.callOnLoop(() -> true)); // one turn of the loop has passed
                  socket.setSoLinger(true, 0);
                  socket.close();
                  return;
                }
                case "unframed" -> write(socket, "HTTP/1.1 200 OK\r\n\r\nits end can't be told");
                case "interim" -> write(socket, "HTTP/1.1 101 Switching Protocols\r\n\r\n");
                default -> write(socket, ok(id));
              }
            }
          }
        };
    fixture.start(host);
    try (Socket socket = fixture.connectClient()) {
      for (String id : List.of("first", fault)) {
        write(socket, atMostOnceRequest(id));
        assertThat(ProxyFixture.readMessage(socket.getInputStream()))
            .startsWith(id.equals(fault) ? "HTTP/1.1 502" : "HTTP/1.1 200");
        Thread.sleep(20); // the next request uses the same connection, which was idle for this time
      }
      assertThat(host.acceptedConnections()).isEqualTo(1);
      for (int i = 0; i < 10; i++) {
        write(socket, atMostOnceRequest("after" + i));
        assertThat(ProxyFixture.readMessage(socket.getInputStream())).endsWith("after" + i);
        Thread.sleep(
            20); // longer than the reuse delay, and shorter than the delay after a late response
      }
    }
    assertThat(host.acceptedConnections()).isEqualTo(2);
  }

  /**
   * Guards against two responses to one request when response and deadline are due in one turn of
   * the loop, and against a response that is taken for that of the next request.
   */
  @Test
  void responseAndDeadlineInOneLoopTurnGiveOneResponse() throws Exception {
    fixture.deadlineMillis = 400;
    CountDownLatch responseGate = new CountDownLatch(1);
    CountDownLatch connectionEnded = new CountDownLatch(1);
    ProxyFixture.UpstreamHost host =
        fixture
        .new UpstreamHost(
            h -> {
              if (h.contains("both")) {
                try {
                  responseGate.await();
                } catch (InterruptedException e) {
                  Thread.currentThread().interrupt();
                }
              }
              return ok(h.contains("both") ? "both" : "next");
            }) {
          @Override
          void serve(Socket socket) throws IOException, InterruptedException {
            super.serve(socket);
            connectionEnded.countDown();
          }
        };
    fixture.start(host);
    try (Socket socket = fixture.connectClient()) {
      write(socket, atMostOnceRequest("both"));
      ProxyFixture.await(() -> host.requests.size() == 1);
      AutoCloseable paused = fixture.pauseLoop();
      responseGate.countDown();
      long until = System.nanoTime() + 500_000_000L;
      ProxyFixture.await(() -> System.nanoTime() > until);
      paused.close();
      assertThat(ProxyFixture.readMessage(socket.getInputStream()))
          .matches("(?s)HTTP/1.1 (200 .*both|504 .*)");
      write(socket, atMostOnceRequest("next"));
      assertThat(ProxyFixture.readMessage(socket.getInputStream())).endsWith("next");
      ProxyFixture.await(() -> fixture.openRequests() == 0);
    }
  }

  /**
   * Guards against a response that never ends. The proxy has begun to forward it, because it may be
   * a long one, and then nothing more arrives: its client must see the end.
   */
  @Test
  void endlessChunkedResponseIsTruncatedAtItsDeadline() throws Exception {
    fixture.deadlineMillis = 600;
    String head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nmore\r\n";
    ProxyFixture.UpstreamHost host =
        fixture.new UpstreamHost(h -> head) {
          @Override
          void serve(Socket socket) throws IOException, InterruptedException {
            ProxyFixture.readMessage(socket.getInputStream());
            write(socket, head);
            Thread.sleep(150); // after this time, an incomplete response is forwarded
            write(socket, "4\r\nmore\r\n");
            ProxyFixture.readMessage(socket.getInputStream());
          }
        };
    fixture.start(host);
    try (Socket socket = fixture.connectClient()) {
      write(socket, atMostOnceRequest("endless"));
      assertThat(ProxyFixture.readMessage(socket.getInputStream())).contains(" 200 ");
      assertThat(ProxyFixture.isClosedByPeer(socket)).isTrue();
    }
    ProxyFixture.await(() -> fixture.openRequests() == 0 && fixture.upstreamConnections() == 0);
  }

  // --- a restart with requests in flight

  @Test
  void halfReceivedBodyIsServedDuringADrain() throws Exception {
    fixture.start(fixture.new UpstreamHost(h -> ok("done")));
    CompletableFuture<Void> ended;
    try (Socket socket = fixture.connectClient()) {
      write(socket, atMostOnceRequest("slow", "Content-Length: 4") + "ab");
      ProxyFixture.await(() -> fixture.clientConnections() == 1);
      ended = fixture.drain();
      long until =
          System.nanoTime() + 1_000_000_000L; // past the time at which idle connections are closed
      ProxyFixture.await(() -> System.nanoTime() > until);
      write(socket, "cd");
      assertThat(ProxyFixture.readMessage(socket.getInputStream())).endsWith("done");
    }
    ended.get(ProxyFixture.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  /**
   * Guards against a request that SIGKILL ends without a response: SIGKILL arrives 3.7 s after
   * SIGTERM at the latest, whatever the deadline of a class.
   */
  @Test
  void requestWithADeadlineBeyondSigkillGetsAResponse() throws Exception {
    ProxyFixture.UpstreamHost hangs = fixture.new UpstreamHost(h -> null);
    fixture.start(hangs);
    try (Socket socket = fixture.connectClient()) {
      write(socket, atMostOnceRequest("long"));
      ProxyFixture.await(() -> hangs.requests.size() == 1);
      CompletableFuture<Void> ended = fixture.drain();
      assertThat(ProxyFixture.readMessage(socket.getInputStream())).contains(" 502 ");
      ended.get(ProxyFixture.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /** Guards against a request that is written to an open connection when the process exits. */
  @Test
  void drainEndsWithNoOpenConnection() throws Exception {
    fixture.start(fixture.new UpstreamHost(h -> ok("done")));
    try (Socket before = fixture.connectClient()) {
      ProxyFixture.await(() -> fixture.clientConnections() == 1);
      CompletableFuture<Void> ended = fixture.drain();
      try (Socket after = fixture.connectClient()) {
        ended.get(ProxyFixture.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        assertThat(fixture.clientConnections()).isZero();
        assertThat(ProxyFixture.isClosedByPeer(before)).isTrue();
        assertThat(ProxyFixture.isClosedByPeer(after)).isTrue();
      }
    }
  }

  /**
   * Guards against rejecting a client that may have written an unread request to a closed
   * connection: by the protocol, it sends the request once more, on a new connection.
   */
  @Test
  void clientOfTheLastClosedConnectionMayReconnect() throws Exception {
    String response = null;
    long pauseMillis;
    do {
      fixture.close();
      fixture = new ProxyFixture(folder, 128);
      fixture.start(fixture.new UpstreamHost(h -> ok("done")));
      CompletableFuture<Void> ended = fixture.drain();
      try (Socket idle = fixture.connectClient();
          PauseDetector pauses = new PauseDetector()) {
        assertThat(ProxyFixture.isClosedByPeer(idle)).isTrue();
        try {
          response = fixture.sendRequest(atMostOnceRequest("once more"));
        } catch (java.net.ConnectException e) {
          response = "refused";
        }
        pauseMillis = pauses.longestMillis();
      }
      ended.get(ProxyFixture.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
      assertThat(fixture.clientConnections()).isZero();
    } while (response.equals("refused")
        && pauseMillis > 20); // a pause of this process delayed the client by as much
    assertThat(response).endsWith("done");
  }

  /** Measures the longest pause of this process. */
  private static final class PauseDetector implements AutoCloseable {
    private final Thread thread = new Thread(this::run, "stalls");
    private volatile long longestNanos;
    private volatile boolean closed;

    PauseDetector() {
      thread.setDaemon(true);
      thread.start();
    }

    private void run() {
      long last = System.nanoTime();
      while (!closed) {
        java.util.concurrent.locks.LockSupport.parkNanos(1_000_000);
        long now = System.nanoTime();
        longestNanos = Math.max(longestNanos, now - last);
        last = now;
      }
    }

    long longestMillis() {
      return longestNanos / 1_000_000;
    }

    @Override
    public void close() {
      closed = true;
    }
  }

  /**
   * Guards against an exit that drops connections in the backlog. They are more than are accepted
   * in one turn of the loop, and a process that has just started or lacks a core accepts them late.
   */
  @Test
  void backlogIsServedWhenTheDrainEnds() throws Exception {
    fixture.start(fixture.new UpstreamHost(h -> ok("done")));
    assertThat(fixture.sendRequest(atMostOnceRequest("warm"))).endsWith("done");
    CompletableFuture<Void> ended = fixture.drain();
    AutoCloseable paused = fixture.pauseLoop();
    // past the time for which the proxy accepts connections
    long until = System.nanoTime() + 1_000_000_000L;
    List<Socket> waiting = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      Socket socket = fixture.connectClient();
      waiting.add(socket);
      write(socket, atMostOnceRequest("waits" + i));
    }
    ProxyFixture.await(() -> System.nanoTime() > until);
    paused.close();
    for (Socket socket : waiting) {
      assertThat(ProxyFixture.readMessage(socket.getInputStream())).endsWith("done");
      socket.close();
    }
    ended.get(ProxyFixture.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  // --- reloads

  /**
   * Guards against a request on a connection that is older than the new idle timeout: hosts close
   * idle connections sooner from then on, and a request written to one may have run.
   */
  @Test
  void reloadAppliesTheNewIdleTimeout() throws Exception {
    fixture.aimMillis = 2_000; // an idle connection is kept for two aims
    ProxyFixture.IdleResettingHost host = fixture.new IdleResettingHost(400);
    ProxyFixture.DiscoveryServer discovery = fixture.start(host);
    assertThat(fixture.sendRequest(atMostOnceRequest("first"))).endsWith("served");
    fixture.connectionIdleMillis = 300;
    fixture.writeConfig(discovery.address(), discovery.endpointList());
    fixture.reload();
    ProxyFixture.await(
        () -> fixture.upstreamConnections() == 0); // long before four seconds are over
    assertThat(fixture.sendRequest(atMostOnceRequest("second"))).endsWith("served");
    assertThat(host.acceptedSockets).hasSize(2);
  }

  /**
   * Guards against a watch that stays with the previous address because its connect is still
   * pending.
   */
  @Test
  void reloadMovesAWatchThatIsConnecting() throws Exception {
    ProxyFixture.UpstreamHost old = fixture.new UpstreamHost(h -> ok("old"));
    ProxyFixture.UpstreamHost next = fixture.new UpstreamHost(h -> ok("next"));
    ProxyFixture.DelayedAcceptHost hangs = fixture.new DelayedAcceptHost(h -> null);
    fixture.startProxy(
        fixture.writeConfig(hangs.address(), fixture.new DiscoveryServer(40, old).endpointList()),
        ProxyFixture.discardingLog());
    ProxyFixture.DiscoveryServer other = fixture.new DiscoveryServer(3, next);
    fixture.writeConfig(other.address(), "{}");
    fixture.reload();
    ProxyFixture.await(() -> other.requestedPaths.contains("/catalog/members?follow=1&since=3"));
    hangs.startAccepting();
    assertThat(fixture.sendRequest(atMostOnceRequest("a"))).endsWith("next");
    assertThat(hangs.requests).isEmpty();
  }

  // --- housekeeping and a late event loop

  /**
   * Guards against closing a client that has written its request and looks silent only because the
   * loop has not read it.
   */
  @Test
  void clientIsNotClosedForAStallOfTheLoop() throws Exception {
    fixture.start(fixture.new UpstreamHost(h -> ok("done")));
    List<Socket> fill = new ArrayList<>();
    while (fixture.callOnLoop(() -> fixture.proxy.socketBudget().hasRoomForClient())) {
      Socket socket = fixture.connectClient();
      fill.add(socket);
      write(socket, "POST /cl"); // an incomplete request, which is not closed to make room yet
      ProxyFixture.await(() -> fixture.clientConnections() == fill.size());
    }
    fill.remove(0).close();
    fill.remove(0).close();
    ProxyFixture.await(() -> fixture.clientConnections() == fill.size());
    Socket speaks = fixture.connectClient();
    ProxyFixture.await(() -> fixture.clientConnections() == fill.size() + 1);
    AutoCloseable paused = fixture.pauseLoop();
    // twice the time for which a client may be silent when clients are many
    long until = System.nanoTime() + 100_000_000L;
    ProxyFixture.await(() -> System.nanoTime() > until);
    // accepted before the request is read, and one connection too many
    fill.add(fixture.connectClient());
    write(speaks, atMostOnceRequest("speaks"));
    paused.close();
    assertThat(ProxyFixture.readMessage(speaks.getInputStream())).endsWith("done");
    speaks.close();
    for (Socket socket : fill) {
      socket.close();
    }
  }

  /**
   * Guards against a request on an expired idle connection: the host may close the connection at
   * any moment, and a request written to it may have run.
   */
  @Test
  void expiredIdleConnectionIsNotReusedBeforeHousekeeping() throws Exception {
    fixture.connectionIdleMillis = 1_000;
    ProxyFixture.IdleResettingHost host = fixture.new IdleResettingHost(900);
    fixture.start(host);
    assertThat(fixture.sendRequest(atMostOnceRequest("first"))).endsWith("served");
    try (Socket socket = fixture.connectClient()) {
      ProxyFixture.await(() -> fixture.clientConnections() == 1);
      AutoCloseable paused = fixture.pauseLoop();
      long until = System.nanoTime() + 1_100_000_000L;
      ProxyFixture.await(() -> System.nanoTime() > until);
      write(socket, atMostOnceRequest("second"));
      paused.close();
      assertThat(ProxyFixture.readMessage(socket.getInputStream())).endsWith("served");
    }
  }

  // --- expired deadlines

  @Test
  void requestPastItsDeadlineIsNotSentAfterTheConnect() throws Exception {
    fixture.deadlineMillis = 700;
    ProxyFixture.DelayedAcceptHost host = fixture.new DelayedAcceptHost(h -> ok("late"));
    fixture.start(host);
    try (Socket socket = fixture.connectClient()) {
      write(socket, atMostOnceRequest("over"));
      ProxyFixture.await(() -> fixture.upstreamConnections() == 1);
      AutoCloseable paused = fixture.pauseLoop();
      host.startAccepting();
      ProxyFixture.await(
          () ->
              host.proxyConnections()
                  == 1); // after the deadline: the kernel retries the connect after a second
      paused.close();
      assertThat(ProxyFixture.readMessage(socket.getInputStream())).contains(" 503 ");
    }
    ProxyFixture.await(() -> fixture.openRequests() == 0);
    assertThat(host.requests).isEmpty();
  }

  /**
   * Guards against sending requests that have been unread for longer than their clients wait: one
   * on an idle connection, and others on new connections in the backlog.
   */
  @Test
  void requestThatExpiredUnreadIsRejectedAtOnce() throws Exception {
    fixture.deadlineMillis = 400;
    ProxyFixture.UpstreamHost host = fixture.new UpstreamHost(h -> ok("done"));
    fixture.start(host);
    List<Socket> clients = new ArrayList<>();
    clients.add(fixture.connectClient());
    write(clients.get(0), atMostOnceRequest("warm"));
    assertThat(ProxyFixture.readMessage(clients.get(0).getInputStream())).endsWith("done");
    AutoCloseable paused = fixture.pauseLoop();
    for (int i = 0; i < 12; i++) { // more than are accepted in one turn
      Socket socket = i == 0 ? clients.get(0) : fixture.connectClient();
      write(socket, atMostOnceRequest("unread" + i));
      clients.add(socket);
    }
    long until = System.nanoTime() + 800_000_000L;
    ProxyFixture.await(() -> System.nanoTime() > until);
    paused.close();
    for (Socket socket : clients.subList(1, clients.size())) {
      assertThat(ProxyFixture.readMessage(socket.getInputStream())).contains(" 503 ");
      socket.close();
    }
    assertThat(host.requests).hasSize(1);
    assertThat(fixture.sendRequest(atMostOnceRequest("next")))
        .endsWith("done"); // later requests are not affected
  }

  /**
   * Guards against a deadline that starts at the read: 1.5 s of the 3 s have passed unread, and the
   * full timeout from there would end more than half a second too late.
   */
  @Test
  void requestReadLateKeepsItsDeadline() throws Exception {
    fixture.deadlineMillis = 3_000;
    ProxyFixture.UpstreamHost hangs = fixture.new UpstreamHost(h -> null);
    fixture.start(hangs);
    try (Socket socket = fixture.connectClient()) {
      ProxyFixture.await(() -> fixture.clientConnections() == 1);
      AutoCloseable paused = fixture.pauseLoop();
      write(socket, atMostOnceRequest("late"));
      long at = System.nanoTime();
      ProxyFixture.await(() -> System.nanoTime() > at + 1_500_000_000L);
      paused.close();
      assertThat(ProxyFixture.readMessage(socket.getInputStream())).contains(" 504 ");
      assertThat(System.nanoTime() - at).isBetween(1_500_000_000L, 4_000_000_000L);
      assertThat(hangs.requests).hasSize(1);
    }
  }

  /**
   * Guards against a deadline that starts with the connection, which is older than the timeout and
   * has carried nothing before.
   */
  @Test
  void requestOnAnIdleConnectionHasItsFullTimeout() throws Exception {
    fixture.deadlineMillis = 400;
    fixture.start(fixture.new UpstreamHost(h -> ok("done")));
    try (Socket socket = fixture.connectClient()) {
      ProxyFixture.await(() -> fixture.clientConnections() == 1);
      long until = System.nanoTime() + 600_000_000L;
      ProxyFixture.await(() -> System.nanoTime() > until);
      write(socket, atMostOnceRequest("rested"));
      assertThat(ProxyFixture.readMessage(socket.getInputStream())).endsWith("done");
    }
  }

  /**
   * Guards against a deadline that starts before the last byte of a slow request: only the time for
   * which the loop left data unread is subtracted.
   */
  @Test
  void timeoutOfASlowRequestStartsAtItsLastByte() throws Exception {
    fixture.deadlineMillis = 400;
    fixture.start(fixture.new UpstreamHost(h -> ok("done")));
    try (Socket socket = fixture.connectClient()) {
      String request = atMostOnceRequest("slow", "Content-Length: 4");
      write(socket, request.substring(0, 20));
      ProxyFixture.await(() -> fixture.clientConnections() == 1);
      for (String piece : List.of(request.substring(20) + "ab", "cd")) {
        long until = System.nanoTime() + 500_000_000L;
        ProxyFixture.await(() -> System.nanoTime() > until);
        write(socket, piece);
      }
      assertThat(ProxyFixture.readMessage(socket.getInputStream())).endsWith("done");
    }
  }
}
