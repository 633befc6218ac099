package leadferry.proxy;

import static leadferry.proxy.ProxyFixture.atMostOnceRequest;
import static leadferry.proxy.ProxyFixture.ok;
import static leadferry.proxy.ProxyFixture.write;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import leadferry.engine.Signals;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The client proxy between sockets that misbehave. */
class ProxyTest {
  private static final String FOUR_HUNDREDS = "HTTP/1.1 4";

  @TempDir Path folder;
  private ProxyFixture fixture;

  @BeforeEach
  void open() {
    fixture = new ProxyFixture(folder, 128);
  }

  @AfterEach
  void close() throws Exception {
    fixture.close();
  }

  // --- new configurations

  @Test
  void reloadMovesTheWatchToADiscoveryWithLowerVersions() throws Exception {
    ProxyFixture.UpstreamHost old = fixture.new UpstreamHost(h -> ok("old"));
    ProxyFixture.UpstreamHost next = fixture.new UpstreamHost(h -> ok("next"));
    fixture.start(old);
    assertThat(fixture.sendRequest(atMostOnceRequest("a"))).endsWith("old");
    ProxyFixture.DiscoveryServer other =
        fixture.new DiscoveryServer(3, next); // its versions are lower
    fixture.writeConfig(other.address(), "{}");
    fixture.reload();
    ProxyFixture.await(() -> other.requestedPaths.contains("/catalog/members?follow=1&since=3"));
    assertThat(fixture.sendRequest(atMostOnceRequest("b"))).endsWith("next");
  }

  @Test
  void reloadRetriesAHalfWrittenFile() throws Exception {
    ProxyFixture.UpstreamHost host = fixture.new UpstreamHost(h -> ok("old"));
    ProxyFixture.UpstreamHost next = fixture.new UpstreamHost(h -> ok("next"));
    fixture.start(host);
    ProxyFixture.DiscoveryServer other = fixture.new DiscoveryServer(3, next);
    Path file = fixture.writeConfig(other.address(), "{}");
    String whole = Files.readString(file);
    Files.writeString(file, whole.substring(0, whole.length() / 2));
    fixture.reload();
    assertThat(fixture.sendRequest(atMostOnceRequest("a"))).endsWith("old");
    Files.writeString(file, whole);
    ProxyFixture.await(() -> other.requestedPaths.contains("/catalog/members?follow=1&since=3"));
    assertThat(fixture.sendRequest(atMostOnceRequest("b"))).endsWith("next");
  }

  // --- connections to hosts

  /**
   * Hosts take few connections, and many proxies hold one to each: what is not used goes back after
   * two aims.
   */
  @Test
  void idleUpstreamConnectionIsClosedBeforeTheHostWouldCloseIt() throws Exception {
    AtomicInteger ended = new AtomicInteger();
    ProxyFixture.UpstreamHost host =
        fixture.new UpstreamHost(h -> ok("done")) {
          @Override
          void serve(Socket s) throws IOException, InterruptedException {
            super.serve(s);
            ended.incrementAndGet();
          }
        };
    fixture.start(host);
    assertThat(fixture.sendRequest(atMostOnceRequest("a"))).endsWith("done");
    ProxyFixture.await(() -> ended.get() == 1); // the configuration lets it stand idle for a minute
    assertThat(fixture.sendRequest(atMostOnceRequest("b"))).endsWith("done");
    assertThat(host.acceptedConnections()).isEqualTo(2);
  }

