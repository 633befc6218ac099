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
import leadferry.engine.ErrorContainment;
import leadferry.engine.Log;
import leadferry.engine.NativeTransport;
import leadferry.engine.NioTransport;
import leadferry.engine.Transport;
import leadferry.engine.UpstreamConnectionPool;

/**
 * Runs the daemon from its start to its drain.
 *
 * <p>Workers share only limits and budgets. One event loop accepts all connections and assigns them
 * to the workers in turn, so each worker has an equal number.
 *
 * <pre>
 *   file -> OperatorFile -> DaemonConfig -> ConfigurationSnapshot --+--> Worker 1: servers, pools
 *                                                                   +--> Worker 2 ...
 * </pre>
 *
 * <p>A reload checks the file and binds new listeners before any worker applies the snapshot; an
 * error in either step leaves the present configuration unchanged.
 */
public final class Daemon implements AutoCloseable {
  private static final int BACKLOG = 1_024;
  private static final long DRAIN_POLL_MILLIS = 10;

  /**
   * Time for which a listener that is to close still accepts connections. Guards against reset
   * connections: a client may have connected and sent a request before it could know of the close,
   * and closing at once would reset all connections in the backlog.
   */
  static final long ACCEPT_GRACE_MILLIS = 500;

  private final Path file;
  private final Log log;
  private final Transport transport;
  private volatile boolean closing;
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

  /**
   * Socket of a listener.
   *
   * @param configuredAddress address in the operator's file
   */
  private record BoundListener(InetSocketAddress configuredAddress, Channel channel) {}

  /**
   * Starts a daemon with the configuration in a file.
   *
   * @param file the operator's file
   * @param logs returns the log for a format; called once, with the format in the file
   * @throws ConfigurationException if the file is invalid or a listener's address can't be bound
   */
  public Daemon(Path file, Function<LogFormat, Log> logs) throws ConfigurationException {
    this(file, false, logs);
  }

  /**
   * Starts a daemon, as {@link #Daemon(Path, Function)} does.
   *
   * @param newReplica whether the replica that the file names has never had a log
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
            1,
            new DefaultThreadFactory("accept", true),
            ErrorContainment.wrap(transport.ioHandlerFactory(), log));
    this.workerGroup =
        new MultiThreadIoEventLoopGroup(
            config.process().workers(),
            new DefaultThreadFactory("worker", true),
            ErrorContainment.wrap(transport.ioHandlerFactory(), log));
    for (int index = 0; index < config.process().workers(); index++) {
      EventLoop loop = (EventLoop) workerGroup.next();
      workers.put(
          loop,
          new Worker(loop, transport, index, config.process(), seed + 1_000_003L * index, log));
    }
    this.replica =
        config.fleet() == null || config.fleet().replica() == null
            ? null
            : startReplica(config, newReplica);
    this.fleetAgent = config.fleet() == null ? null : new FleetAgent(config.fleet(), this, log);
    if (fleetAgent != null) {
      // The first request already avoids the endpoints that are out of service.
      fleetAgent.loadInitialView(config);
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
   * Starts the replica that runs in this process. A failure while it runs stops the replica alone:
   * requests do not depend on it.
   */
  private AutoCloseable startReplica(DaemonConfig config, boolean isNew)
      throws ConfigurationException {
    String cause;
    try {
      return new leadferry.consensus.Replica(
          config.fleet().replica(),
          isNew,
          log::line,
          t -> log.failure("replica in this process failed", t));
    } catch (NoClassDefFoundError e) {
      cause = "the log's library is missing: " + e.getMessage();
    } catch (java.io.IOException | RuntimeException e) {
      cause = e.getMessage();
    }
    close();
    throw new ConfigurationException(
        List.of(
            new ConfigurationError(
                file.toString(), 0, "fleet.keeper_file", cause, "a replica that can start")));
  }

  /**
   * Applies the fleet's state.
   *
   * @param drained endpoints that get no requests
   * @param shedClients whether this process closes client connections so that clients go to other
   *     proxies
   */
  synchronized void applyFleetView(Set<String> drained, boolean shedClients) {
    boolean endpointsChanged = !drained.equals(drainedEndpoints);
    drainedEndpoints = drained;
    if (clientShedding != shedClients) {
      clientShedding = shedClients;
      log.line(clientShedding ? "out of service by an eviction grant" : "back in service");
      workers
          .values()
          .forEach(worker -> worker.loop().execute(() -> worker.setClientShedding(shedClients)));
    }
    if (endpointsChanged && snapshot != null && !draining) {
      try {
        apply(snapshot.config);
      } catch (ConfigurationException e) {
        // Unexpected: the listeners are unchanged, so no bind can fail.
        log.failure("applying the fleet's view failed", e);
      }
    }
  }

