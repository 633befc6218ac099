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

/** Tests the client proxy with clients and hosts that fail, leave or violate the protocol. */
class ProxyTest {
  private static final String CLIENT_ERROR = "HTTP/1.1 4";

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

  // --- reloads

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
   * Guards against idle connections that use up a host's limit: hosts accept few connections, and
   * many proxies hold one to each. An unused connection is closed after twice the latency target
   * ({@code aim}).
   */
  @Test
  void idleUpstreamConnectionIsClosedBeforeTheHostWouldCloseIt() throws Exception {
    AtomicInteger ended = new AtomicInteger();
    ProxyFixture.UpstreamHost host =
        fixture.new UpstreamHost(h -> ok("done")) {
          @Override
          void serve(Socket socket) throws IOException, InterruptedException {
            super.serve(socket);
            ended.incrementAndGet();
          }
        };
    fixture.start(host);
    assertThat(fixture.sendRequest(atMostOnceRequest("a"))).endsWith("done");
    ProxyFixture.await(() -> ended.get() == 1); // the configuration allows a minute of idle time
    assertThat(fixture.sendRequest(atMostOnceRequest("b"))).endsWith("done");
    assertThat(host.acceptedConnections()).isEqualTo(2);
  }

  // --- clients that leave, and signals

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void requestOfADisconnectedClientIsNotSentByALateLoop(boolean onAnOldConnection)
      throws Exception {
    ProxyFixture.UpstreamHost host = fixture.new UpstreamHost(h -> ok("done"));
    fixture.start(host);
    assertThat(fixture.sendRequest(atMostOnceRequest("warm")))
        .endsWith("done"); // its connection to the host is ready for reuse
    Socket gone = fixture.connectClient();
    try (Socket stays = fixture.connectClient()) {
      if (onAnOldConnection) {
        write(gone, atMostOnceRequest("first"));
        assertThat(ProxyFixture.readMessage(gone.getInputStream())).endsWith("done");
      }
      int before = fixture.receivedRequests();
      Thread.sleep(50); // the reuse delay of upstream connections is over
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
    CountDownLatch handled = new CountDownLatch(1);
    assertThat(Signals.onHangup(handled::countDown)).isTrue();
    new ProcessBuilder("kill", "-HUP", Long.toString(ProcessHandle.current().pid()))
        .start()
        .waitFor();
    assertThat(handled.await(ProxyFixture.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
  }

  /**
   * Guards against waiting for a SIGHUP that never arrives: in a process started by {@code nohup},
   * the JVM accepts the handler and never calls it.
   */
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
    ProxyFixture.DiscoveryServer otherDiscovery = fixture.new DiscoveryServer(50, other);
    Path file = fixture.writeConfig("127.0.0.1:1", "null");
    fixture.proxy.watch(file.toString());
    fixture.writeConfig(otherDiscovery.address(), otherDiscovery.endpointList());
    ProxyFixture.await(
        () -> {
          try {
            String response = fixture.sendRequest(atMostOnceRequest("now"));
            return response != null && response.endsWith("after");
          } catch (IOException e) {
            return false;
          }
        });
  }

  // --- load reports and failures of hosts

  /**
   * Guards against rejections because of late load reports, which still count finished requests of
   * this proxy.
   */
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
    Thread.sleep(500); // longer than the latency target of 400 ms
    go.countDown();
    for (Socket socket : clients) {
      assertThat(ProxyFixture.readMessage(socket.getInputStream())).endsWith("served");
    }
    for (int i = 0; i < 5; i++) {
      assertThat(fixture.sendRequest(atMostOnceRequest("after" + i))).endsWith("served");
    }
  }

  /**
   * Guards against a silent host that goes undetected because clients give up before every timeout.
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

  /**
   * Guards against requests lost on idle connections that die, without a sign, sooner than the
   * settings say: the proxy learns the shorter idle time.
   */
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
   * Without a host, no request can be sent: the client is rejected at once, with the time after
   * which to retry.
   */
  @Test
  void rejectionsCarryRetryAfter() throws Exception {
    fixture.start();
    assertThat(fixture.sendRequest(atMostOnceRequest("a")))
        .startsWith("HTTP/1.1 503")
        .containsIgnoringCase("retry-after: 0.100\r");
  }

  /**
   * Guards against a host that is avoided for seconds after one failure although latency targets
   * are short: a failure counts for a few targets.
   */
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
    sleep(600); // 15 latency targets
    for (int i = 0; i < 100 && failed.get() == 1; i++) {
      fixture.sendRequest(atMostOnceRequest("after" + i));
    }
    assertThat(failed.get()).isGreaterThan(1);
  }

  /**
   * Guards against requests that wait for a slow host at capacity, which is full of requests of
   * this proxy, while a fast host that was drawn, too, is free.
   */
  @Test
  void hostAtCapacityYieldsToAFasterOne() throws Exception {
    CountDownLatch responseGate = new CountDownLatch(1);
    ProxyFixture.UpstreamHost[] hosts = new ProxyFixture.UpstreamHost[2];
    for (int index = 0; index < 2; index++) {
      int hostIndex = index;
      hosts[index] =
          fixture
          .new UpstreamHost(
              h -> {
                if (h.contains("learn")) {
                  awaitRequests(hosts[hostIndex], 8);
                  sleep(hostIndex == 0 ? 150 : 5); // about 20 ms or 1 ms per request held
                } else {
                  await(responseGate);
                }
                return ok("served");
              });
      hosts[index].kind = "k" + index;
    }
    fixture.start(hosts);
    List<Socket> clients = new ArrayList<>();
    for (int i = 0; i < 56; i++) {
      Socket socket = fixture.connectClient();
      clients.add(socket);
      write(socket, atMostOnceRequest((i < 16 ? "learn" : "then") + i));
      if (i == 15) {
        for (Socket client : clients) {
          assertThat(ProxyFixture.readMessage(client.getInputStream())).endsWith("served");
        }
      }
    }
    // Both hosts get equal counts up to 8 or 9, where the slow one is full; the fast one gets more.
    ProxyFixture.await(() -> hosts[0].requests.size() + hosts[1].requests.size() >= 16 + 22);
    responseGate.countDown();
  }

