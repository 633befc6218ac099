package leadferry.proxy;

import static leadferry.proxy.ProxyFixture.claim;
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
  private ProxyFixture world;

  @BeforeEach
  void open() {
    world = new ProxyFixture(folder, 128);
  }

  @AfterEach
  void close() throws Exception {
    world.close();
  }

  // --- new configurations

  @Test
  void aReloadMovesTheWatchToAnotherDiscoveryWhateverItsVersions() throws Exception {
    ProxyFixture.Host old = world.new Host(h -> ok("old"));
    ProxyFixture.Host next = world.new Host(h -> ok("next"));
    world.start(old);
    assertThat(world.ask(claim("a"))).endsWith("old");
    ProxyFixture.Discovery other = world.new Discovery(3, next); // its versions are lower
    world.configure(other.address(), "{}");
    world.reload();
    ProxyFixture.await(() -> other.asked.contains("/catalog/members?follow=1&since=3"));
    assertThat(world.ask(claim("b"))).endsWith("next");
  }

  @Test
  void aBadFileIsPassedOverAndAHalfWrittenOneReadAgain() throws Exception {
    ProxyFixture.Host host = world.new Host(h -> ok("old"));
    ProxyFixture.Host next = world.new Host(h -> ok("next"));
    world.start(host);
    ProxyFixture.Discovery other = world.new Discovery(3, next);
    Path file = world.configure(other.address(), "{}");
    String whole = Files.readString(file);
    Files.writeString(file, whole.substring(0, whole.length() / 2));
    world.reload();
    assertThat(world.ask(claim("a"))).endsWith("old");
    Files.writeString(file, whole);
    ProxyFixture.await(() -> other.asked.contains("/catalog/members?follow=1&since=3"));
    assertThat(world.ask(claim("b"))).endsWith("next");
  }

  // --- connections to hosts

  /**
   * Hosts take few connections, and many proxies hold one to each: what is not used goes back after
   * two aims.
   */
  @Test
  void aConnectionThatIsNotUsedIsGivenBackLongBeforeTheHostWouldEndIt() throws Exception {
    AtomicInteger ended = new AtomicInteger();
    ProxyFixture.Host host =
        world.new Host(h -> ok("done")) {
          @Override
          void serve(Socket s) throws IOException, InterruptedException {
            super.serve(s);
            ended.incrementAndGet();
          }
        };
    world.start(host);
    assertThat(world.ask(claim("a"))).endsWith("done");
    ProxyFixture.await(() -> ended.get() == 1); // the configuration lets it stand idle for a minute
    assertThat(world.ask(claim("b"))).endsWith("done");
    assertThat(host.connections()).isEqualTo(2);
  }

  // --- clients that have given up

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void aRequestWhoseClientHasGoneIsNotSentThoughTheLoopComesToItLate(boolean onAnOldConnection)
      throws Exception {
    ProxyFixture.Host host = world.new Host(h -> ok("done"));
    world.start(host);
    assertThat(world.ask(claim("warm")))
        .endsWith("done"); // its connection to the host stands ready
    Socket gone = world.client();
    try (Socket stays = world.client()) {
      if (onAnOldConnection) {
        write(gone, claim("first"));
        assertThat(ProxyFixture.read(gone.getInputStream())).endsWith("done");
      }
      int before = world.sends();
      Thread.sleep(50); // the rest of a connection to a host is over
      CountDownLatch held = new CountDownLatch(1);
      CountDownLatch release = new CountDownLatch(1);
      world
          .proxy
          .loop()
          .submit(
              () -> {
                held.countDown();
                return release.await(ProxyFixture.PATIENCE_MS, TimeUnit.MILLISECONDS);
              });
      assertThat(held.await(ProxyFixture.PATIENCE_MS, TimeUnit.MILLISECONDS)).isTrue();
      write(gone, claim("gone"));
      gone.close();
      write(stays, claim("stays"));
      release.countDown();
      assertThat(ProxyFixture.read(stays.getInputStream())).endsWith("done");
      assertThat(world.sends() - before).isEqualTo(1);
    }
  }

  @Test
  void hangupIsASignalLikeOthers() throws Exception {
    CountDownLatch told = new CountDownLatch(1);
    assertThat(Signals.onHangup(told::countDown)).isTrue();
    new ProcessBuilder("kill", "-HUP", Long.toString(ProcessHandle.current().pid()))
        .start()
        .waitFor();
    assertThat(told.await(ProxyFixture.PATIENCE_MS, TimeUnit.MILLISECONDS)).isTrue();
  }

  /** As {@code nohup} starts a process: the JVM takes the handler and never calls it. */
  @ParameterizedTest
  @ValueSource(strings = {"", "trap '' HUP; "})
  void anIgnoredHangupIsToldApart(String before) throws Exception {
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    Process p =
        new ProcessBuilder(
                "/bin/sh",
                "-c",
                before + "exec \"$0\" -cp \"$1\" leadferry.proxy.HangupProbe",
                java,
                System.getProperty("java.class.path"))
            .redirectErrorStream(true)
            .start();
    assertThat(new String(p.getInputStream().readAllBytes(), StandardCharsets.UTF_8))
        .contains("taken " + before.isEmpty());
  }

  @Test
  void aProcessThatNoSignalReachesSeesItsConfigurationChange() throws Exception {
    world.start(world.new Host(h -> ProxyFixture.ok("before")));
    ProxyFixture.Host other = world.new Host(h -> ProxyFixture.ok("after"));
    ProxyFixture.Discovery there = world.new Discovery(50, other);
    Path file = world.configure("127.0.0.1:1", "null");
    world.proxy.watch(file.toString());
    world.configure(there.address(), there.list());
    ProxyFixture.await(
        () -> {
          try {
            String answer = world.ask(claim("now"));
            return answer != null && answer.endsWith("after");
          } catch (IOException e) {
            return false;
          }
        });
  }

  // --- what hosts tell

  /** Reports come late and count requests of ours that are gone: they must not refuse new ones. */
  @Test
  void theEchoOfOurOwnBurstInReportsRefusesNothing() throws Exception {
    int burst = 20;
    CountDownLatch go = new CountDownLatch(1);
    ProxyFixture.Host host =
        world
        .new Host(
            h -> {
              await(go);
              return ProxyFixture.ok("served", "X-Server-Load: inflight=" + burst / 2);
            });
    world.start(host);
    List<Socket> clients = new ArrayList<>();
    for (int i = 0; i < burst; i++) {
      Socket s = world.client();
      write(s, claim("burst" + i));
      clients.add(s);
    }
    ProxyFixture.await(() -> host.heads.size() == burst);
    Thread.sleep(500); // longer than the aim of 400 ms
    go.countDown();
    for (Socket s : clients) {
      assertThat(ProxyFixture.read(s.getInputStream())).endsWith("served");
    }
    for (int i = 0; i < 5; i++) {
      assertThat(world.ask(claim("after" + i))).endsWith("served");
    }
  }

  /**
   * Clients give up before any time-out: a host that says nothing must be found out all the same.
   */
  @Test
  void aSilentHostShowsWhereClientsGiveUpFirst() throws Exception {
    ProxyFixture.Host silent = world.new Host(h -> null);
    ProxyFixture.Host slow =
        world
        .new Host(
            h -> {
              sleep(150);
              return ok("served");
            });
    world.start(silent, slow);
    int served = 0;
    for (int i = 0; i < 60; i++) {
      try (Socket s = world.client()) {
        write(s, claim("a" + i));
        int sent = i + 1;
        ProxyFixture.await(() -> silent.heads.size() + slow.heads.size() == sent);
        if (slow.heads.size() > served) {
          served++;
          assertThat(ProxyFixture.read(s.getInputStream())).endsWith("served");
        } else {
          sleep(100);
        }
      }
    }
    assertThat(silent.heads.size()).isBetween(1, 20);
  }

  /** Idle connections that die sooner than the settings say, without a sign, are learned of. */
  @Test
  void connectionsThatDieIdleAreNotKeptSoLong() throws Exception {
    ProxyFixture.Host host = world.new DroppingHost(150);
    world.start(host);
    int lost = 0;
    for (int i = 0; i < 12; i++) {
      lost += world.ask(claim("a" + i)).endsWith("served") ? 0 : 1;
      sleep(200);
    }
    assertThat(lost).isBetween(1, 3);
  }

  /**
   * Without a host nothing can be sent: the client is refused at once and told when to come back.
   */
  @Test
  void refusalsTellWhenToComeBack() throws Exception {
    world.start();
    assertThat(world.ask(claim("a")))
        .startsWith("HTTP/1.1 503")
        .containsIgnoringCase("retry-after: 0.100\r");
  }

  /** One failure is held against a host for a few aims, not for seconds where aims are short. */
  @Test
  void aFailureIsForgottenInAims() throws Exception {
    world.aim = 40;
    AtomicInteger failed = new AtomicInteger();
    ProxyFixture.Host sound =
        world
        .new Host(
            h -> {
              sleep(12);
              return ok("served");
            });
    ProxyFixture.Host once =
        world
        .new Host(
            h ->
                failed.getAndIncrement() == 0
                    ? "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"
                    : ok("served"));
    world.start(sound, once);
    for (int i = 0; failed.get() == 0; i++) {
      world.ask(claim("before" + i));
    }
    sleep(600); // 15 aims
    for (int i = 0; i < 100 && failed.get() == 1; i++) {
      world.ask(claim("after" + i));
    }
    assertThat(failed.get()).isGreaterThan(1);
  }

  /** Where a slow host is full of our own requests, a fast one that was drawn too gets the next. */
  @Test
  void aHostFullOfOurOwnRequestsGivesWay() throws Exception {
    CountDownLatch go = new CountDownLatch(1);
    ProxyFixture.Host[] hosts = new ProxyFixture.Host[2];
    for (int k = 0; k < 2; k++) {
      int self = k;
      hosts[k] =
          world
          .new Host(
              h -> {
                if (h.contains("learn")) {
                  awaitHeads(hosts[self], 8);
                  sleep(self == 0 ? 150 : 5); // some 20 ms, or 1, for each request held
                } else {
                  await(go);
                }
                return ok("served");
              });
      hosts[k].kind = "k" + k;
    }
    world.start(hosts);
    List<Socket> clients = new ArrayList<>();
    for (int i = 0; i < 56; i++) {
      Socket s = world.client();
      clients.add(s);
      write(s, claim((i < 16 ? "learn" : "then") + i));
      if (i == 15) {
        for (Socket c : clients) {
          assertThat(ProxyFixture.read(c.getInputStream())).endsWith("served");
        }
      }
    }
    // Equal counts up to 8 or 9 at each, where the slow one is full; the fast one takes more.
    ProxyFixture.await(() -> hosts[0].heads.size() + hosts[1].heads.size() >= 16 + 22);
    go.countDown();
  }

  private static void awaitHeads(ProxyFixture.Host host, int n) {
    try {
      ProxyFixture.await(() -> host.heads.size() >= n);
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
      latch.await(ProxyFixture.PATIENCE_MS, TimeUnit.MILLISECONDS);
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
  void whatCanBeReadInTwoWaysIsRejectedHere(String lines) throws Exception {
    ProxyFixture.Host host = world.new Host(h -> ok("served"));
    world.start(host);
    String[] split = lines.split("\\|");
    assertThat(world.ask(claim("a", split))).startsWith(FOUR_HUNDREDS);
    assertThat(host.heads).isEmpty();
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
  void whatNoHostCanUseIsRejectedHere(String lines) throws Exception {
    ProxyFixture.Host host = world.new Host(h -> ok("served"));
    world.start(host);
    String request = lines.replace("|", "\r\n") + "\r\nContent-Length: 0\r\n\r\n";
    assertThat(world.ask(request)).startsWith(FOUR_HUNDREDS);
    assertThat(host.heads).isEmpty();
  }

  @Test
  void anIdThatIsOpenIsNotTakenAgain() throws Exception {
    CountDownLatch go = new CountDownLatch(1);
    ProxyFixture.Host host =
        world
        .new Host(
            h -> {
              try {
                go.await(ProxyFixture.PATIENCE_MS, TimeUnit.MILLISECONDS);
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
              return ok("served");
            });
    world.start(host);
    try (Socket first = world.client()) {
      write(first, claim("a"));
      ProxyFixture.await(() -> host.heads.size() == 1);
      assertThat(world.ask(claim("a"))).startsWith("HTTP/1.1 409");
      go.countDown();
      assertThat(ProxyFixture.read(first.getInputStream())).endsWith("served");
    }
    assertThat(world.ask(claim("a"))).endsWith("served");
    assertThat(host.heads).hasSize(2);
  }

  @Test
  void aFloodOnOneConnectionIsRejectedUnsent() throws Exception {
    ProxyFixture.Host host = world.new Host(h -> ok("served"));
    world.start(host);
    StringBuilder flood = new StringBuilder();
    for (int i = 0; i < 300; i++) {
      flood.append(claim("f" + i));
    }
    try (Socket s = world.client()) {
      write(s, flood.toString());
      assertThat(ProxyFixture.read(s.getInputStream())).startsWith(FOUR_HUNDREDS);
      assertThat(ProxyFixture.ends(s)).isTrue();
    }
    assertThat(host.heads).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "POST /claim/1 HTTP/1.1\r\nX-Long: ", "half a body"})
  void whoNeverEndsIsEnded(String part) throws Exception {
    world.start();
    String text = part.equals("half a body") ? claim("a", "Content-Length: 10") + "five!" : part;
    try (Socket s = world.client()) {
      write(s, text);
      assertThat(ProxyFixture.ends(s)).isTrue();
    }
  }

  @Test
  void aCrowdThatSaysNothingLeavesRoomForOthers() throws Exception {
    ProxyFixture.Host host = world.new Host(h -> ok("served"));
    world.start(host);
    List<Socket> crowd = new ArrayList<>();
    for (int i = 0; i < 300; i++) {
      crowd.add(world.client());
    }
    assertThat(world.ask(claim("a"))).endsWith("served");
    for (Socket s : crowd) {
      assertThat(ProxyFixture.ends(s)).isTrue();
      s.close();
    }
    assertThat(world.ask(claim("b"))).endsWith("served");
  }

  /**
   * Whoever takes long over a head looks like those that never end it: room decides, so hosts lend
   * theirs.
   */
  @Test
  void slowHeadsSurviveACrowdThatNeverEndsItsOwn() throws Exception {
    ProxyFixture.Host host = world.new Host(h -> ok("served"));
    world.start(host);
    List<Socket> slow = new ArrayList<>();
    List<Socket> endless = new ArrayList<>();
    for (int i = 0; i < 60; i++) { // the half of the clients' holds 44
      Socket s = world.client();
      (i < 10 ? slow : endless).add(s);
      write(s, "POST /claim/x HTTP/1.1\r\nX-Request-ID: c" + i + "\r\n");
    }
    Thread.sleep(600); // from now on each of them may have to make room
    assertThat(world.ask(claim("usual"))).endsWith("served");
    for (Socket s : slow) {
      write(s, "Content-Length: 0\r\n\r\n");
      assertThat(ProxyFixture.read(s.getInputStream())).endsWith("served");
    }
    for (Socket s : endless) {
      s.close();
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
  void aSpoiltAnswerFailsAndIsNotRepeated(String answer) throws Exception {
    ProxyFixture.Host a = world.new Host(h -> answer);
    ProxyFixture.Host b = world.new Host(h -> answer);
    world.start(a, b);
    assertThat(world.ask(claim("a"))).startsWith("HTTP/1.1 502");
    assertThat(a.heads.size() + b.heads.size()).isEqualTo(1);
  }

  @ParameterizedTest
  @ValueSource(strings = {"noise", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"})
  void whatComesBehindAnAnswerReachesNobody(String surplus) throws Exception {
    AtomicInteger n = new AtomicInteger();
    ProxyFixture.Host host = world.new Host(h -> ok("answer" + n.incrementAndGet()) + surplus);
    world.start(host);
    try (Socket s = world.client()) {
      for (int i = 1; i <= 5; i++) {
        write(s, claim("a" + i));
        assertThat(ProxyFixture.read(s.getInputStream())).endsWith("answer" + i);
      }
    }
  }

  /** A second copy may come in a packet of its own, a moment after the answer. */
  @Test
  void aConnectionRestsBeforeItCarriesAnotherRequest() throws Exception {
    ProxyFixture.Host host = world.new Host(h -> ok("served"));
    world.start(host);
    try (Socket s = world.client()) {
      for (int i = 0; i < 200; i++) {
        write(s, claim("a" + i));
        assertThat(ProxyFixture.read(s.getInputStream())).endsWith("served");
      }
    }
    assertThat(host.heads).hasSize(200);
    assertThat(host.reusedAtOnce.get()).isZero();
  }

  @Test
  void interimAnswersAndReportsThatCannotBeReadDoNoHarm() throws Exception {
    ProxyFixture.Host host =
        world
        .new Host(
            h ->
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                    + "HTTP/1.1 200 OK\r\nX-Server-Load: inflight=1e300,eps=none\r\n"
                    + "Content-Length: 4\r\n\r\ngood");
    world.start(host);
    for (int i = 0; i < 5; i++) {
      assertThat(world.ask(claim("a" + i))).endsWith("good");
    }
  }

  @Test
  void theFaultThatAHostFindsWithARequestIsItsClients() throws Exception {
    ProxyFixture.Host a = world.new Host(h -> "HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n");
    world.start(a);
    for (int i = 0; i < 10; i++) {
      assertThat(world.ask(claim("a" + i))).startsWith("HTTP/1.1 400");
    }
    assertThat(a.heads).hasSize(10);
  }

  /** Each of them asks once and stays, as if another request were to come. */
  @Test
  void inACrowdAnAnswerAsksItsClientToLeave() throws Exception {
    world.start(world.new Host(h -> ok("served")));
    List<Socket> staying = new ArrayList<>();
    List<String> answers = new ArrayList<>();
    for (int i = 0; i < 100; i++) { // room is for 44, and for what hosts leave of as many
      Socket s = world.client();
      staying.add(s);
      write(s, claim("a" + i));
      answers.add(ProxyFixture.read(s.getInputStream()));
    }
    assertThat(answers).allSatisfy(a -> assertThat(a).endsWith("served"));
    assertThat(answers.get(0)).doesNotContain("connection: close");
    assertThat(answers).filteredOn(a -> !a.contains("connection: close")).hasSizeBetween(40, 78);
    for (Socket s : staying) {
      s.close();
    }
  }
}
