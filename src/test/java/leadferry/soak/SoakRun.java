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
 * One run: proxies as processes, servers and discovery, clients, and what goes wrong by a {@link
 * SoakPlan}.
 *
 * <pre>
 *   start | faults, disruptions and signals by their times -----------------------| clients stop | judge
 *   0                                                                    plan.lengthMs()
 * </pre>
 */
final class SoakRun implements AutoCloseable {
  /** New connections go on coming for so long (ms) after SIGTERM, by the protocol page. */
  private static final long NEW_CONNECTIONS_MS = 400;

  /**
   * SIGKILL comes so long (ms) after the longest deadline, of which no more than {@link
   * #LONGEST_MS} counts.
   */
  private static final long KILL_MARGIN_MS = 700;

  private static final long LONGEST_MS = 3_000;
  private static final long TAIL_MS = 1_500;

  private static final int LEAST_PORT = 15_000;
  private static final int PORTS = 15_000;
  private static final int PORT_TRIES = 100;

  /** Signals in series follow each other so soon (ms), and a stop among them lasts so long. */
  private static final long SERIES_MS = 30;

  private static final long STOP_MS = 100;

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
  private final List<Node> nodes = new ArrayList<>();
  private volatile boolean running = true;

  /** A proxy with its discovery; clients ask it whether they may connect. */
  private final class Node implements SoakClient.Target {
    final int index;
    final FakeDiscovery discovery;
    final ProxyProcess process;
    final ReentrantLock restarts = new ReentrantLock(true);
    volatile boolean accepts;

    /** From when it serves until its process ends. */
    volatile boolean ready;

    Node(int index) throws IOException {
      this.index = index;
      this.discovery = new FakeDiscovery(index, history, threads);
      upstreams.forEach(upstream -> discovery.setState(upstream, "up"));
      Path own = Files.createDirectories(folder.resolve("proxy" + index));
      int port = freePort();
      Path configuration =
          Files.writeString(own.resolve("config.json"), configuration(port, discovery));
      this.process = ProxyProcess.platform(configuration, own, port, discovery.port());
    }

    void start() throws IOException, InterruptedException {
      long seed = plan.seed() * 31 + index;
      process.start(
          new ProxyProcess.Faults(
              library, plan.systemCallFaults(), seed, plan.clockStep(), plan.descriptorLimit()));
      accepts = true;
      ready = true;
    }

    @Override
    public boolean canConnect() {
      return accepts;
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

  /** {@code library} is the preload library, or null for none. */
  SoakRun(SoakPlan plan, Path folder, Path library) throws IOException {
    this.plan = plan;
    this.folder = folder;
    this.library = library;
    for (int i = 0; i < plan.upstreams(); i++) {
      upstreams.add(
          new RecordingUpstream("s" + i, 0, plan.serviceMs(), history, threads, plan.seed() + i));
    }
    for (int i = 0; i < plan.proxies(); i++) {
      nodes.add(new Node(i));
    }
  }

  /**
   * A port for a process that listens later. It lies below those that the kernel gives out by
   * itself: one of these could be another socket's by then, and with SO_REUSEPORT both would get
   * connections.
   */
  static int freePort() throws IOException {
    for (int i = 0; i < PORT_TRIES; i++) {
      int port = LEAST_PORT + ThreadLocalRandom.current().nextInt(PORTS);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return socket.getLocalPort();
      } catch (BindException e) {
        // somebody has it
      }
    }
    throw new IOException("no free port from " + LEAST_PORT + " on");
  }