  /**
   * Returns the union of one set of host names of each worker. Blocks until each worker's loop has
   * run.
   */
  Set<String> collectHosts(Function<Worker, Set<String>> hostsOfWorker) {
    Set<String> hosts = new HashSet<>();
    for (Worker worker : workers.values()) {
      hosts.addAll(
          worker.loop().submit(() -> hostsOfWorker.apply(worker)).syncUninterruptibly().getNow());
    }
    return hosts;
  }

  /**
   * Returns the outcomes of requests since the start of the process, for the fleet. Blocks until
   * each worker's loop has run.
   */
  com.fasterxml.jackson.databind.node.ObjectNode outcomeReport() {
    com.fasterxml.jackson.databind.node.ObjectNode report = leadferry.consensus.Json.object();
    for (Worker worker : workers.values()) {
      worker.loop().submit(() -> worker.addOutcomesTo(report)).syncUninterruptibly();
    }
    return report;
  }

  /**
   * Returns the configured transport, or the JDK's NIO transport where the native one is
   * unavailable.
   */
  private static Transport transport(DaemonConfig.TransportType configured, Log log) {
    if (configured == DaemonConfig.TransportType.NIO) {
      return new NioTransport();
    }
    NativeTransport wanted =
        configured == DaemonConfig.TransportType.IO_URING
            ? NativeTransport.IO_URING
            : NativeTransport.EPOLL;
    Throwable unavailabilityCause = wanted.unavailabilityCause();
    if (unavailabilityCause == null) {
      return wanted;
    }
    log.line("transport " + wanted + " unavailable (" + unavailabilityCause + "): using NIO");
    return new NioTransport();
  }

  /**
   * Checks a file without starting anything.
   *
   * @throws ConfigurationException with every error in the file
   */
  public static void check(Path file) throws ConfigurationException {
    OperatorFile.read(file);
  }

  /**
   * Reloads the file; either all of it takes effect or nothing does.
   *
   * @return whether the new configuration took effect; if not, each error has been logged
   */
  public synchronized boolean reload() {
    if (draining) {
      return false;
    }
    try {
      DaemonConfig next = OperatorFile.read(file);
      DaemonConfig.Process current = snapshot.config.process();
      DaemonConfig.Process updated = next.process();
      if (updated.workers() != current.workers()
          || updated.descriptors() != current.descriptors()
          || updated.bodyMemoryMb() != current.bodyMemoryMb()
          || updated.transport() != current.transport()
          || updated.logFormat() != current.logFormat()
          || !java.util.Objects.equals(next.fleet(), snapshot.config.fleet())) {
        log.line(
            "workers, descriptors, body_memory_mb, transport, log and [fleet] take effect only after a restart");
      }
      apply(next);
      if (fleetAgent != null) {
        fleetAgent.onReload(next);
      }
      log.event("version " + snapshot.version + " in force", "version", snapshot.version);
      return true;
    } catch (ConfigurationException e) {
      for (ConfigurationError error : e.errors()) {
        log.event(
            "reload rejected: " + error,
            "file",
            error.file(),
            "line",
            error.line(),
            "key",
            error.key(),
            "found",
            error.found(),
            "expected",
            error.expected());
      }
      return false;
    }
  }

  private void apply(DaemonConfig config) throws ConfigurationException {
    Map<String, BoundListener> newListeners = bindNewListeners(config);
    ConfigurationSnapshot next =
        new ConfigurationSnapshot(config, drainedEndpoints, snapshot, System.currentTimeMillis());
    List<Future<?>> applied = new ArrayList<>();
    for (Worker worker : workers.values()) {
      applied.add(worker.loop().submit(() -> worker.apply(next)));
    }
    for (Future<?> future : applied) {
      future.syncUninterruptibly();
    }
    snapshot = next;
    // Every worker has a server for each new listener by now, so accepting can begin.
    boundListeners
        .entrySet()
        .removeIf(
            entry -> {
              DaemonConfig.Listener listener = config.listeners().get(entry.getKey());
              boolean removed =
                  listener == null
                      || !listener.address().equals(entry.getValue().configuredAddress());
              if (removed) {
                closeAfterGrace(entry.getValue().channel());
              }
              return removed;
            });
    boundListeners.putAll(newListeners);
    newListeners.values().forEach(newListener -> newListener.channel().config().setAutoRead(true));
  }

