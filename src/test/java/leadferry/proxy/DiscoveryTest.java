package leadferry.proxy;

import static leadferry.proxy.ProxyFixture.atMostOnceRequest;
import static leadferry.proxy.ProxyFixture.ok;
import static leadferry.proxy.ProxyFixture.write;
import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.ChannelException;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import leadferry.engine.BodyBudget;
import leadferry.engine.Dispatcher;
import leadferry.engine.LineLog;
import leadferry.engine.Log;
import leadferry.engine.NioTransport;
import leadferry.engine.SocketBudget;
import leadferry.engine.UpstreamConnectionPool;
import leadferry.http.HttpProtocol;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the watch with a discovery server that disconnects, sends malformed or contradictory lists,
 * or rejects requests, and with a shortage of descriptors.
 */
class DiscoveryTest {
  private static final int BAD_RESPONSES = 3;
  private static final long TENTH_SECOND_NANOS = 100_000_000L;

  @TempDir Path folder;
  private ProxyFixture fixture;
  private final ByteArrayOutputStream log = new ByteArrayOutputStream();

  @BeforeEach
  void open() {
    fixture = new ProxyFixture(folder, 128);
  }

  @AfterEach
  void close() throws Exception {
    fixture.close();
  }

  /**
   * Discovery server that sends a bad response and a close to the first requests, and a valid list
   * to later ones.
   */
  private final class FailingDiscovery extends ProxyFixture.Server {
    final List<Long> requestNanos = new CopyOnWriteArrayList<>();
    private final String badResponse;
    private final String goodList;

    FailingDiscovery(String badResponse, String goodList) throws IOException {
      fixture.super();
      this.badResponse = badResponse;
      this.goodList = goodList;
    }

    @Override
    void serve(Socket socket) throws IOException {
      if (ProxyFixture.readMessage(socket.getInputStream()) == null) {
        return;
      }
      requestNanos.add(System.nanoTime());
      if (requestNanos.size() <= BAD_RESPONSES) {
        write(socket, badResponse);
        socket.shutdownOutput();
        socket.close();
      } else {
        write(socket, chunk(goodList + "\n"));
        ProxyFixture.readMessage(socket.getInputStream()); // until the watch ends
      }
    }
  }

  private static String chunk(String text) {
    return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        + Integer.toHexString(text.length())
        + "\r\n"
        + text
        + "\r\n";
  }

  private static String list(long version, String... entries) {
    return "{\"version\":"
        + version
        + ",\"full\":true,\"servers\":["
        + String.join(",", entries)
        + "]}";
  }

  private static String entry(String id, String address) {
    return "{\"id\":\""
        + id
        + "\",\"addr\":\""
        + address
        + "\",\"zone\":\"z\",\"kind\":\"k\",\"cell\":1,\"state\":\"up\","
        + "\"weight\":1.0,\"started_ms\":0}";
  }

  static Stream<String> malformedResponses() {
    String whole = list(50, entry("x", "127.0.0.1:1"));
    return Stream.of(
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            + Integer.toHexString(whole.length() + 1)
            + "\r\n"
            + whole.substring(0, 40),
        chunk(whole.substring(0, whole.length() - 5) + "\n"),
        chunk("no list at all\n"),
        chunk("[1,2]\n"),
        chunk(list(50, entry("", "127.0.0.1:1")) + "\n"),
        chunk(list(50, entry("x", "nowhere")) + "\n"),
        chunk(list(50, entry("x", "127.0.0.1:1"), entry("x", "127.0.0.1:2")) + "\n"),
        chunk(list(3) + "\n"),
        "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n",
        "\u0000\u0001 not HTTP at all\r\n\r\n",
        "");
  }

  private void start(ProxyFixture.Server discovery, String known) throws Exception {
    Path file = fixture.writeConfig(discovery.address(), known);
    fixture.startProxy(
        file, new LineLog(new PrintStream(log, true, StandardCharsets.UTF_8), false));
  }

