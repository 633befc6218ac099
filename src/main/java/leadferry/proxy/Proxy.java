package leadferry.proxy;

import io.netty.channel.ChannelException;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.Future;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import leadferry.engine.BackgroundWriter;
import leadferry.engine.BodyBudget;
import leadferry.engine.Dispatcher;
import leadferry.engine.LineLog;
import leadferry.engine.Log;
import leadferry.engine.NioTransport;
import leadferry.engine.Signals;
import leadferry.engine.SocketSlack;
import leadferry.engine.Sockets;
import leadferry.engine.Transport;
import leadferry.engine.UpstreamConnectionPool;
import leadferry.http.HttpProtocol;
import leadferry.http.HttpServer;
import leadferry.http.HttpServerSettings;
import leadferry.loadbalancer.Settings;

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

  /**
   * SIGKILL comes no sooner than the longest deadline, of which no more than this (ms) counts, and
   * 0.7 s.
   */
  private static final double LONGEST_MS = 3_000;

  /**
   * What is open so long (ms) past the longest deadline is given up, so that its answer is out
   * before SIGKILL.
   */
  private static final long GIVE_UP_MS = 500;

  /** And what is not written then, a little later, has nobody who reads it (ms). */
  private static final long LAST_MS = 600;

  private static final long POLL_MS = 10;

  /** For how long (ms) the clients' address is tried, and how often. */
  private static final long LISTEN_TRIES_MS = 1_000;

  private static final long LISTEN_RETRY_MS = 20;

  /** How long (ms) the end waits for the last lines of the log to be written. */
  private static final long LAST_LINES_MS = 50;

  /** How often (ms) two processes tell each other what they hold. */
  private static final long COMPARE_MS = 20;

  /** A configuration that can't be read may be half written: it is read so often, so far apart. */
  private static final int RELOAD_TRIES = 10;

  private static final long RELOAD_RETRY_MS = 150;

  /**
   * A line for each request and attempt that failed and each connection closed, where this variable
   * is 1; for incidents.
   */
  private static final String LOG_DETAILS = "BALANCER_LOG_DETAILS";

  /** How long (ms) a process that takes over from another waits for discovery before it listens. */
  private static final long TOLD_MS = 1_500;

  /**
   * And any other, as a part of the drain's grace: an agent on the same machine answers at once, or
   * is silent.
   */
  private static final double TOLD_PART = 0.5;

  private final OperatorState operators;
  private final HotRestart generations;
  private final Sockets sockets;
  private final BodyBudget budget;
  private Config config;
  private final MultiThreadIoEventLoopGroup group;
  private final EventLoop loop;
  private final PlatformRequestFilter gate;
  private final HttpServer front;
  private final UpstreamConnectionPool upstreams;
  private final Dispatcher dispatcher;
  private final Discovery discovery;
  private final Peers peers;
  private final CountDownLatch ended = new CountDownLatch(1);
  private final Log log;
  private Future<?> reload;
  private Future<?> settling;
  private volatile WatchedFile watched;
  private boolean shared;
  private boolean sentAway;
  private boolean takenOver;
  private long drainUntil;
  private long acceptUntil;
  private long giveUpAt;

  /** Counted down once it listens, or never will: an end that is asked for before waits so long. */
  private final CountDownLatch started = new CountDownLatch(1);

  private volatile boolean listens;

  Proxy(Config config, OperatorState operators, HotRestart generations, Log log) {
    this.config = config;
    this.operators = operators;
    this.generations = generations;
    this.log = log;
    this.group =
        new MultiThreadIoEventLoopGroup(
            1, new DefaultThreadFactory("loop", true), TRANSPORT.loops());
    this.loop = (EventLoop) group.next();
    this.sockets =
        new Sockets(config.sockets() - (config.management() == null ? 0 : Management.MOST));
    this.budget = new BodyBudget(0);
    share(generations.others());
    this.upstreams =
        new UpstreamConnectionPool(
            loop, TRANSPORT, HttpProtocol.PLATFORM, config.bounds(), sockets, log);
    this.dispatcher =
        new Dispatcher(null, loop, config.settings(), config.seed(), upstreams, budget, log);
    this.gate = new PlatformRequestFilter(dispatcher, config.settings(), operators);
    this.front =
        new HttpServer(
            HttpServerSettings.platform(config.maxOpen()), gate, TRANSPORT, sockets, budget, log);
    this.discovery = new Discovery(group, config, dispatcher, log);
    PeerAddresses others = config.peers();
    this.peers = others == null ? null : new Peers(others, dispatcher::heard, log);
    if (peers != null) {
      dispatcher.join(config.seed(), peers::tell);
    }
  }

  /** Goes by the whole of the limits, or by what another process leaves of them. */
  private void share(HotRestart.Standing others) {
    shared = others != null;
    long mb = config.memoryMb() - (shared ? 2 : 1) * BASE_MB;
    long bodies = Math.max(LEAST_BODIES_MB, Math.min(MOST_BODIES_MB, mb)) << 20;
    if (others == null) {
      sockets.alone();
      budget.limit(bodies);
    } else {
      sockets.shared(others.clients(), others.upstreams());
      budget.limit(Math.max(LEAST_BODIES_MB << 19, bodies - others.bodies()));
    }
  }

  /** Tells the other processes of this one, and asks about them: often while there are any. */
  private void compare() {
    try {
      generations.tell(
          new HotRestart.Standing(
              listening(), sockets.clients(), sockets.upstreams(), budget.used()));
      share(generations.others());
    } catch (RuntimeException e) {
      log.failure("processes could not be compared", e); // the next time, then
    }
    loop.schedule(this::compare, shared ? COMPARE_MS : SWEEP_MS, TimeUnit.MILLISECONDS);
  }

  /**
   * Runs a client proxy as the environment describes it, until SIGTERM has been carried out.
   *
   * @throws ConfigException if there is no configuration to run with
   */
  public static void run(Map<String, String> env) throws ConfigException {
    InternalLoggerFactory.setDefaultFactory(
        JdkLoggerFactory.INSTANCE); // or netty loads the daemon's log
    BackgroundWriter writer = new BackgroundWriter(System.err);
    Log log = new LineLog(writer::write, "1".equals(env.get(LOG_DETAILS)));
    Config config = Config.load(env);
    HotRestart generations = HotRestart.join(env.get("TMPDIR"));
    OperatorState operators = new OperatorState();
    if (config.management() != null) {
      listen(
          new Management(operators::serves, operators::sendAway, operators::takeBack, log), config);
    }
    WarmUp.run(config, generations.others() != null, log);
    Proxy p = new Proxy(config, operators, generations, log);
    String file = env.get("BALANCER_CONFIG");
    if (!Signals.onHangup(() -> p.reload(file))) {
      log.line(
          "SIGHUP is ignored in this process: the configuration's time and size are looked at in its place");
      p.watch(file);
    }
    // Ahead of the listener. Guards what is taken in the first moment: a SIGTERM with no hook ends
    // the process at once.
    Runtime.getRuntime().addShutdownHook(new Thread(() -> p.end(writer), "drain"));
    p.start();
    p.awaitEnd();
  }

  /**
   * Carries out SIGTERM. An exit by it is status 143 to the JVM, and a drain that is done is a
   * success.
   */
  private void end(BackgroundWriter writer) {
    try {
      started.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    if (listens) {
      drain();
      awaitEnd();
      writer.flush(LAST_LINES_MS);
      Runtime.getRuntime().halt(0);
    }
  }

  /** Operators are heard from the first moment on. */
  private static void listen(Management management, Config config) throws ConfigException {
    try {
      management.listen(config.management());
    } catch (Exception e) {
      throw new ConfigException("can't listen on " + config.management() + ": " + e.getMessage());
    }
  }

  /** Runs only what comes before a client proxy listens, with classes of its own. */
  public static void warmUp() {
    InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    WarmUp.run(Config.example(), false, new LineLog(System.err, false));
  }

  /** Takes up the configuration whenever its file changes from now on. */
  void watch(String file) {
    watched = new WatchedFile(Path.of(file));
  }

  /** Starts the watch, and listens once it has been told of the hosts or has waited for that. */
  void start() throws ConfigException {
    try {
      loop.submit(() -> discovery.start(config.known())).sync();
      if (peers != null) {
        peers.start(loop);
      }
      awaitList();
      listen();
      listens = true;
      loop.submit(this::compare).sync();
      operators.onChange(() -> loop.execute(this::followOperators));
      loop.submit(this::followOperators).sync(); // what was asked before
      loop.submit(this::sweep).sync();
    } catch (Exception e) {
      group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
      if (e instanceof SocketException || e instanceof ChannelException) {
        throw new ConfigException("can't listen on " + config.listen() + ": " + e.getMessage());
      }
      throw new ConfigException("can't start: " + e);
    } finally {
      started.countDown();
    }
    loop.scheduleAtFixedRate(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
  }

  /**
   * Listens, and tries again for a while where the system has no socket or buffer at the moment, or
   * the address is not free yet. Guards a start against a shortage that passes: a process that ends
   * there is a crash.
   */
  private void listen() throws Exception {
    long until = System.nanoTime() + LISTEN_TRIES_MS * 1_000_000;
    while (true) {
      try {
        front.listen(group, config.listen());
        return;
      } catch (Exception e) {
        boolean passes = e instanceof SocketException || e instanceof ChannelException;
        if (!passes || System.nanoTime() > until) {
          throw e;
        }
        Thread.sleep(LISTEN_RETRY_MS);
      }
    }
  }

  /**
   * Waits for discovery's list. Guards against a new process that goes by the old list of its
   * configuration: what discovery has counts as told from its first moment, so a host that drains
   * already has no grace left. Where discovery is down it makes the start longer by as much.
   */
  private void awaitList() throws Exception {
    double most = shared ? TOLD_MS : Math.min(TOLD_MS, TOLD_PART * config.drainGrace());
    long until = System.nanoTime() + (long) (most * 1e6);
    while (!loop.submit(discovery::isConfirmed).get() && System.nanoTime() < until) {
      Thread.sleep(POLL_MS);
    }
  }

  InetSocketAddress address() {
    return (InetSocketAddress) front.listener().localAddress();
  }

  private void followOperators() {
    if (operators.sentAway() != sentAway && drainUntil == 0) {
      sentAway = !sentAway;
      log.line(sentAway ? "clients are sent away" : "clients are taken back");
      front.sendAway(sentAway);
    }
  }

  /** Whether its own socket takes clients. */
  boolean listening() {
    return front.listener().isOpen();
  }

  private void sweep() {
    try {
      if (drainUntil == 0 && dispatcher.anySendable()) {
        operators.serves(true);
      }
      dispatcher.sweep();
      front.sweep();
      discovery.sweep();
      if (watched != null && watched.changed()) {
        reload(watched.file().toString());
      }
    } catch (RuntimeException e) {
      // Guards against a periodic task that ends for ever with its first exception.
      log.failure("upkeep failed", e);
    }
  }

  /**
   * Takes up a new configuration: its settings, and the discovery it names; all else takes a
   * restart. Guards against a file that is bad or still being written: it is read again for a
   * while, and what runs goes on as it was, whole, if it never becomes good.
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
      Config next = config.next(Path.of(file));
      if (!next.settings().equals(config.settings())) {
        retune(next.settings());
      }
      config = config.with(next);
      upstreams.bounds(config.bounds());
      log.line("configuration read again, discovery at " + next.discovery());
      discovery.moveTo(next.discovery());
    } catch (ConfigException | RuntimeException e) {
      if (tries > 1) {
        reload =
            loop.schedule(() -> tryReload(file, tries - 1), RELOAD_RETRY_MS, TimeUnit.MILLISECONDS);
      } else {
        log.line("configuration kept as it was: " + e.getMessage());
      }
    }
  }

  /** Other settings from now on; for a while, clients may not know it. */
  private void retune(Settings next) {
    gate.settings(next);
    log.line("other settings in force");
    if (settling != null) {
      settling.cancel(false);
    }
    settling = loop.schedule(gate::settled, SettingsReload.OLD_FORM_MS, TimeUnit.MILLISECONDS);
  }

  /**
   * Begins the end: all that was taken is answered, then the process may go.
   *
   * <pre>
   *   SIGTERM           new connections end         longest deadline       given up   cut short   SIGKILL
   *   |-- accepts, answers ask to leave --|-- nobody may stay; -----------------|---------|----------|
   *   0                                 0.8 s   once all are gone, ends      + 0.5 s   + 0.6 s    + 0.7 s
   * </pre>
   *
   * It ends with no connection open. Guards against a request that is written to one between the
   * last look and the end.
   */
  void drain() {
    loop.execute(
        () -> {
          double longest = 0;
          for (var c : config.settings().classes()) {
            longest = Math.max(longest, c.deadline());
          }
          longest = Math.min(longest, LONGEST_MS);
          long now = System.nanoTime();
          giveUpAt = now + (long) ((longest + GIVE_UP_MS) * 1e6);
          drainUntil = now + (long) ((longest + LAST_MS) * 1e6);
          operators.serves(false);
          takenOver = anotherListens();
          if (takenOver) {
            // The other process has the clients; whoever is still here leaves with its next answer.
            log.line("draining, another process listens");
            front.leaveListening();
            front.sendAway(true);
          } else {
            log.line("draining");
            acceptUntil = now + ACCEPT_MS * 1_000_000;
            gate.drain();
            front.drain();
          }
          pollDrain();
        });
  }

  /** Whether another process has the clients' address; no, where that can't be found out. */
  private boolean anotherListens() {
    try {
      HotRestart.Standing others = generations.others();
      return others != null && others.listens();
    } catch (RuntimeException e) {
      log.failure("other processes could not be looked for", e);
      return false;
    }
  }

  /** Guards against an end that never comes, as one step of it failed. */
  private void pollDrain() {
    try {
      stepOfDrain();
    } catch (RuntimeException e) {
      log.failure("a step of the drain failed", e);
      if (System.nanoTime() < drainUntil) {
        loop.schedule(this::pollDrain, POLL_MS, TimeUnit.MILLISECONDS);
      } else {
        ended.countDown();
      }
    }
  }

  private void stepOfDrain() {
    long now = System.nanoTime();
    if (now >= giveUpAt) {
      front.giveUp(); // of a class with a longer time than SIGKILL leaves, or one that a reload has
      // dropped
    }
    if (!takenOver && now >= acceptUntil) {
      // Guards a request that crossed such a close: its client sends it once more, on a new
      // connection.
      acceptUntil = front.clear() ? Math.min(giveUpAt, now + SocketSlack.NANOS) : acceptUntil;
      if (listening() && ((front.empty() && now >= acceptUntil) || now >= giveUpAt)) {
        front.leaveListening(); // whom it lets in is waited for, too
      }
    }
    boolean done = now >= acceptUntil && front.empty() && !listening();
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

  /** Requests that are not over, or whose attempts are not; on its loop. */
  int open() {
    return dispatcher.open();
  }

  /** Whether the host of that name may get work; on its loop. */
  boolean sends(String host) {
    return dispatcher.sends(host);
  }

  /** What it holds of descriptors; on its loop. */
  Sockets sockets() {
    return sockets;
  }

  /** The loop on which all of it runs. */
  EventLoop loop() {
    return loop;
  }

  /** Ends the loop at once. */
  void stop() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    ended.countDown();
  }
}
