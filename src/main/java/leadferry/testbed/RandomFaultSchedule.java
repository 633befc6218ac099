package leadferry.testbed;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import leadferry.testbed.InjectedFaults.Kind;

/**
 * Chooses the kinds, targets and times of faults from a seed. Starts one fault at a time; each one
 * ends after a random time.
 */
final class RandomFaultSchedule {
  private static final int MIN_FAULT_MILLIS = 200;
  private static final int FAULT_SPREAD_MILLIS = 3 * FaultTest.LEASE_MILLIS;
  private static final int MIN_DELAY_MILLIS = 50;
  private static final int DELAY_SPREAD_MILLIS = 200;
  private static final int FAULT_KINDS = 9;
  private static final int FAULT_KINDS_WITH_DRIVERS = 12;

  private final FaultTestPlan plan;
  private final FaultTestTopology topology;
  private final InvariantChecker checker;
  private final InjectedFaults faults;
  private final BackgroundTasks tasks;
  private final Random random;

  RandomFaultSchedule(
      FaultTestPlan plan,
      FaultTestTopology topology,
      InvariantChecker checker,
      InjectedFaults faults,
      BackgroundTasks tasks) {
    this.plan = plan;
    this.topology = topology;
    this.checker = checker;
    this.faults = faults;
    this.tasks = tasks;
    this.random = new Random(plan.seed());
  }

  /** Returns the pause before the next fault, in milliseconds. */
  long nextPauseMillis() {
    return 300 + random.nextInt(900);
  }

  /** Starts the next fault. */
  void injectNext() {
    long millis = MIN_FAULT_MILLIS + random.nextInt(FAULT_SPREAD_MILLIS);
    String replica = randomName(topology.replicaNames());
    String proxy = randomName(topology.proxyNames());
    switch (random.nextInt(plan.releases() ? FAULT_KINDS_WITH_DRIVERS : FAULT_KINDS)) {
      case 0 -> cutReplica(replica, millis);
      case 1 -> cutProxyFromReplicas(proxy, millis);
      case 2 -> delayProxy(proxy, millis);
      case 3 -> truncateNextChunks(proxy, replica);
      case 4 -> refuseAtUpstream(proxy, millis);
      case 5 -> faults.stall(topology.replica(replica), millis, () -> {});
      case 6 -> stallProxy(proxy, 2 * millis);
      case 7 -> killReplica(topology.replica(replica), millis);
      case 8 -> killProxy(proxy, 3 * millis);
      default -> disturbDriver(millis);
    }
  }

  private String randomName(Set<String> names) {
    return List.copyOf(names).get(random.nextInt(names.size()));
  }

  private FakeUpstream randomUpstream() {
    return topology.upstreams().get(random.nextInt(topology.upstreams().size()));
  }

  private void cutReplica(String replica, long millis) {
    boolean forward = random.nextBoolean();
    boolean backward = !forward || random.nextBoolean();
    faults.count(forward && backward ? Kind.CUT : Kind.ONE_WAY);
    List<FaultyLink.Link> cut = new ArrayList<>();
    for (String other : topology.replicaNames()) {
      if (!other.equals(replica)) {
        topology.link(replica, other).cut(forward, backward);
        topology.link(other, replica).cut(backward, forward);
        cut.add(topology.link(replica, other));
        cut.add(topology.link(other, replica));
      }
    }
    tasks.runLater(millis, () -> cut.forEach(FaultyLink.Link::heal));
  }

  private void cutProxyFromReplicas(String proxy, long millis) {
    boolean forward = random.nextBoolean();
    boolean backward = !forward || random.nextBoolean();
    faults.count(forward && backward ? Kind.CUT : Kind.ONE_WAY);
    linksToReplicas(proxy).forEach(link -> link.cut(forward, backward));
    healLater(proxy, millis);
  }

  private void delayProxy(String proxy, long millis) {
    faults.count(Kind.DELAY);
    linksToReplicas(proxy)
        .forEach(
            link -> link.setDelayMillis(MIN_DELAY_MILLIS + random.nextInt(DELAY_SPREAD_MILLIS)));
    healLater(proxy, millis);
  }

  private List<FaultyLink.Link> linksToReplicas(String source) {
    return topology.replicaNames().stream().map(replica -> topology.link(source, replica)).toList();
  }

  private void healLater(String source, long millis) {
    tasks.runLater(millis, () -> linksToReplicas(source).forEach(FaultyLink.Link::heal));
  }

  private void truncateNextChunks(String proxy, String replica) {
    faults.count(Kind.CUT);
    topology.link(proxy, replica).truncateNextChunk();
    topology.link(proxy, randomUpstream().name()).truncateNextChunk();
  }

  private void refuseAtUpstream(String proxy, long millis) {
    faults.count(Kind.CUT);
    FaultyLink.Link link = topology.link(proxy, randomUpstream().name());
    link.setRefusing(true);
    tasks.runLater(millis, link::heal);
  }

  private void stallProxy(String proxy, long millis) {
    if (checker.proxiesTakenDown() < plan.proxiesAllowed()) {
      faults.stallProxy(topology.proxy(proxy), millis);
    }
  }

  private void killReplica(ManagedProcess replica, long downMillis) {
    if (replica.isRunning()) {
      faults.kill(replica);
      tasks.runLater(downMillis, () -> faults.restart(replica));
    }
  }

  private void killProxy(String name, long downMillis) {
    ManagedProcess proxy = topology.proxy(name);
    if (proxy.isRunning() && checker.proxiesTakenDown() < plan.proxiesAllowed()) {
      faults.killProxy(proxy, downMillis);
    }
  }

  /** Kills and restarts a random driver, suspends it, or cuts its links to all replicas. */
  private void disturbDriver(long millis) {
    List<ManagedProcess> running =
        topology.drivers().values().stream().filter(ManagedProcess::isRunning).toList();
    if (running.isEmpty()) {
      return;
    }
    ManagedProcess driver = running.get(random.nextInt(running.size()));
    switch (random.nextInt(3)) {
      case 0 -> {
        faults.kill(driver);
        tasks.runLater(millis / 3, () -> restartIfStillWanted(driver));
      }
      case 1 -> faults.stall(driver, millis, () -> {});
      default -> {
        faults.count(Kind.CUT);
        linksToReplicas(driver.name()).forEach(link -> link.cut(true, random.nextBoolean()));
        healLater(driver.name(), millis);
      }
    }
  }

  private void restartIfStillWanted(ManagedProcess driver) {
    if (topology.drivers().containsValue(driver)) {
      faults.restart(driver);
    }
  }
}