  /**
   * Guards against a bad response that changes the list in force, and against a watch that fails to
   * apply the next valid list.
   */
  @ParameterizedTest
  @MethodSource("malformedResponses")
  void badResponseChangesNothingAndTheNextGoodOneIsApplied(String bad) throws Exception {
    ProxyFixture.UpstreamHost old = fixture.new UpstreamHost(h -> ok("old"));
    ProxyFixture.UpstreamHost next = fixture.new UpstreamHost(h -> ok("next"));
    FailingDiscovery discovery = new FailingDiscovery(bad, list(51, entry("next", next.address())));
    start(discovery, list(40, entry("old", old.address())));
    ProxyFixture.await(() -> !discovery.requestNanos.isEmpty());
    if (discovery.requestNanos.size() <= BAD_RESPONSES) {
      assertThat(fixture.sendRequest(atMostOnceRequest("a"))).matches("(?s).*(old|next)");
    }
    ProxyFixture.await(
        () -> {
          try {
            return fixture.sendRequest(atMostOnceRequest("b" + System.nanoTime())).endsWith("next");
          } catch (IOException e) {
            return false;
          }
        });
    assertThat(discovery.requestNanos).hasSize(BAD_RESPONSES + 1);
  }

  /**
   * Discovery server that rejects all but a few requests in each tenth of a second, and sends the
   * list to the others.
   */
  private final class RateLimitedDiscovery extends ProxyFixture.Server {
    final List<Long> requestNanos = new CopyOnWriteArrayList<>();
    final AtomicInteger accepted = new AtomicInteger();
    private final String list;
    private final int limit;

    RateLimitedDiscovery(int limit, String list) throws IOException {
      fixture.super();
      this.limit = limit;
      this.list = list;
    }

    private synchronized boolean tryAccept() {
      long now = System.nanoTime();
      long recent = requestNanos.stream().filter(t -> now - t < TENTH_SECOND_NANOS).count();
      requestNanos.add(now);
      return recent < limit;
    }

    @Override
    void serve(Socket socket) throws IOException {
      while (ProxyFixture.readMessage(socket.getInputStream()) != null) {
        if (tryAccept()) {
          accepted.incrementAndGet();
          write(socket, chunk(list + "\n"));
          sendKeepAlives(socket);
        } else {
          write(socket, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        }
      }
    }
  }

  /**
   * Sends the empty lines of a watch without changes until the connection ends; a silent watch
   * would be replaced.
   */
  private static void sendKeepAlives(Socket socket) throws IOException {
    while (true) {
      write(socket, "1\r\n\n\r\n");
      LockSupport.parkNanos(5 * TENTH_SECOND_NANOS);
    }
  }

  /**
   * Guards against watches that retry in step: rejected together, they would all be rejected again.
   */
  @Test
  void thirtyWatchesOnARateLimitedDiscoveryAllConnectWithoutAStorm() throws Exception {
    RateLimitedDiscovery discovery =
        new RateLimitedDiscovery(3, list(51, entry("h", "127.0.0.1:1")));
    List<ProxyFixture> fixtures = new ArrayList<>();
    try {
      List<Thread> starts = new ArrayList<>();
      for (int i = 0; i < 30; i++) {
        ProxyFixture other = new ProxyFixture(Files.createDirectory(folder.resolve("p" + i)), 128);
        other.pollsDiscovery = true;
        other.seed = 10 + i;
        fixtures.add(other);
        Path file = other.writeConfig(discovery.address(), list(40, entry("h", "127.0.0.1:1")));
        Log quiet = new LineLog(new PrintStream(log, true, StandardCharsets.UTF_8), false);
        starts.add(
            new Thread(
                () -> {
                  try {
                    other.startProxy(file, quiet);
                  } catch (Exception e) {
                    throw new IllegalStateException(e);
                  }
                }));
      }
      starts.forEach(Thread::start);
      for (Thread thread : starts) {
        thread.join();
      }
      ProxyFixture.await(() -> discovery.accepted.get() >= 30);
      assertThat(discovery.accepted).hasValue(30);
      // 81 and 87 requests with randomized exponential delays; 135 with equal delays.
      assertThat(discovery.requestNanos.size()).isLessThan(120);
    } finally {
      for (ProxyFixture other : fixtures) {
        other.close();
      }
    }
  }

  /**
   * Layouts of one list: on one line, as in the documentation of the protocol, and indented, as
   * JSON printers write it.
   */
  static Stream<String> listLayouts() {
    String whole = list(51, entry("next", "ADDRESS"));
    String printed = whole.replaceAll("([{\\[,])", "$1\n  ").replaceAll("([}\\]])", "\n $1");
    return Stream.of(
        whole,
        "   " + whole,
        whole.replace("[{", "[\n  {"),
        printed,
        printed.replace("\n", "\r\n"),
        printed.replace("  ", "\t"));
  }

