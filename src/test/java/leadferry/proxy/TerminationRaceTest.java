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
 * Endings while something is still owed, each order of events forced by the peers:
 * docs/design/endings.md.
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

  // --- while a connection to a host comes up

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
    ProxyFixture.await(
        () -> fixture.openRequests() == 0); // long before its time, and its connection's
    ProxyFixture.await(() -> fixture.upstreamConnections() == 0);
    host.startAccepting();
    assertThat(fixture.sendRequest(atMostOnceRequest("next"))).endsWith("late");
    assertThat(host.requests).hasSize(1).first().asString().contains("next");
  }

  /** Who sends ahead of an answer is read no further as a client, but its going has to be seen. */
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
   * The connection has come up first, and both stand unread: what is read first must not decide.
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
   * All of it stands in the kernel when the loop comes to it: a request, more than is read at once,
   * and the end.
   */
  @ParameterizedTest
  @ValueSource(ints = {0, 300})
  void requestOfAClientThatLeftBeforeTheReadIsNotSent(int requestsAhead) throws Exception {
    ProxyFixture.UpstreamHost host = fixture.new UpstreamHost(h -> ok("done"));
    fixture.start(host);
    assertThat(fixture.sendRequest(atMostOnceRequest("first"))).endsWith("done");
    Thread.sleep(20); // its connection has rested, and carries the next one at once
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
   * What the users count: of clients that leave while their requests wait, whose is sent on 0.3 s
   * later.
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
    int cases = 0;
    int late = 0;
    while (cases < 500) {
      List<Socket> leavers = new ArrayList<>();
      for (int i = 0; i < 50; i++) {
        Socket socket = fixture.connectClient();
        leavers.add(socket);
        write(socket, atMostOnceRequest("leaver" + cases + "-" + i));
      }
      ProxyFixture.await(() -> fixture.upstreamConnections() == leavers.size());
      cases += leavers.size();
      for (int i = 0; i < leavers.size(); i++) {
        Socket socket = leavers.get(i);
        switch (i % 3) {
          case 0 -> socket.setSoLinger(true, 0);
          case 1 -> write(socket, atMostOnceRequest("ahead"));
          default -> {}
        }
        socket.close();
      }
      long left = System.nanoTime();
      ProxyFixture.await(() -> fixture.openRequests() == 0);
      late += System.nanoTime() - left > 300_000_000L ? leavers.size() : 0;
    }
    host.startAccepting();
    assertThat(fixture.sendRequest(atMostOnceRequest("next"))).endsWith("late");
    long sent = host.requests.stream().filter(h -> h.contains("leaver")).count();
    System.out.println(
        "leavers: " + cases + ", sent on: " + sent + ", waiting still after 0.3 s: " + late);
    assertThat(sent).isZero();
    assertThat(fixture.upstreamConnections()).isEqualTo(1); // that of the one that has stayed
    ProxyFixture.await(() -> fixture.clientConnections() == 0);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void waitingParallelAttemptIsNotSentAfterTheOtherResponse(boolean cancel) throws Exception {
    fixture.allowsCancel = cancel;
    CountDownLatch both = new CountDownLatch(1);
    ProxyFixture.UpstreamHost quick =
        fixture
        .new UpstreamHost(
            h -> {
              try {
                both.await();
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
      both.countDown();
      assertThat(ProxyFixture.readMessage(socket.getInputStream())).endsWith("quick");
      ProxyFixture.await(() -> fixture.openRequests() == 0);
      ProxyFixture.await(() -> fixture.upstreamConnections() == 1);
      late.startAccepting();
      ProxyFixture.await(() -> late.acceptedSockets.size() > 0);
      assertThat(late.requests).isEmpty();
    }
  }

  /**
   * More than is held, so that the rest stands in the kernel, unread, with its client's end behind
   * it.
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
   * All of it has come, so its client's time runs, and what its host is told must not be more than
   * is left.
   */
  @Test
  void timeoutSentForAWaitingLargeBodyIsTheTimeLeft() throws Exception {
    fixture.hotRestart = HotRestart.join(folder.toString());
    ProxyFixture.DelayedAcceptHost host = fixture.new DelayedAcceptHost(h -> ok("late"));
    fixture.start(host);
    int most = 1 << 20; // past this it is not held
    try (HotRestart beside = HotRestart.join(folder.toString());
        Socket socket = fixture.connectClient()) {
      write(
          socket,
          atMostOnceRequest("long", "Content-Length: " + (most + 2_000))
              + "x".repeat(most - 1_000));
      ProxyFixture.await(() -> beside.readOtherProcesses().bodyBytes() == most - 1_000);
      write(socket, "x".repeat(3_000)); // in one read, with the last byte
      ProxyFixture.await(() -> fixture.openRequests() == 1);
      long whole = System.nanoTime();
      ProxyFixture.await(() -> System.nanoTime() - whole > 200_000_000L);
      long waited = (System.nanoTime() - whole) / 1_000_000;
      host.startAccepting();
      assertThat(ProxyFixture.readMessage(socket.getInputStream())).endsWith("late");
      assertThat(Long.parseLong(ProxyFixture.headerValue(host.requests.get(0), "X-Timeout-Ms")))
          .isBetween(1L, fixture.deadlineMillis - waited);
    }
  }

  /** Requests of which the host has got a body so long, to its last byte. */
  private static long completeRequests(ProxyFixture.UpstreamHost host, int size) {
    return host.requests.stream()
        .filter(h -> h.length() - h.indexOf("\r\n\r\n") - 4 == size)
        .count();
  }

  /**
   * Its host waits for a rest that never comes: nobody else ends that where the deployment allows
   * no cancel.
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

  /** Either may be the first: what counts is when the other's first byte went out. */
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
      assertThat(fixture.openRequests()).isEqualTo(1); // the one that hangs may answer still
    }
  }

  /** A discovery that tells its list, and what else it is given to tell. */
  private final class ScriptedDiscovery extends ProxyFixture.Server {
    private final String list;
    private final BlockingQueue<String> updates = new LinkedBlockingQueue<>();

    ScriptedDiscovery(String list) throws IOException {
      fixture.super();
      this.list = list;
    }

    @Override
    void serve(Socket s) throws IOException, InterruptedException {
      ProxyFixture.readMessage(s.getInputStream());
      write(s, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(list));
      while (true) {
        String line = updates.poll(500, TimeUnit.MILLISECONDS);
        write(s, chunk(line == null ? "" : line));
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
   * What waits for the host as it was has not gone out, so it must not go out to what it has
   * become, or after its grace.
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
                            "behind"))); // and so the change before it has been taken
        host.startAccepting(); // for a connection of its own: the one before was withdrawn
        assertThat(ProxyFixture.readMessage(socket.getInputStream())).endsWith("late");
        assertThat(host.requests).hasSize(1);
        ProxyFixture.await(() -> host.proxyConnections() == 1);
      } else {
        assertThat(ProxyFixture.readMessage(socket.getInputStream()))
            .contains(" 503 "); // refused: it never ran
        assertThat(host.requests).isEmpty();
        ProxyFixture.await(() -> fixture.upstreamConnections() == 0);
        host.startAccepting();
        assertThat(host.requests).isEmpty();
      }
    }
  }

  /** Its reading waits for memory, so its end stands unread behind the rest of its body. */
  @Test
  void bodyWaitingForMemoryIsNotSentAfterItsClientLeft() throws Exception {
    fixture.close();
    fixture = new ProxyFixture(folder, 512);
    fixture.memoryMegabytes = 96; // 8 MB of bodies
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
        () -> hangs.requests.size() == holders.size()); // 4.6 MB, until their time is over
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
      write(
          socket,
          "x".repeat(100)); // those that had room have been taken, the others stand in the kernel
    }
    int taken = 0;
    for (long since = System.nanoTime();
        System.nanoTime() - since < 300_000_000L;
        Thread.sleep(1)) {
      since = taken == hangs.requests.size() ? since : System.nanoTime();
      taken = hangs.requests.size(); // until no more come
    }
    // Those that wait leave first: whoever was taken gives back its memory as it leaves, and one
    // that waits still would be taken.
    for (int i = leavers.size() - 1; i >= 0; i--) {
      leavers.get(i).close();
    }
    for (Socket socket : holders) {
      assertThat(ProxyFixture.readMessage(socket.getInputStream())).contains(" 504 ");
      socket.close();
    }
    ProxyFixture.await(() -> fixture.clientConnections() == 0 && fixture.openRequests() == 0);
    System.out.println("waited for memory and left: " + (holders.size() + leavers.size() - taken));
    assertThat(taken).isLessThan(holders.size() + leavers.size());
    assertThat(hangs.requests).hasSize(taken);
  }

  /**
   * A copy was judged by the cell in which both hosts stood; another cell knows nothing of what the
   * first one has run.
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
      assertThat(fixture.openRequests()).isEqualTo(1); // the one that hangs may answer still
    }
  }

  /**
   * It goes on to the new one, and is not withdrawn from there because that has changed as well.
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

  // --- a host's connection at the wrong instant

  /**
   * The request is read first, and the host's end of the pooled connection stands in the kernel
   * behind it.
   */
  @Test
  void unreadCloseOfAPooledConnectionIsDetectedBeforeTheWrite() throws Exception {
    ProxyFixture.UpstreamHost host = fixture.new UpstreamHost(h -> ok("done"));
    fixture.start(host);
    assertThat(fixture.sendRequest(atMostOnceRequest("warm"))).endsWith("done");
    try (Socket socket = fixture.connectClient()) {
      ProxyFixture.await(() -> fixture.clientConnections() == 1);
      Thread.sleep(10); // its rest is over
      AutoCloseable paused = fixture.pauseLoop();
      write(socket, atMostOnceRequest("crosses"));
      host.acceptedSockets.get(0).shutdownOutput();
      paused.close();
      assertThat(ProxyFixture.readMessage(socket.getInputStream())).endsWith("done");
      assertThat(host.acceptedConnections()).isEqualTo(2);
    }
  }

  /**
   * Later than a connection rests at first; seen once on one that carried nothing, it is not taken
   * for another's answer.
   */
  @Test
  void lateDuplicateResponseIsNotMatchedToTheNextRequest() throws Exception {
    ProxyFixture.UpstreamHost host =
        fixture.new UpstreamHost(h -> null) {
          @Override
          void serve(Socket s) throws IOException, InterruptedException {
            String head;
            while ((head = ProxyFixture.readMessage(s.getInputStream())) != null) {
              String id = ProxyFixture.headerValue(head, "X-Request-ID");
              Thread.sleep(id.equals("third") ? 100 : 0); // what is late comes before it
              write(s, ok(id));
              Thread.sleep(25);
              write(s, ok(id));
            }
          }
        };
    fixture.start(host);
    assertThat(fixture.sendRequest(atMostOnceRequest("first"))).endsWith("first");
    ProxyFixture.await(
        () -> fixture.upstreamConnections() == 0); // it came where nothing was carried
    try (Socket socket = fixture.connectClient()) {
      ProxyFixture.await(() -> fixture.clientConnections() == 1);
      write(socket, atMostOnceRequest("second"));
      assertThat(ProxyFixture.readMessage(socket.getInputStream())).endsWith("second");
      Thread.sleep(
          10); // longer than a connection rests at first, and not yet as late as what is late
      write(socket, atMostOnceRequest("third"));
      assertThat(ProxyFixture.readMessage(socket.getInputStream())).endsWith("third");
    }
  }

  /**
   * What stands behind a fault, or is made up when a connection ends in an answer, came with no
   * rest and tells of none.
   */
  @ParameterizedTest
  @CsvSource({"reset", "unframed", "interim"})
  void faultOnABusyConnectionDoesNotExtendTheReuseDelay(String fault) throws Exception {
    fixture.aimMillis = ProxyFixture.TIMEOUT_MILLIS; // two aims of idle time
    ProxyFixture.UpstreamHost host =
        fixture.new UpstreamHost(h -> null) {
          @Override
          void serve(Socket s) throws IOException, InterruptedException {
            String head;
            while ((head = ProxyFixture.readMessage(s.getInputStream())) != null) {
              String id = ProxyFixture.headerValue(head, "X-Request-ID");
              switch (id) {
                case "reset" -> {
                  write(s, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf of it");
                  ProxyFixture.await(
                      () -> fixture.callOnLoop(() -> true)); // a turn of the loop has passed
                  s.setSoLinger(true, 0);
                  s.close();
                  return;
                }
                case "unframed" -> write(s, "HTTP/1.1 200 OK\r\n\r\nits end can't be told");
                case "interim" -> write(s, "HTTP/1.1 101 Switching Protocols\r\n\r\n");
                default -> write(s, ok(id));
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
        Thread.sleep(
            20); // the next one is on the same connection, which has stood idle for as long
      }
      assertThat(host.acceptedConnections()).isEqualTo(1);
      for (int i = 0; i < 10; i++) {
        write(socket, atMostOnceRequest("after" + i));
        assertThat(ProxyFixture.readMessage(socket.getInputStream())).endsWith("after" + i);
        Thread.sleep(
            20); // longer than a connection rests, and shorter than it would after a late answer
      }
    }
    assertThat(host.acceptedConnections()).isEqualTo(2);
  }

  /** Whichever is taken first, there is one answer, and the next request has its own. */
  @Test
  void responseAndDeadlineInOneLoopTurnGiveOneResponse() throws Exception {
    fixture.deadlineMillis = 400;
    CountDownLatch answers = new CountDownLatch(1);
    CountDownLatch answered = new CountDownLatch(1);
    ProxyFixture.UpstreamHost host =
        fixture
        .new UpstreamHost(
            h -> {
              if (h.contains("both")) {
                try {
                  answers.await();
                } catch (InterruptedException e) {
                  Thread.currentThread().interrupt();
                }
              }
              return ok(h.contains("both") ? "both" : "next");
            }) {
          @Override
          void serve(Socket s) throws IOException, InterruptedException {
            super.serve(s);
            answered.countDown();
          }
        };
    fixture.start(host);
    try (Socket socket = fixture.connectClient()) {
      write(socket, atMostOnceRequest("both"));
      ProxyFixture.await(() -> host.requests.size() == 1);
      AutoCloseable paused = fixture.pauseLoop();
      answers.countDown();
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
   * It has begun to go to its client, since it may be a long one, and then nothing comes: the
   * client is owed an end.
   */
  @Test
  void endlessChunkedResponseIsTruncatedAtItsDeadline() throws Exception {
    fixture.deadlineMillis = 600;
    String head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nmore\r\n";
    ProxyFixture.UpstreamHost host =
        fixture.new UpstreamHost(h -> head) {
          @Override
          void serve(Socket s) throws IOException, InterruptedException {
            ProxyFixture.readMessage(s.getInputStream());
            write(s, head);
            Thread.sleep(150); // past which an answer that still comes is passed on
            write(s, "4\r\nmore\r\n");
            ProxyFixture.readMessage(s.getInputStream());
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
          System.nanoTime()
              + 1_000_000_000L; // past the time at which nobody may stay who carries nothing
      ProxyFixture.await(() -> System.nanoTime() > until);
      write(socket, "cd");
      assertThat(ProxyFixture.readMessage(socket.getInputStream())).endsWith("done");
    }
    ended.get(ProxyFixture.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  /**
   * SIGKILL comes 3.7 s after SIGTERM at the latest that is promised, however long a class may
   * take.
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

  /** One that is open may be written to at any instant, so none is at the end. */
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
   * It may have written a request that nobody has read: the protocol has it sent once more, on a
   * new connection.
   */
  @Test
  void clientOfTheLastClosedConnectionMayReconnect() throws Exception {
    String answer = null;
    long stood;
    do {
      fixture.close();
      fixture = new ProxyFixture(folder, 128);
      fixture.start(fixture.new UpstreamHost(h -> ok("done")));
      CompletableFuture<Void> ended = fixture.drain();
      try (Socket rests = fixture.connectClient();
          PauseDetector stalls = new PauseDetector()) {
        assertThat(ProxyFixture.isClosedByPeer(rests)).isTrue();
        try {
          answer = fixture.sendRequest(atMostOnceRequest("once more"));
        } catch (java.net.ConnectException e) {
          answer = "refused";
        }
        stood = stalls.longestMillis();
      }
      ended.get(ProxyFixture.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
      assertThat(fixture.clientConnections()).isZero();
    } while (answer.equals("refused")
        && stood > 20); // this process stood still, and the client was late by as much
    assertThat(answer).endsWith("done");
  }

  /** How long this process has stood still. */
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
   * More of them than are accepted in one turn; a new process comes late to what waits in the
   * kernel, or one without a core.
   */
  @Test
  void backlogIsServedWhenTheDrainEnds() throws Exception {
    fixture.start(fixture.new UpstreamHost(h -> ok("done")));
    assertThat(fixture.sendRequest(atMostOnceRequest("warm"))).endsWith("done");
    CompletableFuture<Void> ended = fixture.drain();
    AutoCloseable paused = fixture.pauseLoop();
    long until = System.nanoTime() + 1_000_000_000L; // past the time in which it accepts
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

  // --- a new configuration

  /**
   * Hosts end idle connections sooner from then on, and a request that is written to one may have
   * run.
   */
  @Test
  void reloadAppliesTheNewIdleTimeout() throws Exception {
    fixture.aimMillis = 2_000; // two aims of idle time
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

  /** The connect that hangs belongs to the address before. */
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

  // --- upkeep, and a loop that is late

  /** It has written its request, and looks as silent as before only as long as nobody reads. */
  @Test
  void clientIsNotClosedForAStallOfTheLoop() throws Exception {
    fixture.start(fixture.new UpstreamHost(h -> ok("done")));
    List<Socket> fill = new ArrayList<>();
    while (fixture.callOnLoop(() -> fixture.proxy.socketBudget().hasRoomForClient())) {
      Socket socket = fixture.connectClient();
      fill.add(socket);
      write(socket, "POST /cl"); // begun, and so none that makes room yet
      ProxyFixture.await(() -> fixture.clientConnections() == fill.size());
    }
    fill.remove(0).close();
    fill.remove(0).close();
    ProxyFixture.await(() -> fixture.clientConnections() == fill.size());
    Socket speaks = fixture.connectClient();
    ProxyFixture.await(() -> fixture.clientConnections() == fill.size() + 1);
    AutoCloseable paused = fixture.pauseLoop();
    long until =
        System.nanoTime() + 100_000_000L; // twice what a client may be silent for in a crowd
    ProxyFixture.await(() -> System.nanoTime() > until);
    fill.add(fixture.connectClient()); // ready ahead of it, and one too many
    write(speaks, atMostOnceRequest("speaks"));
    paused.close();
    assertThat(ProxyFixture.readMessage(speaks.getInputStream())).endsWith("done");
    speaks.close();
    for (Socket socket : fill) {
      socket.close();
    }
  }

  /**
   * The host may end it at any instant from then on, and what is written to it then may have run.
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

  // --- a time that is over

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
                  == 1); // later than its time: the kernel tries again after a second
      paused.close();
      assertThat(ProxyFixture.readMessage(socket.getInputStream())).contains(" 503 ");
    }
    ProxyFixture.await(() -> fixture.openRequests() == 0);
    assertThat(host.requests).isEmpty();
  }

  /**
   * It stood in the kernel for longer than its client waits: on a connection that rested, and on
   * new ones in the backlog.
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
        .endsWith("done"); // no more is held against what comes later
  }

  /**
   * Of its time a second and a half went by unread; all of it once more would end half a second too
   * late and more.
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

  /** Its connection is older than its time, and nothing came on it before. */
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
   * What comes slowly has its time from its last byte on: only what the loop left unread is taken
   * off.
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