  private String configuration(int port, FakeDiscovery discovery) {
    SoakClient.Profile habits = plan.clientProfile();
    return "{\"name\":\"n\",\"listen\":\"127.0.0.1:"
        + port
        + "\",\"discovery\":\"127.0.0.1:"
        + discovery.port()
        + "\",\"seed\":\""
        + Long.toHexString(plan.seed())
        + "\",\"limits\":{\"memory_mb\":128,\"sockets\":"
        + plan.descriptorLimit()
        + "},\"known\":"
        + discovery.endpointListJson()
        + ",\"settings\":{\"classes\":["
        + "{\"name\":\"claim\",\"aim\":200,\"deadline\":"
        + habits.unsafeDeadlineMs()
        + ",\"semantics\":\"at_most_once\"},"
        + "{\"name\":\"log\",\"aim\":200,\"deadline\":"
        + habits.keyedDeadlineMs()
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

  /** Plays the plan to its end; what was recorded. */
  SoakHistory run() throws Exception {
    for (Node node : nodes) {
      node.start();
    }
    long begun = System.nanoTime();
    List<Thread> clients = startClients();
    for (SoakPlan.Event event : plan.events()) {
      sleepUntil(begun + event.atMs() * 1_000_000);
      perform(event);
    }
    sleepUntil(begun + plan.durationMs() * 1_000_000);
    running = false;
    for (Thread client : clients) {
      client.join(LONGEST_MS + TAIL_MS);
    }
    for (Node node : nodes) {
      node.restarts.lock(); // one that has begun goes on to its end
      node.restarts.unlock();
      if (!node.process.isAlive()) {
        history.addCrash(
            "proxy "
                + node.index
                + " ended by itself: "
                + Files.readString(node.process.logFile()));
      }
    }
    return history;
  }

  /** Faults of system calls that reached the processes. */
  long injectedFaults() throws IOException {
    long all = 0;
    for (Node node : nodes) {
      all += node.process.injectedFaults();
    }
    return all;
  }

  private List<Thread> startClients() {
    List<Thread> clients = new ArrayList<>();
    for (Node node : nodes) {
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
    Node node = nodes.get(event.target() % nodes.size());
    switch (event.kind()) {
      case RESTART -> threads.execute(() -> restart(node, event.argument()));
      case RELOAD -> {
        if (node.ready) {
          node.process.signal("HUP"); // never before it is ready, by the protocol page
        }
      }
      case PAUSE -> pause(node, event.argument());
      case SET_BEHAVIOUR ->
          upstreams
              .get(event.target() % upstreams.size())
              .setBehaviour(RecordingUpstream.Behaviour.values()[(int) event.argument()]);
      case DRAIN -> {
        RecordingUpstream leaving = upstreams.get(event.target() % upstreams.size());
        nodes.forEach(each -> drain(each, leaving));
      }
      case CRASH -> node.process.kill();
      case SILENCE_DISCOVERY -> node.discovery.setSilent(event.argument() != 0);
      case CLOSE_WATCHES -> node.discovery.closeWatches();
    }
  }

  private void drain(Node node, RecordingUpstream leaving) {
    if (plan.sabotage() == SoakPlan.Sabotage.DRAIN_NOTICES_DROPPED) {
      history.addDrainNotice(node.index, leaving.name(), System.nanoTime());
    } else {
      node.discovery.setState(leaving, "draining");
    }
  }

  private static void pause(Node node, long ms) throws Exception {
    node.process.signal("STOP");
    Thread.sleep(ms);
    node.process.signal("CONT");
  }

  /**
   * SIGTERM, SIGKILL at the earliest that the page allows, and the next process at the same
   * address. One restart of a proxy follows the other. {@code further} is a signal behind the
   * first: 1 SIGTERM again, 2 SIGHUP, 3 a stop of 0.1 s.
   */
  private void restart(Node node, long further) {
    node.restarts.lock();
    try {
      if (!running) {
        return;
      }
      SoakClient.Profile habits = plan.clientProfile();
      long longest =
          Math.min(LONGEST_MS, Math.max(habits.unsafeDeadlineMs(), habits.keyedDeadlineMs()));
      long killAt = System.nanoTime() + (longest + KILL_MARGIN_MS) * 1_000_000;
      long newUntil = System.nanoTime() + NEW_CONNECTIONS_MS * 1_000_000;
      node.process.signal("TERM");
      Thread.sleep(SERIES_MS);
      switch ((int) further) {
        case 1 -> node.process.signal("TERM");
        case 2 -> node.process.signal("HUP");
        case 3 -> pause(node, STOP_MS);
        default -> {
          // no further one
        }
      }
      sleepUntil(newUntil);
      node.accepts = false;
      boolean ended = node.process.awaitExit((killAt - System.nanoTime()) / 1_000_000);
      node.ready = false;
      if (ended && node.process.exitStatus() != 0) {
        history.addCrash("proxy " + node.index + " ended with status " + node.process.exitStatus());
      }
      node.process.kill();
      node.process.awaitExit(LONGEST_MS);
      node.start();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (Exception e) {
      history.addCrash("restart of proxy " + node.index + ": " + e.getMessage());
    } finally {
      node.restarts.unlock();
    }
  }

  @Override
  public void close() throws IOException {
    running = false;
    for (Node node : nodes) {
      node.process.kill();
      node.discovery.close();
    }
    upstreams.forEach(RecordingUpstream::close);
    threads.shutdownNow();
  }
}
