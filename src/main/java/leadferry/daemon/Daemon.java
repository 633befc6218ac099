package leadferry.daemon;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import leadferry.engine.AcceptBackoffHandler;
import leadferry.engine.Log;
import leadferry.engine.NativeTransport;
import leadferry.engine.NioTransport;
import leadferry.engine.Transport;
import leadferry.engine.UpstreamConnectionPool;

/**
 * The daemon from its start to its drain. Workers share nothing but limits and budgets; one loop
 * accepts and hands each connection to the next worker in turn, so that each has an equal number.
 *
 * <pre>
 *   file -> OperatorFile -> DaemonConfig -> Version --+--> Worker 1: fronts, pools, module instances
 *                                                     +--> Worker 2 ...
 * </pre>
 *
 * <p>A reload judges the file, binds what is new and only then puts the version in force on every
 * worker; a fault anywhere before leaves all as it was.
 */
public final class Daemon implements AutoCloseable {
  private static final int BACKLOG = 1_024;
  private static final long DRAIN_POLL_MILLIS = 10;

  /**
   * How long (ms) a socket that goes is still accepted from. Guards against clients that connected
   * and sent before they could know: closing at once would reset them in the backlog.
   */
  static final long ACCEPT_GRACE_MILLIS = 500;

  private final Path file;
  private final Log log;
  private final Transport transport;
  private final MultiThreadIoEventLoopGroup acceptor;
  private final MultiThreadIoEventLoopGroup workerGroup;
  private final Map<EventLoop, Worker> workers = new LinkedHashMap<>();
  private final Map<String, BoundListener> boundListeners = new HashMap<>();
  private final CountDownLatch terminated = new CountDownLatch(1);
  private ConfigurationSnapshot snapshot;
  private final FleetAgent fleetAgent;
  private final AutoCloseable replica;
  private Set<String> drainedEndpoints = Set.of();
  private boolean clientShedding;
  private boolean draining;

  /** A listener's socket; {@code asked} is the address in the file. */
  private record BoundListener(InetSocketAddress configuredAddress, Channel channel) {}

  /**
   * Starts a daemon by this file; {@code logs} gives it the log of the form that the file asks for.
   *
   * @throws FaultyFileException if the file is faulty, or a listener's address can't be had
   */
  public Daemon(Path file, Function<LogFormat, Log> logs) throws ConfigurationException {
    this(file, false, logs);
  }

  /**
   * As {@link #Daemon(Path, Function)}; {@code newReplica}: the replica that its file names never
   * had a log.
   */
  public Daemon(Path file, boolean newReplica, Function<LogFormat, Log> logs)
      throws ConfigurationException {
    this(file, OperatorFile.read(file), newReplica, logs, System.nanoTime());
  }

  private Daemon(
      Path file, DaemonConfig config, boolean newReplica, Function<LogFormat, Log> logs, long seed)
      throws ConfigurationException {
    this.file = file;
    this.log = logs.apply(config.process().logFormat());
    this.transport = transport(config.process().transport(), log);
    this.acceptor =
        new MultiThreadIoEventLoopGroup(
            1, new DefaultThreadFactory("accept", true), transport.ioHandlerFactory());
    this.workerGroup =
        new MultiThreadIoEventLoopGroup(
            config.process().workers(),
            new DefaultThreadFactory("worker", true),
            transport.ioHandlerFactory());
    for (int i = 0; i < config.process().workers(); i++) {
      EventLoop loop = (EventLoop) workerGroup.next();
      workers.put(
          loop, new Worker(loop, transport, i, config.process(), seed + 1_000_003L * i, log));
    }
    this.replica =
        config.fleet() == null || config.fleet().replica() == null
            ? null
            : startReplica(config, newReplica);
    this.fleetAgent = config.fleet() == null ? null : new FleetAgent(config.fleet(), this, log);
    if (fleetAgent != null) {
      fleetAgent.loadInitialView(
          config); // what the fleet has taken out is known before the first request
    }
    try {
      apply(config);
    } catch (ConfigurationException e) {
      close();
      throw e;
    }
    if (fleetAgent != null) {
      fleetAgent.onServing();
    }
  }

  /**
   * The replica beside the workers. Where it can't go on it ends alone: requests do not need it.
   */
  private AutoCloseable startReplica(DaemonConfig config, boolean fresh)
      throws ConfigurationException {
    String no;
    try {
      return new leadferry.consensus.Replica(
          config.fleet().replica(),
          fresh,
          log::line,
          t -> log.failure("the replica in this process can't go on", t));
    } catch (NoClassDefFoundError e) {
      no = "the log's library is missing: " + e.getMessage();
    } catch (java.io.IOException | RuntimeException e) {
      no = e.getMessage();
    }
    close();
    throw new ConfigurationException(
        List.of(
            new ConfigurationError(
                file.toString(), 0, "fleet.keeper_file", no, "a replica that can start")));
  }