  private static void awaitRequests(ProxyFixture.UpstreamHost host, int count) {
    try {
      ProxyFixture.await(() -> host.requests.size() >= count);
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

  // --- invalid or slow clients

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
    assertThat(fixture.sendRequest(atMostOnceRequest("a", split))).startsWith(CLIENT_ERROR);
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
    assertThat(fixture.sendRequest(request)).startsWith(CLIENT_ERROR);
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
      assertThat(ProxyFixture.readMessage(socket.getInputStream())).startsWith(CLIENT_ERROR);
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
    List<Socket> silent = new ArrayList<>();
    for (int i = 0; i < 300; i++) {
      silent.add(fixture.connectClient());
    }
    assertThat(fixture.sendRequest(atMostOnceRequest("a"))).endsWith("served");
    for (Socket socket : silent) {
      assertThat(ProxyFixture.isClosedByPeer(socket)).isTrue();
      socket.close();
    }
    assertThat(fixture.sendRequest(atMostOnceRequest("b"))).endsWith("served");
  }

  /**
   * Guards against closing slow clients along with those that never complete a head. The two look
   * alike, and the free room decides: clients may use the room reserved for hosts.
   */
  @Test
  void slowRequestHeadsSurviveManyIncompleteOnes() throws Exception {
    ProxyFixture.UpstreamHost host = fixture.new UpstreamHost(h -> ok("served"));
    fixture.start(host);
    List<Socket> slow = new ArrayList<>();
    List<Socket> endless = new ArrayList<>();
    for (int i = 0; i < 60; i++) { // the clients' half of the sockets holds 44
      Socket socket = fixture.connectClient();
      (i < 10 ? slow : endless).add(socket);
      write(socket, "POST /claim/x HTTP/1.1\r\nX-Request-ID: c" + i + "\r\n");
    }
    Thread.sleep(600); // from now on each of them may be closed to make room
    assertThat(fixture.sendRequest(atMostOnceRequest("usual"))).endsWith("served");
    for (Socket socket : slow) {
      write(socket, "Content-Length: 0\r\n\r\n");
      assertThat(ProxyFixture.readMessage(socket.getInputStream())).endsWith("served");
    }
    for (Socket socket : endless) {
      socket.close();
    }
  }

  // --- invalid host responses

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
  void malformedResponseFailsWithoutARetry(String response) throws Exception {
    ProxyFixture.UpstreamHost first = fixture.new UpstreamHost(h -> response);
    ProxyFixture.UpstreamHost second = fixture.new UpstreamHost(h -> response);
    fixture.start(first, second);
    assertThat(fixture.sendRequest(atMostOnceRequest("a"))).startsWith("HTTP/1.1 502");
    assertThat(first.requests.size() + second.requests.size()).isEqualTo(1);
  }

  @ParameterizedTest
  @ValueSource(strings = {"noise", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"})
  void surplusBytesAfterAResponseReachNoClient(String surplus) throws Exception {
    AtomicInteger count = new AtomicInteger();
    ProxyFixture.UpstreamHost host =
        fixture.new UpstreamHost(h -> ok("answer" + count.incrementAndGet()) + surplus);
    fixture.start(host);
    try (Socket socket = fixture.connectClient()) {
      for (int i = 1; i <= 5; i++) {
        write(socket, atMostOnceRequest("a" + i));
        assertThat(ProxyFixture.readMessage(socket.getInputStream())).endsWith("answer" + i);
      }
    }
  }

  /**
   * Guards against a duplicate response that is taken for that of the next request: it may arrive
   * in a separate packet, a moment after the first one.
   */
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
    ProxyFixture.UpstreamHost host =
        fixture.new UpstreamHost(h -> "HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n");
    fixture.start(host);
    for (int i = 0; i < 10; i++) {
      assertThat(fixture.sendRequest(atMostOnceRequest("a" + i))).startsWith("HTTP/1.1 400");
    }
    assertThat(host.requests).hasSize(10);
  }

  /** Each client sends one request and stays connected, as if another request were to follow. */
  @Test
  void responsesCloseConnectionsWhenClientsAreMany() throws Exception {
    fixture.start(fixture.new UpstreamHost(h -> ok("served")));
    List<Socket> staying = new ArrayList<>();
    List<String> responses = new ArrayList<>();
    for (int i = 0; i < 100; i++) { // there is room for 44, and for what hosts leave of as many
      Socket socket = fixture.connectClient();
      staying.add(socket);
      write(socket, atMostOnceRequest("a" + i));
      responses.add(ProxyFixture.readMessage(socket.getInputStream()));
    }
    assertThat(responses).allSatisfy(a -> assertThat(a).endsWith("served"));
    assertThat(responses.get(0)).doesNotContain("connection: close");
    assertThat(responses).filteredOn(a -> !a.contains("connection: close")).hasSizeBetween(40, 78);
    for (Socket socket : staying) {
      socket.close();
    }
  }
}
