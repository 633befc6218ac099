package leadferry.daemon;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import leadferry.consensus.ReplicaConfig;
import leadferry.engine.UpstreamHosts;
import leadferry.http.Forwarding;
import leadferry.limits.Limit;
import leadferry.loadbalancer.Settings;
import leadferry.routing.NormalizedPath;
import leadferry.routing.RouteRule;

/** Validated content of an operator's file. Times are in milliseconds. */
record DaemonConfig(
    Process process,
    Map<String, Listener> listeners,
    List<Settings.RequestClass> classes,
    Map<String, Pool> pools,
    List<Route> routes,
    List<Limit> limits,
    Fleet fleet) {

  /** Class of the requests that declare no class or an unknown one. */
  static final String DEFAULT_CLASS = "default";

  /**
   * Settings of the whole process: threads, memory, sockets and the process's place among its
   * instances.
   */
  record Process(
      int workers,
      int drainMillis,
      int descriptors,
      int bodyMemoryMb,
      int limitKeys,
      int instance,
      int instances,
      double retryRatio,
      double retryBurst,
      TransportType transport,
      LogFormat logFormat) {}

  /**
   * Behaviour of a start while no replica is reachable: start from the last known state, or wait.
   */
  enum UnreachablePolicy {
    LAST,
    WAIT
  }

  /**
   * Membership of this process in a fleet; null where there is none.
   *
   * @param fleet name of the fleet
   * @param name name of this process, unique in the fleet
   * @param zone zone of this process, or "-"
   * @param leaseMillis time without a renewal after which the fleet considers this process lost
   * @param startWaitMillis time for which a start tries to reach replicas before it considers them
   *     unreachable
   * @param stateFile file that holds the last view in force, or null
   * @param version version that runs here, under the name that releases use, or "-"
   * @param replicas addresses of the replicas, by name
   * @param replica the replica that also runs in this process, or null
   */
  record Fleet(
      String fleet,
      String name,
      String zone,
      int leaseMillis,
      int startWaitMillis,
      UnreachablePolicy onUnreachable,
      java.nio.file.Path stateFile,
      String version,
      Map<String, InetSocketAddress> replicas,
      ReplicaConfig replica) {}

  /** Transport: the best that is available, or a specific one. */
  enum TransportType {
    AUTO,
    NIO,
    EPOLL,
    IO_URING
  }

  /** Listener: the address at which clients connect and the limits for their connections. */
  record Listener(
      String name,
      InetSocketAddress address,
      NormalizedPath.Mode pathMode,
      String classHeader,
      String tenantHeader,
      String healthPath,
      int maxBodyBytes,
      int receiveTimeoutMillis,
      int idleMillis,
      int maxOpenRequests,
      int maxPipelinedRequests,
      Forwarding forwarding) {}

  /** Pool of servers; {@code settings} are the settings of its load balancer. */
  record Pool(
      String name,
      List<UpstreamHosts.Member> members,
      Settings settings,
      int maxResponseBytes,
      boolean passErrors,
      double connectionIdleMillis,
      double connectTimeoutMillis,
      int maxConnections,
      int maxPending,
      int maxRequestsPerConnection,
      double restMillis,
      double retryRatio,
      double retryBurst) {

    /**
     * Returns whether the dispatcher of the other pool can serve this one and keep its statistics.
     */
    boolean canReuseDispatcherOf(Pool other) {
      return settings.equals(other.settings)
          && maxResponseBytes == other.maxResponseBytes
          && passErrors == other.passErrors
          && connectionIdleMillis == other.connectionIdleMillis
          && connectTimeoutMillis == other.connectTimeoutMillis;
    }
  }

  /** Share of a route's traffic, by weight. */
  record PoolShare(String pool, double weight) {}

  /** Source of the key that decides to which pool of a split a request goes. */
  enum SplitBy {
    KEY,
    TENANT,
    ADDRESS
  }

  /** Route: the rule that selects requests, and where and how they are forwarded. */
  record Route(
      String name,
      List<String> listeners,
      RouteRule<Integer> match,
      String className,
      List<PoolShare> split,
      SplitBy splitBy,
      String splitHeader,
      List<String> fallback,
      boolean stream,
      String rewritePrefix,
      Map<String, String> setHeaders,
      List<String> removeHeaders) {}
}
