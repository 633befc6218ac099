package leadferry.soak;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Plays one {@link SoakPlan}: starts proxy processes, upstreams, discovery and clients, and
 * performs the events of the plan.
 *
 * <pre>
 *   start | faults, disruptions and signals at their times ------------| clients stop | judge
 *   0                                                      plan.durationMs()
 * </pre>
 */
final class SoakRun implements AutoCloseable {
  /**
   * Time in milliseconds after SIGTERM during which clients still open new connections, as the
   * protocol page states.
   */
  private static final long ACCEPT_AFTER_TERM_MS = 400;

  /**
   * Time in milliseconds between SIGTERM and SIGKILL beyond the longest deadline, of which at most
   * {@link #MAX_WAIT_MS} counts.
   */
  private static final long KILL_MARGIN_MS = 700;

  /**
   * Upper limit in milliseconds of the deadline that delays SIGKILL, and of the wait for a killed
   * process to exit.
   */
  private static final long MAX_WAIT_MS = 3_000;

  private static final long CLIENT_JOIN_MARGIN_MS = 1_500;

  private static final int FIRST_PORT = 15_000;
  private static final int PORT_COUNT = 15_000;
  private static final int PORT_TRIES = 100;

  /** Interval in milliseconds between two signals of a restart. */
  private static final long SIGNAL_INTERVAL_MS = 30;

  /** Duration in milliseconds of a pause among the signals of a restart. */
  private static final long PAUSE_MS = 100;

