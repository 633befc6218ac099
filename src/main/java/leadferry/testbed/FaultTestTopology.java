package leadferry.testbed;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.IntFunction;

/**
 * The processes of a fault test and the links between them: replicas, daemons, fake upstreams and
 * release drivers. Every connection between them goes through a {@link FaultyLink}.
 */
final class FaultTestTopology implements AutoCloseable {
  private static final int REPLICA_HEAP_MB = 96;
  private static final int PROXY_HEAP_MB = 64;

  /**
   * Unique to this test, because two fault tests on one machine must not accept each other's
   * processes as members.
   */
  private final String fleet =
      "rig-" + ProcessHandle.current().pid() + "-" + Long.toHexString(System.nanoTime());

  private final FaultTestPlan plan;
  private final Path folder;
  private final FaultTestFiles files = new FaultTestFiles(fleet);
  private final PortAllocator ports = new PortAllocator();
  private final ExecutionLog executions;
  private final Map<String, ManagedProcess> replicas = new LinkedHashMap<>();
  private final Map<String, ManagedProcess> proxies = new LinkedHashMap<>();
  private final Map<String, ManagedProcess> drivers = new ConcurrentHashMap<>();
  private final List<FakeUpstream> upstreams = new ArrayList<>();
  private final List<FaultyLink> relays = new ArrayList<>();
  private final Map<String, FaultyLink.Link> links = new ConcurrentHashMap<>();
  private final Map<String, InetSocketAddress> replicaAddresses = new LinkedHashMap<>();
  private final Map<String, InetSocketAddress> proxyAddresses = new LinkedHashMap<>();
  private final Map<String, String> proxyFiles = new LinkedHashMap<>();

  FaultTestTopology(FaultTestPlan plan, Path folder, ExecutionLog executions) {
    this.plan = plan;
    this.folder = folder;
    this.executions = executions;
  }

  /** Writes all configuration files and starts all processes. */
  void start() throws IOException {
    prepareReplicas();
    for (int i = 1; i <= plan.upstreams(); i++) {
      upstreams.add(
          new FakeUpstream(
              FakeUpstream.Options.instant("h" + i)
                  .withServiceTime(FaultTestFiles.SERVICE_MILLIS, 2)
                  .withWarmUp(FaultTestFiles.WARM_UP_MILLIS, FaultTestFiles.START_CAPACITY),
              executions));
    }
    prepareProxies();
    for (ManagedProcess replica : replicas.values()) {
      replica.start();
    }
    for (ManagedProcess proxy : proxies.values()) {
      proxy.start();
    }
  }

  private void prepareReplicas() throws IOException {
    Map<String, InetSocketAddress> logAddresses = new LinkedHashMap<>();
    Map<String, InetSocketAddress> relayedAddresses = new LinkedHashMap<>();
    for (int i = 1; i <= plan.replicas(); i++) {
      String name = "k" + i;
      logAddresses.put(name, ports.next());
      replicaAddresses.put(name, ports.next());
      // All peers use one relay address for this replica, because the consensus library sends a
      // leader's addresses to its followers. The relay identifies the connecting replica by its
      // local port.
      relayedAddresses.put(
          name,
          relay(logAddresses.get(name), port -> link(replicaOfLocalPort(port), name)).address());
    }
    for (String name : replicaAddresses.keySet()) {
      String text =
          files.replica(
              name,
              logAddresses.get(name),
              replicaAddresses.get(name),
              folder.resolve(name),
              relayedAddresses);
      Path file = Files.writeString(folder.resolve(name + ".toml"), text);
      replicas.put(
          name,
          new ManagedProcess(
              name,
              ManagedProcess.commandLine(
                  REPLICA_HEAP_MB, "replica", "--config", file.toString(), "--new"),
              ManagedProcess.commandLine(REPLICA_HEAP_MB, "replica", "--config", file.toString()),
              folder.resolve(name + ".log")));
    }
  }

  private void prepareProxies() throws IOException {
    for (int i = 1; i <= plan.proxies(); i++) {
      String name = "p" + i;
      proxyAddresses.put(name, ports.next());
      proxyFiles.put(name, proxyFile(name));
      writeProxyFile(name, FaultTest.FIRST_VERSION);
      List<String> command =
          ManagedProcess.commandLine(
              PROXY_HEAP_MB, "daemon", "--config", proxyFilePath(name).toString());
      proxies.put(name, new ManagedProcess(name, command, command, folder.resolve(name + ".log")));
    }
  }

  private String proxyFile(String name) throws IOException {
    Map<String, InetSocketAddress> relayedReplicas = relayReplicasFor(name);
    Map<String, InetSocketAddress> relayedUpstreams = new LinkedHashMap<>();
    for (FakeUpstream upstream : upstreams) {
      relayedUpstreams.put(
          upstream.name(),
          relay(upstream.address(), port -> link(name, upstream.name())).address());
    }
    return files.proxy(
        name,
        proxyAddresses.get(name),
        folder.resolve(name + ".state"),
        relayedReplicas,
        relayedUpstreams);
  }

