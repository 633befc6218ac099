package corkproxy.proxy;

import corkproxy.engine.BodyBudget;
import corkproxy.engine.Dispatcher;
import corkproxy.engine.Log;
import corkproxy.engine.NioTransport;
import corkproxy.engine.PoolBounds;
import corkproxy.engine.Signals;
import corkproxy.engine.Sockets;
import corkproxy.engine.Transport;
import corkproxy.engine.Upstreams;
import corkproxy.http.Front;
import corkproxy.http.FrontSettings;
import corkproxy.http.HttpProtocol;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.Future;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** One client proxy: all of it on one event loop thread, from its start to its drain. */
public final class Proxy {
  private static final Transport TRANSPORT = new NioTransport();

  /** What the JVM takes of the memory limit besides bodies. */
  private static final long BASE_MB = 88;

  private static final long LEAST_BODIES_MB = 8;
  private static final long MOST_BODIES_MB = 80;
  private static final long SWEEP_MS = 200;

  /** After SIGTERM new connections come for 0.4 s at most; they are accepted for longer (ms). */
  private static final long ACCEPT_MS = 800;

  /** SIGKILL comes no sooner than the longest deadline and 0.7 s; a margin is kept (ms). */
  private static final long LAST_MS = 600;

  private static final long POLL_MS = 10;

  /** A configuration that can't be read may be half written: it is read so often, so far apart. */
  private static final int RELOAD_TRIES = 10;

  private static final long RELOAD_RETRY_MS = 150;

  private final Config config;
  private final MultiThreadIoEventLoopGroup group;
  private final EventLoop loop;
  private final PlatformGate gate;
  private final Front front;
  private final Dispatcher dispatcher;
  private final Discovery discovery;
  private final CountDownLatch ended = new CountDownLatch(1);
  private final Log log;
  private Future<?> reload;
  private long drainUntil;
  private long acceptUntil;

  Proxy(Config config, Log log) {
    this.config = config;
    this.log = log;
    this.group =
        new MultiThreadIoEventLoopGroup(
            1, new DefaultThreadFactory("loop", true), TRANSPORT.loops());
    this.loop = (EventLoop) group.next();
    Sockets sockets = new Sockets(config.sockets());
    long bodies =
        Math.max(LEAST_BODIES_MB, Math.min(MOST_BODIES_MB, config.memoryMb() - BASE_MB));
    BodyBudget budget = new BodyBudget(bodies << 20);
    Upstreams upstreams =
        new Upstreams(
            loop,
            TRANSPORT,
            HttpProtocol.PLATFORM,
            PoolBounds.unbounded(config.connIdle(), config.connectTimeout()),
            sockets,
            log);
    this.dispatcher =
        new Dispatcher(loop, config.settings(), config.seed(), upstreams, budget, log);
    this.gate = new PlatformGate(dispatcher, config.settings());
    this.front =
        new Front(FrontSettings.platform(config.maxOpen()), gate, sockets, budget, log);
    this.discovery = new Discovery(group, config, dispatcher, log);
  }

  /**
   * Runs a client proxy as the environment describes it, until SIGTERM has been carried out.
   *
   * @throws ConfigException if there is no configuration to run with
   */
  public static void run(Map<String, String> env) throws ConfigException {
    Log log = new Log(System.err);
    Config config = Config.load(env);
    Rehearsal.run(config, log);
    Proxy p = new Proxy(config, log);
    String file = env.get("BALANCER_CONFIG");
    if (!Signals.onHangup(() -> p.reload(file))) {
      log.line("SIGHUP can't be handled here: a new configuration needs a restart");
    }
    p.start();
    // An exit by SIGTERM is status 143 to the JVM, and a drain that is done is a success.
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  p.drain();
                  p.awaitEnd();
                  Runtime.getRuntime().halt(0);
                },
                "drain"));
    p.awaitEnd();
  }

  /** Runs only what comes before a client proxy listens, with classes of its own. */
  public static void rehearse() {
    Rehearsal.run(Config.example(), new Log(System.err));
  }

  /** Listens and starts the watch. */
  void start() throws ConfigException {
    try {
      loop.submit(() -> discovery.start(config.known())).sync();
      front.listen(group, config.listen());
    } catch (Exception e) {
      group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
      if (e instanceof BindException || e instanceof SocketException) {
        throw new ConfigException("can't listen on " + config.listen() + ": " + e.getMessage());
      }
      throw new ConfigException("can't start: " + e);
    }
    loop.scheduleAtFixedRate(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
  }

  InetSocketAddress address() {
    return (InetSocketAddress) front.listener().localAddress();
  }

  private void sweep() {
    try {
      dispatcher.sweep();
      front.sweep();
      discovery.sweep();
    } catch (RuntimeException e) {
      // Guards against a periodic task that ends for ever with its first exception.
      log.failure("upkeep failed", e);
    }
  }

  /**
   * Takes up a new configuration: the watch moves to the discovery it names, all else takes a
   * restart. Guards against a file that is bad or still being written: it is read again for a
   * while, and what runs goes on as it was if it never becomes good.
   */
  void reload(String file) {
    loop.execute(
        () -> {
          if (reload != null) {
            reload.cancel(false);
          }
          tryReload(file, RELOAD_TRIES);
        });
  }

  private void tryReload(String file, int tries) {
    reload = null;
    try {
      // Only the file is new; the environment is that of the start.
      InetSocketAddress to = Config.load(Map.of("BALANCER_CONFIG", file)).discovery();
      log.line("configuration read again, discovery at " + to);
      discovery.moveTo(to);
    } catch (ConfigException | RuntimeException e) {
      if (tries > 1) {
        reload =
            loop.schedule(
                () -> tryReload(file, tries - 1), RELOAD_RETRY_MS, TimeUnit.MILLISECONDS);
      } else {
        log.line("configuration kept as it was: " + e.getMessage());
      }
    }
  }

  /** Begins the end: all that was taken is answered, then the process may go. */
  void drain() {
    loop.execute(
        () -> {
          double longest = 0;
          for (var c : config.settings().classes()) {
            longest = Math.max(longest, c.deadline());
          }
          long now = System.nanoTime();
          acceptUntil = now + ACCEPT_MS * 1_000_000;
          drainUntil = now + (long) ((longest + LAST_MS) * 1e6);
          log.line("draining");
          gate.drain();
          front.drain();
          pollDrain();
        });
  }

  private void pollDrain() {
    long now = System.nanoTime();
    boolean done = now >= acceptUntil && !front.busy();
    if (done || now >= drainUntil) {
      log.line(done ? "drained" : "drain cut short by its time");
      front.listener().close();
      ended.countDown();
    } else {
      loop.schedule(this::pollDrain, POLL_MS, TimeUnit.MILLISECONDS);
    }
  }

  void awaitEnd() {
    try {
      ended.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Ends the loop at once. */
  void stop() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    ended.countDown();
  }
}