  private final SoakPlan plan;
  private final Path folder;
  private final Path library;
  private final SoakHistory history = new SoakHistory();
  private final ExecutorService threads =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task, "soak");
            thread.setDaemon(true);
            return thread;
          });
  private final List<RecordingUpstream> upstreams = new ArrayList<>();
  private final List<ProxyNode> nodes = new ArrayList<>();
  private volatile boolean running = true;

  /** A proxy process with its discovery, and its state for clients. */
  private final class ProxyNode implements SoakClient.Target {
    final int index;
    final FakeDiscovery discovery;
    private final Path configuration;
    final ProxyProcess process;
    final ReentrantLock restartLock = new ReentrantLock(true);
    volatile boolean acceptsConnections;

    /** Whether the proxy serves: from its readiness until its process exits. */
    volatile boolean ready;

    ProxyNode(int index) throws IOException {
      this.index = index;
      this.discovery = new FakeDiscovery(index, history, threads);
      upstreams.forEach(upstream -> discovery.setState(upstream, "up"));
      Path proxyFolder = Files.createDirectories(folder.resolve("proxy" + index));
      int port = freePort();
      Path configuration =
          Files.writeString(proxyFolder.resolve("config.json"), configuration(port, discovery));
      this.configuration = configuration;
      this.process = ProxyProcess.platform(configuration, proxyFolder, port, discovery.port());
    }

    void start() throws IOException, InterruptedException {
      // The platform tells each new process the list as the one before last had it.
      Files.writeString(configuration, configuration(process.port(), discovery));
      long seed = plan.seed() * 31 + index;
      process.start(
          new ProxyProcess.Faults(
              library, plan.systemCallFaults(), seed, plan.clockStep(), plan.descriptorLimit()));
      acceptsConnections = true;
      ready = true;
    }

    @Override
    public boolean canConnect() {
      return acceptsConnections;
    }

    @Override
    public boolean isRunning() {
      return running;
    }

    @Override
    public int port() {
      return process.port();
    }
  }

  /**
   * Creates the upstreams and proxies of the plan without starting the processes. {@code library}
   * is the preload library, or null for no system call faults.
   */
  SoakRun(SoakPlan plan, Path folder, Path library) throws IOException {
    this.plan = plan;
    this.folder = folder;
    this.library = library;
    for (int i = 0; i < plan.upstreams(); i++) {
      upstreams.add(
          new RecordingUpstream("s" + i, 0, plan.serviceMs(), history, threads, plan.seed() + i));
    }
    for (int i = 0; i < plan.proxies(); i++) {
      nodes.add(new ProxyNode(i));
    }
  }

  /**
   * Returns a port for a process that listens later. The port is below the range of ephemeral
   * ports: the kernel may assign an ephemeral port to another socket in the meantime, and with
   * SO_REUSEPORT both sockets would then get connections.
   */
  static int freePort() throws IOException {
    for (int i = 0; i < PORT_TRIES; i++) {
      int port = FIRST_PORT + ThreadLocalRandom.current().nextInt(PORT_COUNT);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return socket.getLocalPort();
      } catch (BindException e) {
        // the port is in use
      }
    }
    throw new IOException(
        "no free port among " + PORT_TRIES + " random ports from " + FIRST_PORT + " on");
  }

  private String configuration(int port, FakeDiscovery discovery) {
    SoakClient.Profile profile = plan.clientProfile();
    return "{\"name\":\"n\",\"listen\":\"127.0.0.1:"
        + port
        + "\",\"discovery\":\"127.0.0.1:"
        + discovery.port()
        + "\",\"seed\":\""
        + Long.toHexString(plan.seed())
        + "\",\"limits\":{\"memory_mb\":128,\"sockets\":"
        + plan.descriptorLimit()
        + "},\"known\":"
        + discovery.lastToldListJson()
        + ",\"settings\":{\"classes\":["
        + "{\"name\":\"claim\",\"aim\":200,\"deadline\":"
        + profile.unsafeDeadlineMs()
        + ",\"semantics\":\"at_most_once\"},"
        + "{\"name\":\"log\",\"aim\":200,\"deadline\":"
        + profile.keyedDeadlineMs()
        + ",\"semantics\":\"deduplicated\","
        + "\"keyScope\":\"cell\",\"repeatWindow\":500}],"
        + "\"limits\":{\"cancel\":"
        + plan.cancel()
        + ",\"retryAfter\":true,\"parallelTries\":true,\"maxAttempts\":"
        + plan.maxAttempts()
        + ",\"peers\":false,\"connIdle\":5000,\"connectTimeout\":200},"
        + "\"rules\":{\"cold\":1000,\"startCapacity\":0.5,\"fall\":1000,\"fallMultiple\":3,\"askWithin\":6000,\"drainGrace\":"
        + plan.drainGraceMs()
        + "},\"report\":{\"how\":\"answers\"},\"balancers\":"
        + plan.proxies()
        + "}}";
  }

  /** Plays the plan to its end and returns what was recorded. */
  SoakHistory run() throws Exception {
    for (ProxyNode node : nodes) {
      node.start();
    }
    long startNanos = System.nanoTime();
    List<Thread> clients = startClients();
    for (SoakPlan.Event event : plan.events()) {
      sleepUntil(startNanos + event.atMs() * 1_000_000);
      perform(event);
    }
    sleepUntil(startNanos + plan.durationMs() * 1_000_000);
    running = false;
    for (Thread client : clients) {
      client.join(MAX_WAIT_MS + CLIENT_JOIN_MARGIN_MS);
    }
    for (ProxyNode node : nodes) {
      node.restartLock.lock(); // waits for a restart in progress
      node.restartLock.unlock();
      if (!node.process.isAlive()) {
        history.addCrash(
            "proxy "
                + node.index
                + " exited unexpectedly: "
                + Files.readString(node.process.logFile()));
      }
    }
    return history;
  }

  /** Returns the number of system call faults injected into all proxy processes. */
  long injectedFaults() throws IOException {
    long total = 0;
    for (ProxyNode node : nodes) {
      total += node.process.injectedFaults();
    }
    return total;
  }

  private List<Thread> startClients() {
    List<Thread> clients = new ArrayList<>();
    for (ProxyNode node : nodes) {
      for (int i = 0; i < plan.clientsPerProxy(); i++) {
        String name = "p" + node.index + "c" + i;
        Thread client =
            new Thread(
                new SoakClient(
                    name,
                    node.index,
                    plan.clientProfile(),
                    node,
                    history,
                    plan.seed() * 1_000 + node.index * 100L + i),
                name);
        client.setDaemon(true);
        client.start();
        clients.add(client);
      }
      for (int i = 0; i < plan.stalledClientsPerProxy(); i++) {
        threads.execute(new StalledClient(node, plan.seed() * 1_000 + i));
      }
    }
    return clients;
  }

  private static void sleepUntil(long nanos) throws InterruptedException {
    long left = nanos - System.nanoTime();
    if (left > 0) {
      TimeUnit.NANOSECONDS.sleep(left);
    }
  }

  private void perform(SoakPlan.Event event) throws Exception {
    ProxyNode node = nodes.get(event.target() % nodes.size());
    switch (event.kind()) {
      case RESTART -> threads.execute(() -> restart(node, event.argument()));
      case RELOAD -> {
        if (node.ready) {
          // the protocol page allows SIGHUP only once the proxy is ready
          node.process.signal("HUP");
        }
      }
      case PAUSE -> pause(node, event.argument());
      case SET_BEHAVIOUR ->
          upstreams
              .get(event.target() % upstreams.size())
              .setBehaviour(RecordingUpstream.Behaviour.values()[(int) event.argument()]);
      case DRAIN -> {
        RecordingUpstream upstream = upstreams.get(event.target() % upstreams.size());
        nodes.forEach(each -> drain(each, upstream));
      }
      case CRASH -> node.process.kill();
      case SILENCE_DISCOVERY -> node.discovery.setSilent(event.argument() != 0);
      case CLOSE_WATCHES -> node.discovery.closeWatches();
    }
  }

  private void drain(ProxyNode node, RecordingUpstream upstream) {
    if (plan.sabotage() == SoakPlan.Sabotage.DRAIN_NOTICES_DROPPED) {
      history.addDrainNotice(node.index, upstream.name(), System.nanoTime());
    } else {
      node.discovery.setState(upstream, "draining");
    }
  }

  private static void pause(ProxyNode node, long durationMs) throws Exception {
    node.process.signal("STOP");
    Thread.sleep(durationMs);
    node.process.signal("CONT");
  }

  /**
   * Sends SIGTERM to a proxy, sends SIGKILL as early as the protocol page allows, and starts the
   * next process at the same address. Restarts of the same proxy run one after the other. {@code
   * series} is an index of {@link SoakPlan#FOLLOW_UPS}.
   */
  private void restart(ProxyNode node, long series) {
    node.restartLock.lock();
    try {
      if (!running) {
        return;
      }
      SoakClient.Profile profile = plan.clientProfile();
      long longestDeadlineMs =
          Math.min(MAX_WAIT_MS, Math.max(profile.unsafeDeadlineMs(), profile.keyedDeadlineMs()));
      long killAtNanos = System.nanoTime() + (longestDeadlineMs + KILL_MARGIN_MS) * 1_000_000;
      long acceptUntilNanos = System.nanoTime() + ACCEPT_AFTER_TERM_MS * 1_000_000;
      node.process.signal("TERM");
      for (SoakPlan.FollowUp followUp : SoakPlan.FOLLOW_UPS.get((int) series)) {
        Thread.sleep(SIGNAL_INTERVAL_MS);
        switch (followUp) {
          case TERM -> node.process.signal("TERM");
          case HUP -> node.process.signal("HUP");
          case PAUSE -> pause(node, PAUSE_MS);
        }
      }
      sleepUntil(acceptUntilNanos);
      node.acceptsConnections = false;
      boolean hasExited = node.process.awaitExit((killAtNanos - System.nanoTime()) / 1_000_000);
      node.ready = false;
      if (hasExited && node.process.exitStatus() != 0) {
        history.addCrash(
            "proxy " + node.index + " exited with status " + node.process.exitStatus());
      }
      node.process.kill();
      node.process.awaitExit(MAX_WAIT_MS);
      node.start();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (Exception e) {
      history.addCrash("restart of proxy " + node.index + " failed: " + e.getMessage());
    } finally {
      node.restartLock.unlock();
    }
  }

  @Override
  public void close() throws IOException {
    running = false;
    for (ProxyNode node : nodes) {
      node.process.kill();
      node.discovery.close();
    }
    upstreams.forEach(RecordingUpstream::close);
    threads.shutdownNow();
  }
}