  /**
   * Returns a discovery server that sends this list: in one piece if it is requested, and on a
   * watch in arbitrary pieces, with more data behind it.
   */
  private ProxyFixture.Server discoveryServing(String list, List<String> paths) throws IOException {
    return fixture.new Server() {
      @Override
      void serve(Socket socket) throws IOException {
        String head;
        while ((head = ProxyFixture.readMessage(socket.getInputStream())) != null) {
          paths.add(head.split(" ")[1]);
          if (!head.contains("follow")) {
            write(socket, ok(list));
            continue;
          }
          write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
          for (String piece : (list + "\n\n").split("(?<=[5\":])")) {
            write(socket, Integer.toHexString(piece.length()) + "\r\n" + piece + "\r\n");
          }
          sendKeepAlives(socket);
        }
      }
    };
  }

  @ParameterizedTest
  @MethodSource("listLayouts")
  void indentedListOnTheWatchIsApplied(String indented) throws Exception {
    ProxyFixture.UpstreamHost old = fixture.new UpstreamHost(h -> ok("old"));
    ProxyFixture.UpstreamHost next = fixture.new UpstreamHost(h -> ok("next"));
    List<String> paths = new CopyOnWriteArrayList<>();
    start(
        discoveryServing(indented.replace("ADDRESS", next.address()), paths),
        list(40, entry("old", old.address())));
    ProxyFixture.await(
        () ->
            fixture.callOnLoop(
                () -> fixture.proxy.canSendTo("next") && !fixture.proxy.canSendTo("old")));
    assertThat(paths).containsExactly("/catalog/members?follow=1&since=40");
  }

  @ParameterizedTest
  @MethodSource("listLayouts")
  void indentedFullListIsApplied(String indented) throws Exception {
    ProxyFixture.UpstreamHost next = fixture.new UpstreamHost(h -> ok("next"));
    List<String> paths = new CopyOnWriteArrayList<>();
    start(
        discoveryServing(indented.replace("ADDRESS", next.address()), paths),
        "{}"); // no version to resume from
    ProxyFixture.await(() -> paths.contains("/catalog/members?follow=1&since=51"));
    assertThat(paths).containsExactly("/catalog/members", "/catalog/members?follow=1&since=51");
    assertThat(fixture.<Boolean>callOnLoop(() -> fixture.proxy.canSendTo("next"))).isTrue();
  }

  /**
   * Guards against a truncated list that is awaited forever. Its first lines look like those of any
   * other list; the empty line after them, which means that nothing has changed, shows the
   * truncation.
   */
  @Test
  void truncatedIndentedListIsRequestedAgain() throws Exception {
    ProxyFixture.UpstreamHost next = fixture.new UpstreamHost(h -> ok("next"));
    AtomicInteger watches = new AtomicInteger();
    ProxyFixture.Server discovery =
        fixture.new Server() {
          @Override
          void serve(Socket socket) throws IOException {
            ProxyFixture.readMessage(socket.getInputStream());
            String list = list(51, entry("next", next.address()));
            write(
                socket,
                chunk(watches.incrementAndGet() == 1 ? "{\n  \"version\": 51,\n" : list + "\n"));
            sendKeepAlives(socket);
          }
        };
    start(discovery, list(40));
    ProxyFixture.await(() -> fixture.callOnLoop(() -> fixture.proxy.canSendTo("next")));
    assertThat(watches).hasValue(2);
  }

  private static String drainingDelta(long version, String id, String address) {
    return "{\"version\":"
        + version
        + ",\"full\":false,\"servers\":["
        + entry(id, address).replace("\"up\"", "\"draining\"")
        + "]}";
  }

  /**
   * Guards against a drain that is missed: the changes on a silent watch count as notified 6 s
   * after it fell silent, even if its replacement is silent as well.
   */
  @Test
  void listArrivesInTimeAfterTwoSilentWatches() throws Exception {
    ProxyFixture.UpstreamHost old = fixture.new UpstreamHost(h -> ok("old"));
    ProxyFixture.UpstreamHost next = fixture.new UpstreamHost(h -> ok("next"));
    AtomicLong silentFrom = new AtomicLong();
    AtomicLong toldAt = new AtomicLong();
    AtomicInteger watches = new AtomicInteger();
    ProxyFixture.Server discovery =
        fixture.new Server() {
          @Override
          void serve(Socket socket) throws IOException {
            ProxyFixture.readMessage(socket.getInputStream());
            switch (watches.incrementAndGet()) {
              case 1 -> {
                write(
                    socket,
                    chunk(
                        list(40, entry("old", old.address()), entry("next", next.address()))
                            + "\n"));
                silentFrom.set(System.nanoTime());
              }
              case 2 -> {}
              default -> {
                write(socket, chunk(drainingDelta(41, "old", old.address()) + "\n"));
                toldAt.compareAndSet(0, System.nanoTime());
              }
            }
            ProxyFixture.readMessage(socket.getInputStream()); // until the watch ends
          }
        };
    start(discovery, list(39));
    ProxyFixture.await(() -> toldAt.get() != 0);
    assertThat(toldAt.get() - silentFrom.get()).isLessThan(6_000_000_000L);
    ProxyFixture.await(
        () ->
            fixture.callOnLoop(
                () -> fixture.proxy.canSendTo("next") && !fixture.proxy.canSendTo("old")));
  }