  private static void closeAfterGrace(Channel listener) {
    listener
        .eventLoop()
        .schedule(() -> listener.close(), ACCEPT_GRACE_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Binds the listeners that have no socket at their address yet. Binds none where one fails. */
  private Map<String, BoundListener> bindNewListeners(DaemonConfig config)
      throws ConfigurationException {
    Map<String, BoundListener> newListeners = new HashMap<>();
    List<ConfigurationError> errors = new ArrayList<>();
    for (DaemonConfig.Listener listener : config.listeners().values()) {
      BoundListener existing = boundListeners.get(listener.name());
      if (existing != null && existing.configuredAddress().equals(listener.address())) {
        continue;
      }
      ChannelFuture bindFuture = bind(listener).awaitUninterruptibly();
      if (bindFuture.isSuccess()) {
        newListeners.put(
            listener.name(), new BoundListener(listener.address(), bindFuture.channel()));
      } else {
        errors.add(
            new ConfigurationError(
                file.toString(),
                0,
                "listener." + listener.name() + ".address",
                bindFuture.cause().getMessage(),
                "an address that can be listened on"));
      }
    }
    if (!errors.isEmpty()) {
      newListeners.values().forEach(newListener -> newListener.channel().close());
      throw new ConfigurationException(errors);
    }
    return newListeners;
  }

  private ChannelFuture bind(DaemonConfig.Listener config) {
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
                    .addLast(
                        new AcceptBackoffHandler(log.withField("listener", config.name())::line));
              }
            })
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.RECVBUF_ALLOCATOR, UpstreamConnectionPool.READ_BUFFER_ALLOCATOR)
        .childOption(
            ChannelOption.WRITE_BUFFER_WATER_MARK, UpstreamConnectionPool.WRITE_BUFFER_WATER_MARK)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel client) {
                workers.get(client.eventLoop()).onAccepted(config.name(), client);
              }
            })
        .bind(config.address());
  }

  /** Returns the address to which a listener is bound, or null if there is no such listener. */
  public synchronized InetSocketAddress address(String listener) {
    BoundListener boundListener = boundListeners.get(listener);
    return boundListener == null
        ? null
        : (InetSocketAddress) boundListener.channel().localAddress();
  }

  /** Returns the event loops of the workers. */
  Set<EventLoop> eventLoops() {
    return workers.keySet();
  }

  /** Returns the version of the present configuration, from 1. */
  public synchronized long version() {
    return snapshot.version;
  }

  /**
   * Starts the drain. Listeners accept for another {@link #ACCEPT_GRACE_MILLIS}, and every request
   * that was accepted gets its response.
   */
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
    long deadlineNanos = System.nanoTime() + snapshot.config.process().drainMillis() * 1_000_000L;
    acceptor
        .next()
        .schedule(
            () -> pollDrain(deadlineNanos),
            ACCEPT_GRACE_MILLIS + DRAIN_POLL_MILLIS,
            TimeUnit.MILLISECONDS);
  }

  private void pollDrain(long deadlineNanos) {
    CompletableFuture<?>[] checks = new CompletableFuture<?>[workers.size()];
    boolean[] busy = new boolean[workers.size()];
    int next = 0;
    for (Worker worker : workers.values()) {
      int index = next++;
      checks[index] =
          CompletableFuture.runAsync(
              () -> busy[index] = worker.hasPendingRequests(), worker.loop());
    }
    CompletableFuture.allOf(checks)
        .whenComplete(
            (ignored, failure) -> {
              boolean anyBusy = false;
              for (boolean workerBusy : busy) {
                anyBusy |= workerBusy;
              }
              boolean timedOut = System.nanoTime() >= deadlineNanos;
              if (anyBusy && !timedOut) {
                acceptor
                    .next()
                    .schedule(
                        () -> pollDrain(deadlineNanos), DRAIN_POLL_MILLIS, TimeUnit.MILLISECONDS);
              } else {
                log.line(anyBusy ? "drain cut short: drain_ms has passed" : "drained");
                if (fleetAgent == null) {
                  terminated.countDown();
                } else {
                  // The replica closes last: the agent's request to leave may need it.
                  fleetAgent.onDrained(!anyBusy, this::finish);
                }
              }
            });
  }

  /** Blocks until the drain has ended. */
  public void awaitTermination() throws InterruptedException {
    terminated.await();
  }

  private void finish() {
    if (replica != null) {
      try {
        replica.close();
      } catch (Exception e) {
        log.failure("closing the replica failed", e);
      }
    }
    terminated.countDown();
  }

  /** Runs {@code task} if a loop of this daemon ends although the daemon was not closed. */
  public void onLoopEnded(Runnable task) {
    ErrorContainment.onLoopEnded((EventLoop) acceptor.next(), () -> closing, task);
    workers.keySet().forEach(loop -> ErrorContainment.onLoopEnded(loop, () -> closing, task));
  }

  /** Stops at once, without a drain. */
  @Override
  public void close() {
    closing = true;
    if (fleetAgent != null) {
      fleetAgent.close();
    }
    acceptor.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    workerGroup.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    finish();
  }
}