  /**
   * Puts in force what the fleet has agreed: hosts that get nothing, and whether this process sends
   * its clients away.
   */
  synchronized void applyFleetView(Set<String> hosts, boolean sendAway) {
    boolean others = !hosts.equals(drainedEndpoints);
    drainedEndpoints = hosts;
    if (clientShedding != sendAway) {
      clientShedding = sendAway;
      log.line(clientShedding ? "out of service by the fleet's permit" : "back in service");
      workers.values().forEach(w -> w.loop().execute(() -> w.setClientShedding(sendAway)));
    }
    if (others && snapshot != null && !draining) {
      try {
        apply(snapshot.config);
      } catch (ConfigurationException e) {
        log.failure("what the fleet agreed", e); // nothing is bound anew by the same file
      }
    }
  }

  /** What workers tell of hosts, all of them together; waits for their loops. */
  Set<String> collectHosts(Function<Worker, Set<String>> of) {
    Set<String> out = new HashSet<>();
    for (Worker w : workers.values()) {
      out.addAll(w.loop().submit(() -> of.apply(w)).syncUninterruptibly().getNow());
    }
    return out;
  }

  /**
   * What became of requests since this process began, for the fleet; waits for the workers' loops.
   */
  com.fasterxml.jackson.databind.node.ObjectNode outcomeReport() {
    com.fasterxml.jackson.databind.node.ObjectNode out = leadferry.consensus.Json.object();
    for (Worker w : workers.values()) {
      w.loop().submit(() -> w.addOutcomesTo(out)).syncUninterruptibly();
    }
    return out;
  }

  /**
   * The sockets that were asked for; where Linux does not give them, those of the JDK and a line.
   */
  private static Transport transport(DaemonConfig.TransportType asked, Log log) {
    if (asked == DaemonConfig.TransportType.NIO) {
      return new NioTransport();
    }
    NativeTransport wanted =
        asked == DaemonConfig.TransportType.IO_URING
            ? NativeTransport.IO_URING
            : NativeTransport.EPOLL;
    Throwable missing = wanted.unavailabilityCause();
    if (missing == null) {
      return wanted;
    }
    log.line("transport " + wanted + " can't be had (" + missing + "): NIO in its place");
    return new NioTransport();
  }

  /** Judges a file and does nothing else; throws what is wrong with it. */
  public static void check(Path file) throws ConfigurationException {
    OperatorFile.read(file);
  }

  /**
   * Puts the file in force as it is now, the whole of it or nothing.
   *
   * @return whether it is in force; if not, the log tells every fault
   */
  public synchronized boolean reload() {
    if (draining) {
      return false;
    }
    try {
      DaemonConfig next = OperatorFile.read(file);
      DaemonConfig.Process was = snapshot.config.process();
      DaemonConfig.Process is = next.process();
      if (is.workers() != was.workers()
          || is.descriptors() != was.descriptors()
          || is.bodyMemoryMb() != was.bodyMemoryMb()
          || is.transport() != was.transport()
          || is.logFormat() != was.logFormat()
          || !java.util.Objects.equals(next.fleet(), snapshot.config.fleet())) {
        log.line(
            "workers, descriptors, body_memory_mb, transport, log and [fleet] change with a restart only");
      }
      apply(next);
      if (fleetAgent != null) {
        fleetAgent.onReload(next);
      }
      log.event("version " + snapshot.version + " in force", "version", snapshot.version);
      return true;
    } catch (ConfigurationException e) {
      for (ConfigurationError f : e.errors()) {
        log.event(
            "not taken: " + f,
            "file",
            f.file(),
            "line",
            f.line(),
            "key",
            f.key(),
            "found",
            f.found(),
            "expected",
            f.expected());
      }
      return false;
    }
  }

  private void apply(DaemonConfig config) throws ConfigurationException {
    Map<String, BoundListener> fresh = bindNewListeners(config);
    ConfigurationSnapshot next =
        new ConfigurationSnapshot(config, drainedEndpoints, snapshot, System.currentTimeMillis());
    List<Future<?>> applied = new ArrayList<>();
    for (Worker w : workers.values()) {
      applied.add(w.loop().submit(() -> w.apply(next)));
    }
    for (Future<?> f : applied) {
      f.syncUninterruptibly();
    }
    snapshot = next;
    // Only now does the first connection of a new listener find a front on every worker.
    boundListeners
        .entrySet()
        .removeIf(
            e -> {
              DaemonConfig.Listener l = config.listeners().get(e.getKey());
              boolean gone = l == null || !l.address().equals(e.getValue().configuredAddress());
              if (gone) {
                closeAfterGrace(e.getValue().channel());
              }
              return gone;
            });
    boundListeners.putAll(fresh);
    fresh.values().forEach(b -> b.channel().config().setAutoRead(true));
  }