  /**
   * Guards against a poll interval that stays long after a failure of discovery: a watch on which
   * nothing has changed is a valid one and resets the interval.
   */
  @Test
  void unchangedResponseResetsThePollInterval() throws Exception {
    fixture.pollsDiscovery = true;
    ProxyFixture.UpstreamHost host = fixture.new UpstreamHost(h -> ok("done"));
    List<Long> calls = new CopyOnWriteArrayList<>();
    AtomicLong silentFrom = new AtomicLong();
    ProxyFixture.Server discovery =
        fixture.new Server() {
          @Override
          void serve(Socket socket) throws IOException {
            ProxyFixture.readMessage(socket.getInputStream());
            calls.add(System.nanoTime());
            if (calls.size() == 5) {
              write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
              silentFrom.set(System.nanoTime());
              ProxyFixture.readMessage(socket.getInputStream()); // until the watch ends
            } else {
              write(socket, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
              socket.close();
            }
          }
        };
    start(discovery, list(40, entry("h", host.address())));
    ProxyFixture.await(() -> calls.size() >= 7);
    // A healthy watch has data every 2 s. From there, silence is noticed in 0.5 s.
    assertThat(calls.get(5) - silentFrom.get()).isBetween(2_000_000_000L, 3_000_000_000L);
    // A first interval of 0.75 s at most; it had grown to 2 s and more by the fourth call.
    assertThat(calls.get(6) - calls.get(5)).isBetween(200_000_000L, 1_000_000_000L);
  }

  private static volatile int failuresLeft;

  /** Channel that fails to open while the system has no free descriptor. */
  public static final class DescriptorLimitedChannel extends NioSocketChannel {
    public DescriptorLimitedChannel() {
      if (failuresLeft-- > 0) {
        throw new ChannelException("Too many open files");
      }
    }
  }

  /**
   * Guards against a watch that is never opened because the system had no free descriptor at the
   * first attempts.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void watchIsOpenedOnceADescriptorIsFree(boolean polled) throws Exception {
    fixture.pollsDiscovery = polled;
    ProxyFixture.DiscoveryServer server =
        fixture.new DiscoveryServer(41, fixture.new UpstreamHost(h -> ok("done")));
    Path file = fixture.writeConfig(server.address(), list(40));
    Config config = Config.load(Map.of("BALANCER_CONFIG", file.toString()));
    Log quiet = ProxyFixture.discardingLog();
    NioTransport transport = new NioTransport();
    MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(1, transport.ioHandlerFactory());
    EventLoop loop = (EventLoop) group.next();
    try {
      failuresLeft = 2;
      UpstreamConnectionPool upstreams =
          new UpstreamConnectionPool(
              loop,
              transport,
              HttpProtocol.PLATFORM,
              config.bounds(),
              new SocketBudget(128),
              quiet);
      DiscoveryWatch watch =
          loop.submit(
                  () -> {
                    Dispatcher dispatcher =
                        new Dispatcher(
                            null,
                            loop,
                            config.settings(),
                            7,
                            upstreams,
                            new BodyBudget(1 << 20),
                            quiet);
                    DiscoveryWatch opened =
                        new DiscoveryWatch(
                            group, config, dispatcher, quiet, DescriptorLimitedChannel.class);
                    opened.start(config.knownList());
                    return opened;
                  })
              .get();
      ProxyFixture.await(() -> loop.submit(watch::isConfirmed).syncUninterruptibly().getNow());
      assertThat(failuresLeft).isNegative();
    } finally {
      group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync();
    }
  }

  /**
   * Guards against reconnect delays beyond the drain grace: changes that the agent receives while
   * no watch is open count as notified at once.
   */
  @ParameterizedTest
  @ValueSource(ints = {250, 500})
  void repeatedlyResetWatchReconnectsWithinTheDrainGrace(int grace) throws Exception {
    fixture.drainGraceMillis = grace;
    List<Long> tries = new CopyOnWriteArrayList<>();
    ProxyFixture.Server discovery =
        fixture.new Server() {
          @Override
          void serve(Socket socket) throws IOException {
            tries.add(System.nanoTime());
            socket.setSoLinger(true, 0);
            socket.close();
          }
        };
    start(discovery, list(39));
    ProxyFixture.await(() -> tries.size() >= 16);
    long longest = 0;
    for (int i = 1; i < tries.size(); i++) {
      longest = Math.max(longest, tries.get(i) - tries.get(i - 1));
    }
    assertThat(longest).isLessThan(grace * 1_000_000L);
  }

  /**
   * Guards against a new process that uses the outdated list of its configuration: the changes that
   * discovery has count as notified from the start of the process.
   */
  @Test
  void firstRequestOfANewProcessUsesTheCurrentList() throws Exception {
    ProxyFixture.UpstreamHost drained = fixture.new UpstreamHost(h -> ok("drained"));
    ProxyFixture.UpstreamHost up = fixture.new UpstreamHost(h -> ok("up"));
    CountDownLatch responseGate = new CountDownLatch(1);
    CountDownLatch requested = new CountDownLatch(1);
    ProxyFixture.Server discovery =
        fixture.new Server() {
          @Override
          void serve(Socket socket) throws IOException, InterruptedException {
            ProxyFixture.readMessage(socket.getInputStream());
            requested.countDown();
            responseGate.await();
            write(
                socket,
                chunk(
                    drainingDelta(41, "drained", drained.address())
                            .replace("}]", "}," + entry("up", up.address()) + "]")
                        + "\n"));
            ProxyFixture.readMessage(socket.getInputStream()); // until the watch ends
          }
        };
    fixture.drainGraceMillis = 4_000;
    fixture.listenPort = ProxyFixture.freePort();
    CompletableFuture<String> first =
        CompletableFuture.supplyAsync(() -> firstResponse(fixture.listenPort));
    CompletableFuture<Void> started =
        CompletableFuture.runAsync(
            () -> {
              try {
                start(discovery, list(40, entry("drained", drained.address())));
              } catch (Exception e) {
                throw new IllegalStateException(e);
              }
            });
    requested.await();
    ProxyFixture.await(
        new BooleanSupplier() {
          // a request that used the old list has been sent by then
          private final long until = System.nanoTime() + 5 * TENTH_SECOND_NANOS;

          @Override
          public boolean getAsBoolean() {
            return first.isDone() || System.nanoTime() > until;
          }
        });
    responseGate.countDown();
    started.get();
    assertThat(first.get()).endsWith("up");
    assertThat(drained.requests).isEmpty();
  }

  /** Returns the response to a request that is sent as soon as the port accepts connections. */
  private static String firstResponse(int port) {
    long until = System.nanoTime() + ProxyFixture.TIMEOUT_MILLIS * 1_000_000L;
    while (System.nanoTime() < until) {
      try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
        socket.setSoTimeout(ProxyFixture.TIMEOUT_MILLIS);
        write(socket, atMostOnceRequest("first"));
        return ProxyFixture.readMessage(socket.getInputStream());
      } catch (IOException e) {
        LockSupport.parkNanos(1_000_000);
      }
    }
    return "nobody listened";
  }

