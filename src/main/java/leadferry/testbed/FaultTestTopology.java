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
 * The processes of a fault test and the links between them: replicas, daemons, fake upstreams,
 * drivers of releases. Every connection goes through a {@link FaultyLink}.
 */
final class FaultTestTopology implements AutoCloseable {
  private static final int REPLICA_HEAP_MB = 96;
  private static final int PROXY_HEAP_MB = 64;

  /** One of its own: two rigs on one machine must not take each other's processes for theirs. */
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

  /** Writes all files and starts all processes. */
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
      // One address for all: the library tells a leader's addresses to its followers. Who connects
      // is found by the port.
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

  /** Writes a proxy's file so that its next start runs that version. */
  void writeProxyFile(String name, String version) throws IOException {
    String text =
        version.equals(FaultTest.BROKEN_VERSION)
            ? "not a file of ours"
            : proxyFiles.get(name).replace(FaultTestFiles.VERSION_PLACEHOLDER, version);
    Files.writeString(proxyFilePath(name), text);
  }

  /** Starts a process that drives a release, under that name; its links go through relays. */
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

  /** Ends a driver for good. */
  void endDriver(String name) {
    drivers.remove(name).close();
  }

  private FaultyLink relay(InetSocketAddress destination, IntFunction<FaultyLink.Link> linkOfPort)
      throws IOException {
    FaultyLink relay = new FaultyLink(destination, linkOfPort);
    relays.add(relay);
    return relay;
  }

  /** The replica whose socket has that local port. */
  private String replicaOfLocalPort(int port) {
    Map<Long, String> namesByProcessId = new HashMap<>();
    replicas.values().forEach(replica -> namesByProcessId.put(replica.pid(), replica.name()));
    return FaultyLink.processOfLocalPort(port, namesByProcessId);
  }

  /** The link from a source to a destination. */
  FaultyLink.Link link(String source, String destination) {
    return links.computeIfAbsent(source + ">" + destination, key -> new FaultyLink.Link());
  }

  /** Cuts a replica off from all others, both ways. */
  void isolate(String replica) {
    for (String other : replicas.keySet()) {
      if (!other.equals(replica)) {
        link(replica, other).cut(true, true);
        link(other, replica).cut(true, true);
      }
    }
  }

  /** Makes all links whole. */
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

  /** A replica or proxy, or null. */
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

  /** Where members and operators reach each replica. */
  Map<String, InetSocketAddress> replicaAddresses() {
    return replicaAddresses;
  }

  /** Where clients reach each proxy. */
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