  private static void closeAfterGrace(Channel listener) {
    listener
        .eventLoop()
        .schedule(() -> listener.close(), ACCEPT_GRACE_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Binds every address that is not bound yet, or none. */
  private Map<String, BoundListener> bindNewListeners(DaemonConfig config)
      throws ConfigurationException {
    Map<String, BoundListener> fresh = new HashMap<>();
    List<ConfigurationError> faults = new ArrayList<>();
    for (DaemonConfig.Listener l : config.listeners().values()) {
      BoundListener b = boundListeners.get(l.name());
      if (b != null && b.configuredAddress().equals(l.address())) {
        continue;
      }
      ChannelFuture f = bind(l).awaitUninterruptibly();
      if (f.isSuccess()) {
        fresh.put(l.name(), new BoundListener(l.address(), f.channel()));
      } else {
        faults.add(
            new ConfigurationError(
                file.toString(),
                0,
                "listener." + l.name() + ".address",
                f.cause().getMessage(),
                "an address that can be listened on"));
      }
    }
    if (!faults.isEmpty()) {
      fresh.values().forEach(b -> b.channel().close());
      throw new ConfigurationException(faults);
    }
    return fresh;
  }

  private ChannelFuture bind(DaemonConfig.Listener l) {
    return new ServerBootstrap()
        .group(acceptor, workerGroup)
        .channel(transport.listenerType())
        .option(ChannelOption.SO_BACKLOG, BACKLOG)
        .option(ChannelOption.SO_REUSEADDR, true)
        .option(ChannelOption.AUTO_READ, false)
        .handler(
            new ChannelInitializer<ServerChannel>() {
              @Override
              protected void initChannel(ServerChannel listener) {
                listener
                    .pipeline()
                    .addLast(new AcceptBackoffHandler(log.withField("listener", l.name())::line));
              }
            })
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.RECVBUF_ALLOCATOR, UpstreamConnectionPool.READ_BUFFER_ALLOCATOR)
        .childOption(
            ChannelOption.WRITE_BUFFER_WATER_MARK, UpstreamConnectionPool.WRITE_BUFFER_WATER_MARK)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel ch) {
                workers.get(ch.eventLoop()).onAccepted(l.name(), ch);
              }
            })
        .bind(l.address());
  }

  /** Where the listener of that name is bound, or null. */
  public synchronized InetSocketAddress address(String listener) {
    BoundListener b = boundListeners.get(listener);
    return b == null ? null : (InetSocketAddress) b.channel().localAddress();
  }

  /** The workers' loops. */
  Set<EventLoop> eventLoops() {
    return workers.keySet();
  }

  /** The number of the version in force, from 1. */
  public synchronized long version() {
    return snapshot.version;
  }

  /** Begins the end: new connections for half a second more, all that was taken is answered. */
  public synchronized void drain() {
    if (draining) {
      return;
    }
    draining = true;
    log.line("draining");
    if (fleetAgent != null) {
      fleetAgent.onDraining();
    }
    boundListeners.values().forEach(b -> closeAfterGrace(b.channel()));
    workers.values().forEach(w -> w.loop().execute(w::drain));
    long until = System.nanoTime() + snapshot.config.process().drainMillis() * 1_000_000L;
    acceptor
        .next()
        .schedule(
            () -> pollDrain(until), ACCEPT_GRACE_MILLIS + DRAIN_POLL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void pollDrain(long until) {
    CompletableFuture<?>[] asked = new CompletableFuture<?>[workers.size()];
    boolean[] busy = new boolean[workers.size()];
    int i = 0;
    for (Worker w : workers.values()) {
      int at = i++;
      asked[at] = CompletableFuture.runAsync(() -> busy[at] = w.hasPendingRequests(), w.loop());
    }
    CompletableFuture.allOf(asked)
        .whenComplete(
            (x, failure) -> {
              boolean any = false;
              for (boolean b : busy) {
                any |= b;
              }
              boolean late = System.nanoTime() >= until;
              if (any && !late) {
                acceptor
                    .next()
                    .schedule(() -> pollDrain(until), DRAIN_POLL_MILLIS, TimeUnit.MILLISECONDS);
              } else {
                log.line(any ? "drain cut short by its time" : "drained");
                if (fleetAgent == null) {
                  terminated.countDown();
                } else {
                  // Its replica goes last: the member's own word may need it.
                  fleetAgent.onDrained(!any, this::finish);
                }
              }
            });
  }

  /** Waits until the drain is over. */
  public void awaitTermination() throws InterruptedException {
    terminated.await();
  }

  private void finish() {
    if (replica != null) {
      try {
        replica.close();
      } catch (Exception e) {
        log.failure("the end of the replica", e);
      }
    }
    terminated.countDown();
  }

  /** Ends all at once. */
  @Override
  public void close() {
    if (fleetAgent != null) {
      fleetAgent.close();
    }
    acceptor.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    workerGroup.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    finish();
  }
}