  // --- clients that have given up

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void requestOfADisconnectedClientIsNotSentByALateLoop(boolean onAnOldConnection)
      throws Exception {
    ProxyFixture.UpstreamHost host = fixture.new UpstreamHost(h -> ok("done"));
    fixture.start(host);
    assertThat(fixture.sendRequest(atMostOnceRequest("warm")))
        .endsWith("done"); // its connection to the host stands ready
    Socket gone = fixture.connectClient();
    try (Socket stays = fixture.connectClient()) {
      if (onAnOldConnection) {
        write(gone, atMostOnceRequest("first"));
        assertThat(ProxyFixture.readMessage(gone.getInputStream())).endsWith("done");
      }
      int before = fixture.receivedRequests();
      Thread.sleep(50); // the rest of a connection to a host is over
      CountDownLatch held = new CountDownLatch(1);
      CountDownLatch release = new CountDownLatch(1);
      fixture
          .proxy
          .loop()
          .submit(
              () -> {
                held.countDown();
                return release.await(ProxyFixture.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
              });
      assertThat(held.await(ProxyFixture.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
      write(gone, atMostOnceRequest("gone"));
      gone.close();
      write(stays, atMostOnceRequest("stays"));
      release.countDown();
      assertThat(ProxyFixture.readMessage(stays.getInputStream())).endsWith("done");
      assertThat(fixture.receivedRequests() - before).isEqualTo(1);
    }
  }

  @Test
  void hangupHandlerRuns() throws Exception {
    CountDownLatch told = new CountDownLatch(1);
    assertThat(Signals.onHangup(told::countDown)).isTrue();
    new ProcessBuilder("kill", "-HUP", Long.toString(ProcessHandle.current().pid()))
        .start()
        .waitFor();
    assertThat(told.await(ProxyFixture.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
  }

  /** As {@code nohup} starts a process: the JVM takes the handler and never calls it. */
  @ParameterizedTest
  @ValueSource(strings = {"", "trap '' HUP; "})
  void ignoredHangupIsDetected(String before) throws Exception {
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    Process process =
        new ProcessBuilder(
                "/bin/sh",
                "-c",
                before + "exec \"$0\" -cp \"$1\" leadferry.proxy.HangupProbe",
                java,
                System.getProperty("java.class.path"))
            .redirectErrorStream(true)
            .start();
    assertThat(new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8))
        .contains("taken " + before.isEmpty());
  }

  @Test
  void watchedConfigurationFileIsReloadedWithoutASignal() throws Exception {
    fixture.start(fixture.new UpstreamHost(h -> ProxyFixture.ok("before")));
    ProxyFixture.UpstreamHost other = fixture.new UpstreamHost(h -> ProxyFixture.ok("after"));
    ProxyFixture.DiscoveryServer there = fixture.new DiscoveryServer(50, other);
    Path file = fixture.writeConfig("127.0.0.1:1", "null");
    fixture.proxy.watch(file.toString());
    fixture.writeConfig(there.address(), there.endpointList());
    ProxyFixture.await(
        () -> {
          try {
            String answer = fixture.sendRequest(atMostOnceRequest("now"));
            return answer != null && answer.endsWith("after");
          } catch (IOException e) {
            return false;
          }
        });
  }

  // --- what hosts tell

  /** Reports come late and count requests of ours that are gone: they must not refuse new ones. */
  @Test
  void loadReportsOfAFinishedBurstRejectNoRequest() throws Exception {
    int burst = 20;
    CountDownLatch go = new CountDownLatch(1);
    ProxyFixture.UpstreamHost host =
        fixture
        .new UpstreamHost(
            h -> {
              await(go);
              return ProxyFixture.ok("served", "X-Server-Load: inflight=" + burst / 2);
            });
    fixture.start(host);
    List<Socket> clients = new ArrayList<>();
    for (int i = 0; i < burst; i++) {
      Socket socket = fixture.connectClient();
      write(socket, atMostOnceRequest("burst" + i));
      clients.add(socket);
    }
    ProxyFixture.await(() -> host.requests.size() == burst);
    Thread.sleep(500); // longer than the aim of 400 ms
    go.countDown();
    for (Socket socket : clients) {
      assertThat(ProxyFixture.readMessage(socket.getInputStream())).endsWith("served");
    }
    for (int i = 0; i < 5; i++) {
      assertThat(fixture.sendRequest(atMostOnceRequest("after" + i))).endsWith("served");
    }
  }

  /**
   * Clients give up before any time-out: a host that says nothing must be found out all the same.
   */
  @Test
  void silentHostIsDetectedWhenClientsGiveUpBeforeTheTimeout() throws Exception {
    ProxyFixture.UpstreamHost silent = fixture.new UpstreamHost(h -> null);
    ProxyFixture.UpstreamHost slow =
        fixture
        .new UpstreamHost(
            h -> {
              sleep(150);
              return ok("served");
            });
    fixture.start(silent, slow);
    int served = 0;
    for (int i = 0; i < 60; i++) {
      try (Socket socket = fixture.connectClient()) {
        write(socket, atMostOnceRequest("a" + i));
        int sent = i + 1;
        ProxyFixture.await(() -> silent.requests.size() + slow.requests.size() == sent);
        if (slow.requests.size() > served) {
          served++;
          assertThat(ProxyFixture.readMessage(socket.getInputStream())).endsWith("served");
        } else {
          sleep(100);
        }
      }
    }
    assertThat(silent.requests.size()).isBetween(1, 20);
  }

  /** Idle connections that die sooner than the settings say, without a sign, are learned of. */
  @Test
  void idleTimeIsShortenedWhenIdleConnectionsFail() throws Exception {
    ProxyFixture.UpstreamHost host = fixture.new IdleResettingHost(150);
    fixture.start(host);
    int lost = 0;
    for (int i = 0; i < 12; i++) {
      lost += fixture.sendRequest(atMostOnceRequest("a" + i)).endsWith("served") ? 0 : 1;
      sleep(200);
    }
    assertThat(lost).isBetween(1, 3);
  }

  /**
   * Without a host nothing can be sent: the client is refused at once and told when to come back.
   */
  @Test
  void rejectionsCarryRetryAfter() throws Exception {
    fixture.start();
    assertThat(fixture.sendRequest(atMostOnceRequest("a")))
        .startsWith("HTTP/1.1 503")
        .containsIgnoringCase("retry-after: 0.100\r");
  }

  /** One failure is held against a host for a few aims, not for seconds where aims are short. */
  @Test
  void failureExpiresAfterAFewLatencyTargets() throws Exception {
    fixture.aimMillis = 40;
    AtomicInteger failed = new AtomicInteger();
    ProxyFixture.UpstreamHost sound =
        fixture
        .new UpstreamHost(
            h -> {
              sleep(12);
              return ok("served");
            });
    ProxyFixture.UpstreamHost once =
        fixture
        .new UpstreamHost(
            h ->
                failed.getAndIncrement() == 0
                    ? "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"
                    : ok("served"));
    fixture.start(sound, once);
    for (int i = 0; failed.get() == 0; i++) {
      fixture.sendRequest(atMostOnceRequest("before" + i));
    }
    sleep(600); // 15 aims
    for (int i = 0; i < 100 && failed.get() == 1; i++) {
      fixture.sendRequest(atMostOnceRequest("after" + i));
    }
    assertThat(failed.get()).isGreaterThan(1);
  }

  /** Where a slow host is full of our own requests, a fast one that was drawn too gets the next. */
  @Test
  void hostAtCapacityYieldsToAFasterOne() throws Exception {
    CountDownLatch go = new CountDownLatch(1);
    ProxyFixture.UpstreamHost[] hosts = new ProxyFixture.UpstreamHost[2];
    for (int k = 0; k < 2; k++) {
      int self = k;
      hosts[k] =
          fixture
          .new UpstreamHost(
              h -> {
                if (h.contains("learn")) {
                  awaitRequests(hosts[self], 8);
                  sleep(self == 0 ? 150 : 5); // some 20 ms, or 1, for each request held
                } else {
                  await(go);
                }
                return ok("served");
              });
      hosts[k].kind = "k" + k;
    }
    fixture.start(hosts);
    List<Socket> clients = new ArrayList<>();
    for (int i = 0; i < 56; i++) {
      Socket socket = fixture.connectClient();
      clients.add(socket);
      write(socket, atMostOnceRequest((i < 16 ? "learn" : "then") + i));
      if (i == 15) {
        for (Socket c : clients) {
          assertThat(ProxyFixture.readMessage(c.getInputStream())).endsWith("served");
        }
      }
    }
    // Equal counts up to 8 or 9 at each, where the slow one is full; the fast one takes more.
    ProxyFixture.await(() -> hosts[0].requests.size() + hosts[1].requests.size() >= 16 + 22);
    go.countDown();
  }

  private static void awaitRequests(ProxyFixture.UpstreamHost host, int n) {
    try {
      ProxyFixture.await(() -> host.requests.size() >= n);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void sleep(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await(ProxyFixture.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  // --- bad clients

  @ParameterizedTest
  @ValueSource(
      strings = {
        "Content-Length: 4|Transfer-Encoding: chunked",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: chunked|Transfer-Encoding: chunked",
        "Content-Length: 4|Content-Length: 5",
        "Content-Length: -1",
        "Content-Length: +4",
        "Content-Length: 99999999999999999999",
        "Content-Length: 62914560",
        "X-Timeout-Ms: soon",
        "X-Timeout-Ms: 1e3",
        "X-Timeout-Ms: NaN",
        "X-Timeout-Ms: -5",
        "X-Request-ID: another",
        "X-Priority-Class: log",
        "X-Note: one| two",
        "X-Note: one|\ttwo",
        "no colon",
        "Connection: Idempotency-Key",
        "Connection: close, x-request-id",
        "Connection: Host",
        "Expect: the-moon",
      })
  void ambiguousRequestIsRejectedByTheProxy(String lines) throws Exception {
    ProxyFixture.UpstreamHost host = fixture.new UpstreamHost(h -> ok("served"));
    fixture.start(host);
    String[] split = lines.split("\\|");
    assertThat(fixture.sendRequest(atMostOnceRequest("a", split))).startsWith(FOUR_HUNDREDS);
    assertThat(host.requests).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "POST /nothing/1 HTTP/1.1|X-Request-ID: a",
        "POST /claim/1 HTTP/1.1",
        "POST /claim/1 HTTP/1.1|X-Request-ID: ",
        "GET /claim/1 HTTP/1.1|X-Request-ID: a",
        "POST /log/1 HTTP/1.1|X-Request-ID: a",
        "\u0000\u0001\u0002",
      })
  void invalidRequestIsRejectedByTheProxy(String lines) throws Exception {
    ProxyFixture.UpstreamHost host = fixture.new UpstreamHost(h -> ok("served"));
    fixture.start(host);
    String request = lines.replace("|", "\r\n") + "\r\nContent-Length: 0\r\n\r\n";
    assertThat(fixture.sendRequest(request)).startsWith(FOUR_HUNDREDS);
    assertThat(host.requests).isEmpty();
  }

  @Test
  void requestIdInUseIsRejected() throws Exception {
    CountDownLatch go = new CountDownLatch(1);
    ProxyFixture.UpstreamHost host =
        fixture
        .new UpstreamHost(
            h -> {
              try {
                go.await(ProxyFixture.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
              return ok("served");
            });
    fixture.start(host);
    try (Socket first = fixture.connectClient()) {
      write(first, atMostOnceRequest("a"));
      ProxyFixture.await(() -> host.requests.size() == 1);
      assertThat(fixture.sendRequest(atMostOnceRequest("a"))).startsWith("HTTP/1.1 409");
      go.countDown();
      assertThat(ProxyFixture.readMessage(first.getInputStream())).endsWith("served");
    }
    assertThat(fixture.sendRequest(atMostOnceRequest("a"))).endsWith("served");
    assertThat(host.requests).hasSize(2);
  }

  @Test
  void pipelinedFloodIsRejectedUnsent() throws Exception {
    ProxyFixture.UpstreamHost host = fixture.new UpstreamHost(h -> ok("served"));
    fixture.start(host);
    StringBuilder flood = new StringBuilder();
    for (int i = 0; i < 300; i++) {
      flood.append(atMostOnceRequest("f" + i));
    }
    try (Socket socket = fixture.connectClient()) {
      write(socket, flood.toString());
      assertThat(ProxyFixture.readMessage(socket.getInputStream())).startsWith(FOUR_HUNDREDS);
      assertThat(ProxyFixture.isClosedByPeer(socket)).isTrue();
    }
    assertThat(host.requests).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "POST /claim/1 HTTP/1.1\r\nX-Long: ", "half a body"})
  void clientThatNeverCompletesARequestIsDisconnected(String part) throws Exception {
    fixture.start();
    String text =
        part.equals("half a body") ? atMostOnceRequest("a", "Content-Length: 10") + "five!" : part;
    try (Socket socket = fixture.connectClient()) {
      write(socket, text);
      assertThat(ProxyFixture.isClosedByPeer(socket)).isTrue();
    }
  }

  @Test
  void silentConnectionsLeaveRoomForOthers() throws Exception {
    ProxyFixture.UpstreamHost host = fixture.new UpstreamHost(h -> ok("served"));
    fixture.start(host);
    List<Socket> crowd = new ArrayList<>();
    for (int i = 0; i < 300; i++) {
      crowd.add(fixture.connectClient());
    }
    assertThat(fixture.sendRequest(atMostOnceRequest("a"))).endsWith("served");
    for (Socket socket : crowd) {
      assertThat(ProxyFixture.isClosedByPeer(socket)).isTrue();
      socket.close();
    }
    assertThat(fixture.sendRequest(atMostOnceRequest("b"))).endsWith("served");
  }

  /**
   * Whoever takes long over a head looks like those that never end it: room decides, so hosts lend
   * theirs.
   */
  @Test
  void slowRequestHeadsSurviveManyIncompleteOnes() throws Exception {
    ProxyFixture.UpstreamHost host = fixture.new UpstreamHost(h -> ok("served"));
    fixture.start(host);
    List<Socket> slow = new ArrayList<>();
    List<Socket> endless = new ArrayList<>();
    for (int i = 0; i < 60; i++) { // the half of the clients' holds 44
      Socket socket = fixture.connectClient();
      (i < 10 ? slow : endless).add(socket);
      write(socket, "POST /claim/x HTTP/1.1\r\nX-Request-ID: c" + i + "\r\n");
    }
    Thread.sleep(600); // from now on each of them may have to make room
    assertThat(fixture.sendRequest(atMostOnceRequest("usual"))).endsWith("served");
    for (Socket socket : slow) {
      write(socket, "Content-Length: 0\r\n\r\n");
      assertThat(ProxyFixture.readMessage(socket.getInputStream())).endsWith("served");
    }
    for (Socket socket : endless) {
      socket.close();
    }
  }

  // --- bad hosts

  @ParameterizedTest
  @ValueSource(
      strings = {
        "noise\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\n\r\nbody without an end",
        "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 4\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\nspace : before\r\nContent-Length: 4\r\n\r\nbody",
        "HTTP/9.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
        "HTTP/1.1 101 Switching Protocols\r\n\r\n",
      })
  void malformedResponseFailsWithoutARetry(String answer) throws Exception {
    ProxyFixture.UpstreamHost a = fixture.new UpstreamHost(h -> answer);
    ProxyFixture.UpstreamHost b = fixture.new UpstreamHost(h -> answer);
    fixture.start(a, b);
    assertThat(fixture.sendRequest(atMostOnceRequest("a"))).startsWith("HTTP/1.1 502");
    assertThat(a.requests.size() + b.requests.size()).isEqualTo(1);
  }

  @ParameterizedTest
  @ValueSource(strings = {"noise", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"})
  void surplusBytesAfterAResponseReachNoClient(String surplus) throws Exception {
    AtomicInteger n = new AtomicInteger();
    ProxyFixture.UpstreamHost host =
        fixture.new UpstreamHost(h -> ok("answer" + n.incrementAndGet()) + surplus);
    fixture.start(host);
    try (Socket socket = fixture.connectClient()) {
      for (int i = 1; i <= 5; i++) {
        write(socket, atMostOnceRequest("a" + i));
        assertThat(ProxyFixture.readMessage(socket.getInputStream())).endsWith("answer" + i);
      }
    }
  }

  /** A second copy may come in a packet of its own, a moment after the answer. */
  @Test
  void upstreamConnectionIsNotReusedAtOnce() throws Exception {
    ProxyFixture.UpstreamHost host = fixture.new UpstreamHost(h -> ok("served"));
    fixture.start(host);
    try (Socket socket = fixture.connectClient()) {
      for (int i = 0; i < 200; i++) {
        write(socket, atMostOnceRequest("a" + i));
        assertThat(ProxyFixture.readMessage(socket.getInputStream())).endsWith("served");
      }
    }
    assertThat(host.requests).hasSize(200);
    assertThat(host.immediateReuses.get()).isZero();
  }

  @Test
  void interimResponsesAndMalformedLoadReportsAreIgnored() throws Exception {
    ProxyFixture.UpstreamHost host =
        fixture
        .new UpstreamHost(
            h ->
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                    + "HTTP/1.1 200 OK\r\nX-Server-Load: inflight=1e300,eps=none\r\n"
                    + "Content-Length: 4\r\n\r\ngood");
    fixture.start(host);
    for (int i = 0; i < 5; i++) {
      assertThat(fixture.sendRequest(atMostOnceRequest("a" + i))).endsWith("good");
    }
  }

  @Test
  void clientErrorsOfAHostAreForwarded() throws Exception {
    ProxyFixture.UpstreamHost a =
        fixture.new UpstreamHost(h -> "HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n");
    fixture.start(a);
    for (int i = 0; i < 10; i++) {
      assertThat(fixture.sendRequest(atMostOnceRequest("a" + i))).startsWith("HTTP/1.1 400");
    }
    assertThat(a.requests).hasSize(10);
  }

  /** Each of them asks once and stays, as if another request were to come. */
  @Test
  void responsesCloseConnectionsWhenClientsAreMany() throws Exception {
    fixture.start(fixture.new UpstreamHost(h -> ok("served")));
    List<Socket> staying = new ArrayList<>();
    List<String> answers = new ArrayList<>();
    for (int i = 0; i < 100; i++) { // room is for 44, and for what hosts leave of as many
      Socket socket = fixture.connectClient();
      staying.add(socket);
      write(socket, atMostOnceRequest("a" + i));
      answers.add(ProxyFixture.readMessage(socket.getInputStream()));
    }
    assertThat(answers).allSatisfy(a -> assertThat(a).endsWith("served"));
    assertThat(answers.get(0)).doesNotContain("connection: close");
    assertThat(answers).filteredOn(a -> !a.contains("connection: close")).hasSizeBetween(40, 78);
    for (Socket socket : staying) {
      socket.close();
    }
  }
}