  private Map<String, InetSocketAddress> relayReplicasFor(String source) throws IOException {
    Map<String, InetSocketAddress> relayed = new LinkedHashMap<>();
    for (Map.Entry<String, InetSocketAddress> replica : replicaAddresses.entrySet()) {
      String name = replica.getKey();
      relayed.put(name, relay(replica.getValue(), port -> link(source, name)).address());
    }
    return relayed;
  }

  private Path proxyFilePath(String name) {
    return folder.resolve(name + ".toml");
  }

  /**
   * Writes the configuration file with which the next start of proxy {@code name} runs {@code
   * version}.
   */
  void writeProxyFile(String name, String version) throws IOException {
    String text =
        version.equals(FaultTest.BROKEN_VERSION)
            ? "not a file of ours"
            : proxyFiles.get(name).replace(FaultTestFiles.VERSION_PLACEHOLDER, version);
    Files.writeString(proxyFilePath(name), text);
  }

  /**
   * Starts a process called {@code name} that drives a release. Its connections go through relays.
   */
  ManagedProcess startDriver(String name, String release) throws IOException {
    List<String> arguments = new ArrayList<>(List.of("fleet", "release", "drive", release));
    arguments.addAll(List.of("--as", name));
    arguments.addAll(List.of("--lease-ms", Integer.toString(FaultTest.LEASE_MILLIS)));
    arguments.addAll(List.of("--fleet", fleet));
    for (Map.Entry<String, InetSocketAddress> replica : relayReplicasFor(name).entrySet()) {
      arguments.add("--keeper");
      arguments.add(replica.getKey() + "=" + FaultTestFiles.text(replica.getValue()));
    }
    List<String> command =
        ManagedProcess.commandLine(PROXY_HEAP_MB, arguments.toArray(String[]::new));
    ManagedProcess driver =
        new ManagedProcess(name, command, command, folder.resolve(name + ".log"));
    drivers.put(name, driver);
    driver.start();
    return driver;
  }

  /** Kills a driver and removes it from {@link #drivers}. */
  void endDriver(String name) {
    drivers.remove(name).close();
  }

  private FaultyLink relay(InetSocketAddress destination, IntFunction<FaultyLink.Link> linkOfPort)
      throws IOException {
    FaultyLink relay = new FaultyLink(destination, linkOfPort);
    relays.add(relay);
    return relay;
  }

  /** Returns the name of the replica that owns the socket with local port {@code port}, or "". */
  private String replicaOfLocalPort(int port) {
    Map<Long, String> namesByProcessId = new HashMap<>();
    replicas.values().forEach(replica -> namesByProcessId.put(replica.pid(), replica.name()));
    return FaultyLink.processOfLocalPort(port, namesByProcessId);
  }

  /** Returns the link from {@code source} to {@code destination}, created on first use. */
  FaultyLink.Link link(String source, String destination) {
    return links.computeIfAbsent(source + ">" + destination, key -> new FaultyLink.Link());
  }

  /** Cuts the links between {@code replica} and all other replicas in both directions. */
  void isolate(String replica) {
    for (String other : replicas.keySet()) {
      if (!other.equals(replica)) {
        link(replica, other).cut(true, true);
        link(other, replica).cut(true, true);
      }
    }
  }

  /** Removes the faults of all links. */
  void healLinks() {
    links.values().forEach(FaultyLink.Link::heal);
  }

  String fleet() {
    return fleet;
  }

  Set<String> replicaNames() {
    return replicas.keySet();
  }

  Set<String> proxyNames() {
    return proxies.keySet();
  }

  ManagedProcess replica(String name) {
    return replicas.get(name);
  }

  ManagedProcess proxy(String name) {
    return proxies.get(name);
  }

  /** Returns the replica or proxy with that name, or null. */
  ManagedProcess processOrNull(String name) {
    return replicas.getOrDefault(name, proxies.get(name));
  }

  Map<String, ManagedProcess> drivers() {
    return drivers;
  }

  List<FakeUpstream> upstreams() {
    return upstreams;
  }

  FakeUpstream upstream(String name) {
    return upstreams.stream()
        .filter(upstream -> upstream.name().equals(name))
        .findFirst()
        .orElseThrow();
  }

  /** Returns the address at which members and operators reach each replica. */
  Map<String, InetSocketAddress> replicaAddresses() {
    return replicaAddresses;
  }

  /** Returns the address at which clients reach each proxy. */
  Map<String, InetSocketAddress> proxyAddresses() {
    return proxyAddresses;
  }

  @Override
  public void close() throws IOException {
    drivers.values().forEach(ManagedProcess::close);
    proxies.values().forEach(ManagedProcess::close);
    replicas.values().forEach(ManagedProcess::close);
    upstreams.forEach(FakeUpstream::close);
    for (FaultyLink relay : relays) {
      relay.close();
    }
  }
}
