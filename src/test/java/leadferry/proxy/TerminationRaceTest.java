package leadferry.proxy;

import static leadferry.proxy.ProxyFixture.claim;
import static leadferry.proxy.ProxyFixture.log;
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
  private ProxyFixture world;

  @BeforeEach
  void open() {
    world = new ProxyFixture(folder, 128);
    world.connectTimeout = 2 * ProxyFixture.PATIENCE_MS;
    world.deadline = 2 * ProxyFixture.PATIENCE_MS;
  }

  @AfterEach
  void close() throws Exception {
    world.close();
  }

  // --- while a connection to a host comes up

  @ParameterizedTest
  @CsvSource({"true,false", "false,false", "true,true", "false,true"})
  void aRequestWhoseClientLeavesWhileItsConnectionComesUpIsNotSent(boolean cancel, boolean reset)
      throws Exception {
    world.cancel = cancel;
    ProxyFixture.LateHost host = world.new LateHost(h -> ok("late"));
    world.start(host);
    try (Socket leaver = world.client()) {
      write(leaver, claim("leaver"));
      ProxyFixture.await(() -> world.upstreams() == 1);
      if (reset) {
        leaver.setSoLinger(true, 0);
      }
    }
    ProxyFixture.await(() -> world.open() == 0); // long before its time, and its connection's
    ProxyFixture.await(() -> world.upstreams() == 0);
    host.comesUp();
    assertThat(world.ask(claim("next"))).endsWith("late");
    assertThat(host.heads).hasSize(1).first().asString().contains("next");
  }

  /** Who sends ahead of an answer is read no further as a client, but its going has to be seen. */
  @ParameterizedTest
  @ValueSource(ints = {1, 300, 30_000})
  void aClientThatSentMoreAheadAndLeftIsSeenToHaveLeft(int requestsAhead) throws Exception {
    ProxyFixture.LateHost host = world.new LateHost(h -> ok("late"));
    world.start(host);
    try (Socket leaver = world.client()) {
      write(leaver, claim("leaver"));
      ProxyFixture.await(() -> world.upstreams() == 1);
      write(leaver, claim("ahead").repeat(requestsAhead));
    }
    ProxyFixture.await(() -> world.open() == 0);
    ProxyFixture.await(() -> world.upstreams() == 0);
    host.comesUp();
    assertThat(world.ask(claim("next"))).endsWith("late");
    assertThat(host.heads).hasSize(1);
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
  void aClientThatLeftBehindTheConnectIsSeenBeforeTheWrite(
      boolean cancel, boolean reset, int requestsAhead) throws Exception {
    world.cancel = cancel;
    ProxyFixture.LateHost host = world.new LateHost(h -> ok("late"));
    world.start(host);
    AutoCloseable held;
    try (Socket leaver = world.client()) {
      write(leaver, claim("leaver"));
      ProxyFixture.await(() -> world.upstreams() == 1);
      held = world.heldLoop();
      host.comesUp();
      ProxyFixture.await(() -> host.late() == 1);
      write(leaver, claim("ahead").repeat(requestsAhead));
      if (reset) {
        leaver.setSoLinger(true, 0);
      }
    }
    held.close();
    ProxyFixture.await(() -> world.open() == 0 && world.upstreams() == 0 && world.clients() == 0);
    assertThat(world.ask(claim("next"))).endsWith("late");
    assertThat(host.heads).hasSize(1).first().asString().contains("next");
  }

  /**
   * All of it stands in the kernel when the loop comes to it: a request, more than is read at once,
   * and the end.
   */
  @ParameterizedTest
  @ValueSource(ints = {0, 300})
  void aClientThatHasLeftBeforeItIsReadIsNotSentOn(int requestsAhead) throws Exception {
    ProxyFixture.Host host = world.new Host(h -> ok("done"));
    world.start(host);
    assertThat(world.ask(claim("first"))).endsWith("done");
    Thread.sleep(20); // its connection has rested, and carries the next one at once
    AutoCloseable held = world.heldLoop();
    try (Socket leaver = world.client()) {
      write(leaver, claim("leaver") + claim("ahead").repeat(requestsAhead));
    }
    held.close();
    assertThat(world.ask(claim("next"))).endsWith("done");
    ProxyFixture.await(() -> world.open() == 0 && world.clients() == 0);
    assertThat(host.heads).hasSize(2).last().asString().contains("next");
  }

  /**
   * What the users count: of clients that leave while their requests wait, whose is sent on 0.3 s
   * later.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void ofAThousandLeaversNoneIsSentOn(boolean cancel) throws Exception {
    world.close();
    world = new ProxyFixture(folder, 512);
    world.connectTimeout = 2 * ProxyFixture.PATIENCE_MS;
    world.deadline = 2 * ProxyFixture.PATIENCE_MS;
    world.cancel = cancel;
    ProxyFixture.LateHost host = world.new LateHost(h -> ok("late"));
    world.start(host);
    int cases = 0;
    int late = 0;
    while (cases < 500) {
      List<Socket> leavers = new ArrayList<>();
      for (int i = 0; i < 50; i++) {
        Socket s = world.client();
        leavers.add(s);
        write(s, claim("leaver" + cases + "-" + i));
      }
      ProxyFixture.await(() -> world.upstreams() == leavers.size());
      cases += leavers.size();
      for (int i = 0; i < leavers.size(); i++) {
        Socket s = leavers.get(i);
        switch (i % 3) {
          case 0 -> s.setSoLinger(true, 0);
          case 1 -> write(s, claim("ahead"));
          default -> {}
        }
        s.close();
      }
      long left = System.nanoTime();
      ProxyFixture.await(() -> world.open() == 0);
      late += System.nanoTime() - left > 300_000_000L ? leavers.size() : 0;
    }
    host.comesUp();
    assertThat(world.ask(claim("next"))).endsWith("late");
    long sent = host.heads.stream().filter(h -> h.contains("leaver")).count();
    System.out.println(
        "leavers: " + cases + ", sent on: " + sent + ", waiting still after 0.3 s: " + late);
    assertThat(sent).isZero();
    assertThat(world.upstreams()).isEqualTo(1); // that of the one that has stayed
    ProxyFixture.await(() -> world.clients() == 0);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aCopyThatWaitsForItsConnectionIsNotSentOnceTheOtherHasAnswered(boolean cancel)
      throws Exception {
    world.cancel = cancel;
    CountDownLatch both = new CountDownLatch(1);
    ProxyFixture.Host quick =
        world
        .new Host(
            h -> {
              try {
                both.await();
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
              return ok("quick");
            });
    ProxyFixture.LateHost late = world.new LateHost(h -> ok("late"));
    world.start(quick, late);
    try (Socket s = world.client()) {
      write(s, log("copied"));
      ProxyFixture.await(() -> world.upstreams() == 2);
      both.countDown();
      assertThat(ProxyFixture.read(s.getInputStream())).endsWith("quick");
      ProxyFixture.await(() -> world.open() == 0);
      ProxyFixture.await(() -> world.upstreams() == 1);
      late.comesUp();
      ProxyFixture.await(() -> late.open.size() > 0);
      assertThat(late.heads).isEmpty();
    }
  }

  /**
   * More than is held, so that the rest stands in the kernel, unread, with its client's end behind
   * it.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aLongBodyWhoseClientLeftWhileItWaitedIsNotSentOnWhole(boolean cancel) throws Exception {
    world.cancel = cancel;
    ProxyFixture.LateHost host = world.new LateHost(h -> ok("late"));
    world.start(host);
    int size = (1 << 20) + 100_000;
    try (Socket leaver = world.client()) {
      write(leaver, claim("leaver", "Content-Length: " + size) + "x".repeat(size));
      ProxyFixture.await(() -> world.upstreams() == 1);
    }
    host.comesUp();
    ProxyFixture.await(() -> world.open() == 0 && world.upstreams() == 0 && world.clients() == 0);
    assertThat(world.ask(claim("next"))).endsWith("late");
    assertThat(whole(host, size)).isZero();
  }

  /**
   * All of it has come, so its client's time runs, and what its host is told must not be more than
   * is left.
   */
  @Test
  void aLongBodyThatWaitsTellsItsHostNoMoreTimeThanItsClientHas() throws Exception {
    world.generations = HotRestart.join(folder.toString());
    ProxyFixture.LateHost host = world.new LateHost(h -> ok("late"));
    world.start(host);
    int most = 1 << 20; // past this it is not held
    try (HotRestart beside = HotRestart.join(folder.toString());
        Socket s = world.client()) {
      write(s, claim("long", "Content-Length: " + (most + 2_000)) + "x".repeat(most - 1_000));
      ProxyFixture.await(() -> beside.others().bodies() == most - 1_000);
      write(s, "x".repeat(3_000)); // in one read, with the last byte
      ProxyFixture.await(() -> world.open() == 1);
      long whole = System.nanoTime();
      ProxyFixture.await(() -> System.nanoTime() - whole > 200_000_000L);
      long waited = (System.nanoTime() - whole) / 1_000_000;
      host.comesUp();
      assertThat(ProxyFixture.read(s.getInputStream())).endsWith("late");
      assertThat(Long.parseLong(ProxyFixture.header(host.heads.get(0), "X-Timeout-Ms")))
          .isBetween(1L, world.deadline - waited);
    }
  }

  /** Requests of which the host has got a body so long, to its last byte. */
  private static long whole(ProxyFixture.Host host, int size) {
    return host.heads.stream().filter(h -> h.length() - h.indexOf("\r\n\r\n") - 4 == size).count();
  }

  /**
   * Its host waits for a rest that never comes: nobody else ends that where the deployment allows
   * no cancel.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aLongBodyThatBreaksOffLeavesNothingOut(boolean cancel) throws Exception {
    world.cancel = cancel;
    ProxyFixture.Host host = world.new Host(h -> ok("done"));
    world.start(host);
    try (Socket leaver = world.client()) {
      write(leaver, claim("leaver", "Content-Length: " + (3 << 20)) + "x".repeat(2 << 20));
      ProxyFixture.await(() -> host.connections() == 1);
    }
    ProxyFixture.await(() -> world.open() == 0 && world.upstreams() == 0 && world.clients() == 0);
    assertThat(whole(host, 3 << 20)).isZero();
  }

  /** Either may be the first: what counts is when the other's first byte went out. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aKeyedRequestIsNotSentAgainOnAConnectionThatComesUpPastItsWindow(boolean cancel)
      throws Exception {
    world.cancel = cancel;
    world.aim = 100;
    world.window = 1_000;
    ProxyFixture.Host hangs = world.new Host(h -> null);
    ProxyFixture.LateHost late = world.new LateHost(h -> ok("late"));
    world.start(hangs, late);
    try (Socket s = world.client()) {
      write(s, log("keyed"));
      ProxyFixture.await(() -> hangs.heads.size() == 1 && world.upstreams() == 2);
      long until = System.nanoTime() + world.window * 1_000_000L;
      ProxyFixture.await(() -> System.nanoTime() > until);
      late.comesUp();
      ProxyFixture.await(() -> late.late() == 1);
      ProxyFixture.await(() -> world.upstreams() == 1 || !late.heads.isEmpty());
      assertThat(late.heads).isEmpty();
      assertThat(world.open()).isEqualTo(1); // the one that hangs may answer still
    }
  }

  /** A discovery that tells its list, and what else it is given to tell. */
  private final class Teller extends ProxyFixture.Server {
    private final String list;
    private final BlockingQueue<String> news = new LinkedBlockingQueue<>();

    Teller(String list) throws IOException {
      world.super();
      this.list = list;
    }

    @Override
    void serve(Socket s) throws IOException, InterruptedException {
      ProxyFixture.read(s.getInputStream());
      write(s, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(list));
      while (true) {
        String line = news.poll(500, TimeUnit.MILLISECONDS);
        write(s, chunk(line == null ? "" : line));
      }
    }

    private String chunk(String line) {
      return Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n";
    }
  }

  private static String news(
      boolean full, int version, String address, String state, long started) {
    return list(full, version, entry("h", address, 1, state, started));
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

  private static String entry(String id, String address, int cell, String state, long started) {
    return "{\"id\":\""
        + id
        + "\",\"addr\":\""
        + address
        + "\",\"zone\":\"z\",\"kind\":\"k\",\"cell\":"
        + cell
        + ",\"state\":\""
        + state
        + "\",\"weight\":1.0,\"started_ms\":"
        + started
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
  void aRequestThatWaitsForAHostIsNotSentToWhatTheHostHasBecome(String change) throws Exception {
    ProxyFixture.LateHost host = world.new LateHost(h -> ok("late"));
    ProxyFixture.Host other = world.new Host(h -> ok("other"));
    Teller discovery = new Teller(news(true, 41, host.address(), "up", 0));
    world.run(
        world.configure(discovery.address(), news(true, 40, host.address(), "up", 0)),
        ProxyFixture.quietLog());
    try (Socket s = world.client()) {
      write(s, claim("waits"));
      ProxyFixture.await(() -> world.upstreams() == 1);
      discovery.news.add(
          switch (change) {
            case "left out" -> list(true, 42);
            case "moved" -> news(false, 42, other.address(), "up", 0);
            case "started anew" ->
                news(false, 42, host.address(), "up", System.currentTimeMillis());
            default -> news(false, 42, host.address(), change, 0);
          });
      if (change.equals("started anew")) {
        discovery.news.add(list(false, 43, entry("behind", other.address(), 1)));
        ProxyFixture.await(
            () ->
                world.onLoop(
                    () ->
                        world.proxy.sends("behind"))); // and so the change before it has been taken
        host.comesUp(); // for a connection of its own: the one before was withdrawn
        assertThat(ProxyFixture.read(s.getInputStream())).endsWith("late");
        assertThat(host.heads).hasSize(1);
        ProxyFixture.await(() -> host.late() == 1);
      } else {
        assertThat(ProxyFixture.read(s.getInputStream()))
            .contains(" 503 "); // refused: it never ran
        assertThat(host.heads).isEmpty();
        ProxyFixture.await(() -> world.upstreams() == 0);
        host.comesUp();
        assertThat(host.heads).isEmpty();
      }
    }
  }

  /** Its reading waits for memory, so its end stands unread behind the rest of its body. */
  @Test
  void aClientThatLeavesWhileItsBodyWaitsForMemoryIsNotSentOn() throws Exception {
    world.close();
    world = new ProxyFixture(folder, 512);
    world.memory = 96; // 8 MB of bodies
    world.deadline = 1_500;
    int size = 65_536;
    ProxyFixture.Host hangs = world.new Host(h -> null);
    world.start(hangs);
    List<Socket> holders = new ArrayList<>();
    for (int i = 0; i < 70; i++) {
      Socket s = world.client();
      holders.add(s);
      write(s, claim("holder" + i, "Content-Length: " + size) + "x".repeat(size));
    }
    ProxyFixture.await(
        () -> hangs.heads.size() == holders.size()); // 4.6 MB, until their time is over
    List<Socket> leavers = new ArrayList<>();
    for (int i = 0; i < 70; i++) {
      Socket s = world.client();
      leavers.add(s);
      write(s, claim("leaver" + i, "Content-Length: " + size) + "x".repeat(size - 100));
    }
    ProxyFixture.await(() -> world.clients() == holders.size() + leavers.size());
    for (Socket s : leavers) {
      write(
          s,
          "x".repeat(100)); // those that had room have been taken, the others stand in the kernel
    }
    int taken = 0;
    for (long since = System.nanoTime();
        System.nanoTime() - since < 300_000_000L;
        Thread.sleep(1)) {
      since = taken == hangs.heads.size() ? since : System.nanoTime();
      taken = hangs.heads.size(); // until no more come
    }
    // Those that wait leave first: whoever was taken gives back its memory as it leaves, and one
    // that waits still would be taken.
    for (int i = leavers.size() - 1; i >= 0; i--) {
      leavers.get(i).close();
    }
    for (Socket s : holders) {
      assertThat(ProxyFixture.read(s.getInputStream())).contains(" 504 ");
      s.close();
    }
    ProxyFixture.await(() -> world.clients() == 0 && world.open() == 0);
    System.out.println("waited for memory and left: " + (holders.size() + leavers.size() - taken));
    assertThat(taken).isLessThan(holders.size() + leavers.size());
    assertThat(hangs.heads).hasSize(taken);
  }

  /**
   * A copy was judged by the cell in which both hosts stood; another cell knows nothing of what the
   * first one has run.
   */
  @Test
  void aCopyThatWaitsIsNotSentToAHostThatHasComeToAnotherCell() throws Exception {
    world.aim = 100;
    ProxyFixture.Host hangs = world.new Host(h -> null);
    ProxyFixture.LateHost late = world.new LateHost(h -> ok("late"));
    String list =
        list(true, 41, entry("hangs", hangs.address(), 1), entry("late", late.address(), 1));
    Teller discovery = new Teller(list);
    world.run(world.configure(discovery.address(), list), ProxyFixture.quietLog());
    try (Socket s = world.client()) {
      write(s, log("keyed"));
      ProxyFixture.await(() -> hangs.heads.size() == 1 && world.upstreams() == 2);
      discovery.news.add(list(false, 42, entry("late", late.address(), 2)));
      ProxyFixture.await(() -> world.upstreams() == 1);
      late.comesUp();
      assertThat(late.heads).isEmpty();
      assertThat(world.open()).isEqualTo(1); // the one that hangs may answer still
    }
  }

  /**
   * It goes on to the new one, and is not withdrawn from there because that has changed as well.
   */
  @Test
  void aRequestThatWaitsForAHostThatGoesIsServedByOneThatComesInTheSameList() throws Exception {
    ProxyFixture.LateHost goes = world.new LateHost(h -> ok("goes"));
    ProxyFixture.Host comes = world.new Host(h -> ok("comes"));
    Teller discovery = new Teller(news(true, 41, goes.address(), "up", 0));
    world.run(
        world.configure(discovery.address(), news(true, 40, goes.address(), "up", 0)),
        ProxyFixture.quietLog());
    try (Socket s = world.client()) {
      write(s, claim("waits"));
      ProxyFixture.await(() -> world.upstreams() == 1);
      discovery.news.add(
          list(
              false,
              42,
              entry("h", goes.address(), 1, "removed", 0),
              entry("new", comes.address(), 1)));
      assertThat(ProxyFixture.read(s.getInputStream())).endsWith("comes");
    }
  }

  // --- a host's connection at the wrong instant

  /**
   * The request is read first, and the host's end of the pooled connection stands in the kernel
   * behind it.
   */
  @Test
  void anEndOfAPooledConnectionThatNobodyHasReadIsSeenBeforeTheWrite() throws Exception {
    ProxyFixture.Host host = world.new Host(h -> ok("done"));
    world.start(host);
    assertThat(world.ask(claim("warm"))).endsWith("done");
    try (Socket s = world.client()) {
      ProxyFixture.await(() -> world.clients() == 1);
      Thread.sleep(10); // its rest is over
      AutoCloseable held = world.heldLoop();
      write(s, claim("crosses"));
      host.open.get(0).shutdownOutput();
      held.close();
      assertThat(ProxyFixture.read(s.getInputStream())).endsWith("done");
      assertThat(host.connections()).isEqualTo(2);
    }
  }

  /**
   * Later than a connection rests at first; seen once on one that carried nothing, it is not taken
   * for another's answer.
   */
  @Test
  void aSecondAnswerThatCameLateOnceIsNotTakenForTheNextOnes() throws Exception {
    ProxyFixture.Host host =
        world.new Host(h -> null) {
          @Override
          void serve(Socket s) throws IOException, InterruptedException {
            String head;
            while ((head = ProxyFixture.read(s.getInputStream())) != null) {
              String id = ProxyFixture.header(head, "X-Request-ID");
              Thread.sleep(id.equals("third") ? 100 : 0); // what is late comes before it
              write(s, ok(id));
              Thread.sleep(25);
              write(s, ok(id));
            }
          }
        };
    world.start(host);
    assertThat(world.ask(claim("first"))).endsWith("first");
    ProxyFixture.await(() -> world.upstreams() == 0); // it came where nothing was carried
    try (Socket s = world.client()) {
      ProxyFixture.await(() -> world.clients() == 1);
      write(s, claim("second"));
      assertThat(ProxyFixture.read(s.getInputStream())).endsWith("second");
      Thread.sleep(
          10); // longer than a connection rests at first, and not yet as late as what is late
      write(s, claim("third"));
      assertThat(ProxyFixture.read(s.getInputStream())).endsWith("third");
    }
  }

  /**
   * What stands behind a fault, or is made up when a connection ends in an answer, came with no
   * rest and tells of none.
   */
  @ParameterizedTest
  @CsvSource({"reset", "unframed", "interim"})
  void aFaultOnAConnectionInUseMakesNoneRestLonger(String fault) throws Exception {
    world.aim = ProxyFixture.PATIENCE_MS; // two aims of idle time
    ProxyFixture.Host host =
        world.new Host(h -> null) {
          @Override
          void serve(Socket s) throws IOException, InterruptedException {
            String head;
            while ((head = ProxyFixture.read(s.getInputStream())) != null) {
              String id = ProxyFixture.header(head, "X-Request-ID");
              switch (id) {
                case "reset" -> {
                  write(s, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf of it");
                  ProxyFixture.await(
                      () -> world.onLoop(() -> true)); // a turn of the loop has passed
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
    world.start(host);
    try (Socket s = world.client()) {
      for (String id : List.of("first", fault)) {
        write(s, claim(id));
        assertThat(ProxyFixture.read(s.getInputStream()))
            .startsWith(id.equals(fault) ? "HTTP/1.1 502" : "HTTP/1.1 200");
        Thread.sleep(
            20); // the next one is on the same connection, which has stood idle for as long
      }
      assertThat(host.connections()).isEqualTo(1);
      for (int i = 0; i < 10; i++) {
        write(s, claim("after" + i));
        assertThat(ProxyFixture.read(s.getInputStream())).endsWith("after" + i);
        Thread.sleep(
            20); // longer than a connection rests, and shorter than it would after a late answer
      }
    }
    assertThat(host.connections()).isEqualTo(2);
  }

  /** Whichever is taken first, there is one answer, and the next request has its own. */
  @Test
  void anAnswerAndItsDeadlineInOneTurnMakeOneAnswer() throws Exception {
    world.deadline = 400;
    CountDownLatch answers = new CountDownLatch(1);
    CountDownLatch answered = new CountDownLatch(1);
    ProxyFixture.Host host =
        world
        .new Host(
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
    world.start(host);
    try (Socket s = world.client()) {
      write(s, claim("both"));
      ProxyFixture.await(() -> host.heads.size() == 1);
      AutoCloseable held = world.heldLoop();
      answers.countDown();
      long until = System.nanoTime() + 500_000_000L;
      ProxyFixture.await(() -> System.nanoTime() > until);
      held.close();
      assertThat(ProxyFixture.read(s.getInputStream())).matches("(?s)HTTP/1.1 (200 .*both|504 .*)");
      write(s, claim("next"));
      assertThat(ProxyFixture.read(s.getInputStream())).endsWith("next");
      ProxyFixture.await(() -> world.open() == 0);
    }
  }

  /**
   * It has begun to go to its client, since it may be a long one, and then nothing comes: the
   * client is owed an end.
   */
  @Test
  void anAnswerOfNoLengthThatNeverEndsIsSeenToBeCutOnceItsTimeIsOver() throws Exception {
    world.deadline = 600;
    String head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nmore\r\n";
    ProxyFixture.Host host =
        world.new Host(h -> head) {
          @Override
          void serve(Socket s) throws IOException, InterruptedException {
            ProxyFixture.read(s.getInputStream());
            write(s, head);
            Thread.sleep(150); // past which an answer that still comes is passed on
            write(s, "4\r\nmore\r\n");
            ProxyFixture.read(s.getInputStream());
          }
        };
    world.start(host);
    try (Socket s = world.client()) {
      write(s, claim("endless"));
      assertThat(ProxyFixture.read(s.getInputStream())).contains(" 200 ");
      assertThat(ProxyFixture.ends(s)).isTrue();
    }
    ProxyFixture.await(() -> world.open() == 0 && world.upstreams() == 0);
  }

  // --- a restart with requests in flight

  @Test
  void aBodyThatIsHalfThereWhenTheEndBeginsIsTakenAndAnswered() throws Exception {
    world.start(world.new Host(h -> ok("done")));
    CompletableFuture<Void> ended;
    try (Socket s = world.client()) {
      write(s, claim("slow", "Content-Length: 4") + "ab");
      ProxyFixture.await(() -> world.clients() == 1);
      ended = world.drain();
      long until =
          System.nanoTime()
              + 1_000_000_000L; // past the time at which nobody may stay who carries nothing
      ProxyFixture.await(() -> System.nanoTime() > until);
      write(s, "cd");
      assertThat(ProxyFixture.read(s.getInputStream())).endsWith("done");
    }
    ended.get(ProxyFixture.PATIENCE_MS, TimeUnit.MILLISECONDS);
  }

  /**
   * SIGKILL comes 3.7 s after SIGTERM at the latest that is promised, however long a class may
   * take.
   */
  @Test
  void aRequestWhoseClassMayTakeLongerThanSigkillLeavesIsAnsweredBeforeTheEnd() throws Exception {
    ProxyFixture.Host hangs = world.new Host(h -> null);
    world.start(hangs);
    try (Socket s = world.client()) {
      write(s, claim("long"));
      ProxyFixture.await(() -> hangs.heads.size() == 1);
      CompletableFuture<Void> ended = world.drain();
      assertThat(ProxyFixture.read(s.getInputStream())).contains(" 502 ");
      ended.get(ProxyFixture.PATIENCE_MS, TimeUnit.MILLISECONDS);
    }
  }

  /** One that is open may be written to at any instant, so none is at the end. */
  @Test
  void theEndComesWithNoConnectionOpenThatCouldBeWrittenTo() throws Exception {
    world.start(world.new Host(h -> ok("done")));
    try (Socket before = world.client()) {
      ProxyFixture.await(() -> world.clients() == 1);
      CompletableFuture<Void> ended = world.drain();
      try (Socket after = world.client()) {
        ended.get(ProxyFixture.PATIENCE_MS, TimeUnit.MILLISECONDS);
        assertThat(world.clients()).isZero();
        assertThat(ProxyFixture.ends(before)).isTrue();
        assertThat(ProxyFixture.ends(after)).isTrue();
      }
    }
  }

  /**
   * It may have written a request that nobody has read: the protocol has it sent once more, on a
   * new connection.
   */
  @Test
  void aClientWhoseConnectionIsEndedLastMayComeOnceMore() throws Exception {
    String answer = null;
    long stood;
    do {
      world.close();
      world = new ProxyFixture(folder, 128);
      world.start(world.new Host(h -> ok("done")));
      CompletableFuture<Void> ended = world.drain();
      try (Socket rests = world.client();
          Stalls stalls = new Stalls()) {
        assertThat(ProxyFixture.ends(rests)).isTrue();
        try {
          answer = world.ask(claim("once more"));
        } catch (java.net.ConnectException e) {
          answer = "refused";
        }
        stood = stalls.longestMs();
      }
      ended.get(ProxyFixture.PATIENCE_MS, TimeUnit.MILLISECONDS);
      assertThat(world.clients()).isZero();
    } while (answer.equals("refused")
        && stood > 20); // this process stood still, and the client was late by as much
    assertThat(answer).endsWith("done");
  }

  /** How long this process has stood still. */
  private static final class Stalls implements AutoCloseable {
    private final Thread ticks = new Thread(this::run, "stalls");
    private volatile long longest;
    private volatile boolean over;

    Stalls() {
      ticks.setDaemon(true);
      ticks.start();
    }

    private void run() {
      long last = System.nanoTime();
      while (!over) {
        java.util.concurrent.locks.LockSupport.parkNanos(1_000_000);
        long now = System.nanoTime();
        longest = Math.max(longest, now - last);
        last = now;
      }
    }

    long longestMs() {
      return longest / 1_000_000;
    }

    @Override
    public void close() {
      over = true;
    }
  }

  /**
   * More of them than are accepted in one turn; a new process comes late to what waits in the
   * kernel, or one without a core.
   */
  @Test
  void whatStandsInTheBacklogWhenTheEndIsDueIsServed() throws Exception {
    world.start(world.new Host(h -> ok("done")));
    assertThat(world.ask(claim("warm"))).endsWith("done");
    CompletableFuture<Void> ended = world.drain();
    AutoCloseable held = world.heldLoop();
    long until = System.nanoTime() + 1_000_000_000L; // past the time in which it accepts
    List<Socket> waiting = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      Socket s = world.client();
      waiting.add(s);
      write(s, claim("waits" + i));
    }
    ProxyFixture.await(() -> System.nanoTime() > until);
    held.close();
    for (Socket s : waiting) {
      assertThat(ProxyFixture.read(s.getInputStream())).endsWith("done");
      s.close();
    }
    ended.get(ProxyFixture.PATIENCE_MS, TimeUnit.MILLISECONDS);
  }

  // --- a new configuration

  /**
   * Hosts end idle connections sooner from then on, and a request that is written to one may have
   * run.
   */
  @Test
  void theIdleTimeOfANewConfigurationHolds() throws Exception {
    world.aim = 2_000; // two aims of idle time
    ProxyFixture.DroppingHost host = world.new DroppingHost(400);
    ProxyFixture.Discovery d = world.start(host);
    assertThat(world.ask(claim("first"))).endsWith("served");
    world.connIdle = 300;
    world.configure(d.address(), d.list());
    world.reload();
    ProxyFixture.await(() -> world.upstreams() == 0); // long before four seconds are over
    assertThat(world.ask(claim("second"))).endsWith("served");
    assertThat(host.open).hasSize(2);
  }

  /** The connect that hangs belongs to the address before. */
  @Test
  void aNewConfigurationWhileAWatchIsBeingOpenedMovesIt() throws Exception {
    ProxyFixture.Host old = world.new Host(h -> ok("old"));
    ProxyFixture.Host next = world.new Host(h -> ok("next"));
    ProxyFixture.LateHost hangs = world.new LateHost(h -> null);
    world.run(
        world.configure(hangs.address(), world.new Discovery(40, old).list()),
        ProxyFixture.quietLog());
    ProxyFixture.Discovery other = world.new Discovery(3, next);
    world.configure(other.address(), "{}");
    world.reload();
    ProxyFixture.await(() -> other.asked.contains("/catalog/members?follow=1&since=3"));
    hangs.comesUp();
    assertThat(world.ask(claim("a"))).endsWith("next");
    assertThat(hangs.heads).isEmpty();
  }

  // --- upkeep, and a loop that is late

  /** It has written its request, and looks as silent as before only as long as nobody reads. */
  @Test
  void aClientIsNotSentAwayForASilenceThatIsTheLoops() throws Exception {
    world.start(world.new Host(h -> ok("done")));
    List<Socket> fill = new ArrayList<>();
    while (world.onLoop(() -> world.proxy.sockets().hasRoomForClient())) {
      Socket s = world.client();
      fill.add(s);
      write(s, "POST /cl"); // begun, and so none that makes room yet
      ProxyFixture.await(() -> world.clients() == fill.size());
    }
    fill.remove(0).close();
    fill.remove(0).close();
    ProxyFixture.await(() -> world.clients() == fill.size());
    Socket speaks = world.client();
    ProxyFixture.await(() -> world.clients() == fill.size() + 1);
    AutoCloseable held = world.heldLoop();
    long until =
        System.nanoTime() + 100_000_000L; // twice what a client may be silent for in a crowd
    ProxyFixture.await(() -> System.nanoTime() > until);
    fill.add(world.client()); // ready ahead of it, and one too many
    write(speaks, claim("speaks"));
    held.close();
    assertThat(ProxyFixture.read(speaks.getInputStream())).endsWith("done");
    speaks.close();
    for (Socket s : fill) {
      s.close();
    }
  }

  /**
   * The host may end it at any instant from then on, and what is written to it then may have run.
   */
  @Test
  void aConnectionThatHasStoodIdleTooLongIsNotUsedThoughUpkeepHasNotEndedItYet() throws Exception {
    world.connIdle = 1_000;
    ProxyFixture.DroppingHost host = world.new DroppingHost(900);
    world.start(host);
    assertThat(world.ask(claim("first"))).endsWith("served");
    try (Socket s = world.client()) {
      ProxyFixture.await(() -> world.clients() == 1);
      AutoCloseable held = world.heldLoop();
      long until = System.nanoTime() + 1_100_000_000L;
      ProxyFixture.await(() -> System.nanoTime() > until);
      write(s, claim("second"));
      held.close();
      assertThat(ProxyFixture.read(s.getInputStream())).endsWith("served");
    }
  }

  // --- a time that is over

  @Test
  void aRequestWhoseTimeIsOverWhenItsConnectionIsUpIsNotSent() throws Exception {
    world.deadline = 700;
    ProxyFixture.LateHost host = world.new LateHost(h -> ok("late"));
    world.start(host);
    try (Socket s = world.client()) {
      write(s, claim("over"));
      ProxyFixture.await(() -> world.upstreams() == 1);
      AutoCloseable held = world.heldLoop();
      host.comesUp();
      ProxyFixture.await(
          () -> host.late() == 1); // later than its time: the kernel tries again after a second
      held.close();
      assertThat(ProxyFixture.read(s.getInputStream())).contains(" 503 ");
    }
    ProxyFixture.await(() -> world.open() == 0);
    assertThat(host.heads).isEmpty();
  }

  /**
   * It stood in the kernel for longer than its client waits: on a connection that rested, and on
   * new ones in the backlog.
   */
  @Test
  void aRequestWhoseTimeWentByUnreadIsAnsweredAtOnceAndNotSent() throws Exception {
    world.deadline = 400;
    ProxyFixture.Host host = world.new Host(h -> ok("done"));
    world.start(host);
    List<Socket> clients = new ArrayList<>();
    clients.add(world.client());
    write(clients.get(0), claim("warm"));
    assertThat(ProxyFixture.read(clients.get(0).getInputStream())).endsWith("done");
    AutoCloseable held = world.heldLoop();
    for (int i = 0; i < 12; i++) { // more than are accepted in one turn
      Socket s = i == 0 ? clients.get(0) : world.client();
      write(s, claim("unread" + i));
      clients.add(s);
    }
    long until = System.nanoTime() + 800_000_000L;
    ProxyFixture.await(() -> System.nanoTime() > until);
    held.close();
    for (Socket s : clients.subList(1, clients.size())) {
      assertThat(ProxyFixture.read(s.getInputStream())).contains(" 503 ");
      s.close();
    }
    assertThat(host.heads).hasSize(1);
    assertThat(world.ask(claim("next")))
        .endsWith("done"); // no more is held against what comes later
  }

  /**
   * Of its time a second and a half went by unread; all of it once more would end half a second too
   * late and more.
   */
  @Test
  void aRequestThatWasReadLateIsAnsweredInItsOwnTime() throws Exception {
    world.deadline = 3_000;
    ProxyFixture.Host hangs = world.new Host(h -> null);
    world.start(hangs);
    try (Socket s = world.client()) {
      ProxyFixture.await(() -> world.clients() == 1);
      AutoCloseable held = world.heldLoop();
      write(s, claim("late"));
      long at = System.nanoTime();
      ProxyFixture.await(() -> System.nanoTime() > at + 1_500_000_000L);
      held.close();
      assertThat(ProxyFixture.read(s.getInputStream())).contains(" 504 ");
      assertThat(System.nanoTime() - at).isBetween(1_500_000_000L, 4_000_000_000L);
      assertThat(hangs.heads).hasSize(1);
    }
  }

  /** Its connection is older than its time, and nothing came on it before. */
  @Test
  void aRequestOnAConnectionThatRestedFirstHasAllOfItsTime() throws Exception {
    world.deadline = 400;
    world.start(world.new Host(h -> ok("done")));
    try (Socket s = world.client()) {
      ProxyFixture.await(() -> world.clients() == 1);
      long until = System.nanoTime() + 600_000_000L;
      ProxyFixture.await(() -> System.nanoTime() > until);
      write(s, claim("rested"));
      assertThat(ProxyFixture.read(s.getInputStream())).endsWith("done");
    }
  }

  /**
   * What comes slowly has its time from its last byte on: only what the loop left unread is taken
   * off.
   */
  @Test
  void aRequestThatComesSlowlyHasItsTimeFromItsLastByteOn() throws Exception {
    world.deadline = 400;
    world.start(world.new Host(h -> ok("done")));
    try (Socket s = world.client()) {
      String request = claim("slow", "Content-Length: 4");
      write(s, request.substring(0, 20));
      ProxyFixture.await(() -> world.clients() == 1);
      for (String piece : List.of(request.substring(20) + "ab", "cd")) {
        long until = System.nanoTime() + 500_000_000L;
        ProxyFixture.await(() -> System.nanoTime() > until);
        write(s, piece);
      }
      assertThat(ProxyFixture.read(s.getInputStream())).endsWith("done");
    }
  }
}
