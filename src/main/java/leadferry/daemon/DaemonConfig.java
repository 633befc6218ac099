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

/** What the operator's file says, checked whole. Times are milliseconds. */
record DaemonConfig(
    Process process,
    Map<String, Listener> listeners,
    List<Settings.RequestClass> classes,
    Map<String, Pool> pools,
    List<Route> routes,
    List<Limit> limits,
    Fleet fleet) {

  /** The class of requests for which no class was declared. */
  static final String DEFAULT_CLASS = "default";

  /** The daemon as a whole. */
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

  /** What a start does where no replica can be reached: goes by what it last knew, or waits. */
  enum UnreachablePolicy {
    LAST,
    WAIT
  }

  /**
   * This process as a member of a fleet; null where there is none.
   *
   * @param fleet the fleet's name
   * @param name this process's name, its own in the fleet
   * @param zone its zone, or "-"
   * @param leaseMillis after so long without a word the fleet takes it for lost
   * @param startWaitMillis how long a start asks replicas before it takes them for unreachable
   * @param stateFile the file in which it keeps what it goes by, or null
   * @param version what runs here, as releases call it, or "-"
   * @param replicas where they are, by name
   * @param replica the replica that runs in this process as well, or null
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

  /** The kind of sockets: the best that is there, or a certain one. */
  enum TransportType {
    AUTO,
    NIO,
    EPOLL,
    IO_URING
  }

  /** Where clients connect. */
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

  /** A pool of servers; {@code settings} is what its module is told. */
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

    /** Whether the other one can take over what this one's module has learnt. */
    boolean canReuseDispatcherOf(Pool other) {
      return settings.equals(other.settings)
          && maxResponseBytes == other.maxResponseBytes
          && passErrors == other.passErrors
          && connectionIdleMillis == other.connectionIdleMillis
          && connectTimeoutMillis == other.connectTimeoutMillis;
    }
  }

  /** A part of a route's traffic. */
  record PoolShare(String pool, double weight) {}

  /** What is read from a request to keep its key on one side of a split. */
  enum SplitBy {
    KEY,
    TENANT,
    ADDRESS
  }

  /** What a route does with what it takes; {@code match} tells what that is. */
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