  @Test
  void repeatedFailureIsLoggedOnce() throws Exception {
    ProxyFixture.UpstreamHost host = fixture.new UpstreamHost(h -> ok("done"));
    FailingDiscovery discovery =
        new FailingDiscovery(chunk("no list\n"), list(51, entry("old", host.address())));
    start(discovery, list(40, entry("old", host.address())));
    ProxyFixture.await(() -> discovery.requestNanos.size() > BAD_RESPONSES);
    assertThat(log.toString(StandardCharsets.UTF_8).lines().filter(l -> l.contains("watch:")))
        .hasSize(1);
  }

  /** Guards against changes without the list that they belong to, which would pass as an answer. */
  @Test
  void changesAheadOfTheListAreAFailure() throws Exception {
    ProxyFixture.UpstreamHost host = fixture.new UpstreamHost(h -> ok("done"));
    FailingDiscovery discovery =
        new FailingDiscovery(
            chunk(drainingDelta(50, "old", host.address()) + "\n"),
            list(51, entry("old", host.address())));
    start(discovery, "{}"); // no version to resume from
    ProxyFixture.await(() -> discovery.requestNanos.size() > BAD_RESPONSES);
    assertThat(log.toString(StandardCharsets.UTF_8).lines().filter(l -> l.contains("watch:")))
        .hasSize(1);
  }
}
