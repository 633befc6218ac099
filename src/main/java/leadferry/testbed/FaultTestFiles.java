package leadferry.testbed;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;

/** Creates the configuration files of a fault test's replicas and proxies. */
final class FaultTestFiles {
  /** Mean service time of a request on each of an upstream's two cores, in milliseconds. */
  static final double SERVICE_MILLIS = 10;

  /** Warm-up time of an upstream after its start, in milliseconds. */
  static final int WARM_UP_MILLIS = 1_500;

  /** Fraction of its capacity that an upstream has at its start. */
  static final double START_CAPACITY = 0.2;

  /** Placeholder in a proxy's file for the version to run. */
  static final String VERSION_PLACEHOLDER = "{version}";

  private static final String ROUTES =
      """
      [[route]]
      name = "claims"
      prefix = "/claim"
      class = "claim"
      pool = "roster"
      [[route]]
      name = "lists"
      prefix = "/"
      class = "list"
      pool = "roster"
      """;

  private final String fleet;

  FaultTestFiles(String fleet) {
    this.fleet = fleet;
  }

  static String text(InetSocketAddress address) {
    return "127.0.0.1:" + address.getPort();
  }

  String replica(
      String name,
      InetSocketAddress logAddress,
      InetSocketAddress apiAddress,
      Path logFolder,
      Map<String, InetSocketAddress> peers) {
    StringBuilder file = new StringBuilder();
    file.append(
        """
        [keeper]
        fleet = "%s"
        name = "%s"
        log_address = "%s"
        api_address = "%s"
        folder = "%s"
        election_ms = 300
        snapshot_entries = 60
        [fleet]
        settle_ms = 500
        warm_ms = %d
        fence_ms = 300
        """
            .formatted(fleet, name, text(logAddress), text(apiAddress), logFolder, WARM_UP_MILLIS));
    peers.forEach(
        (peer, address) ->
            file.append("[peer.%s]\nlog_address = \"%s\"\n".formatted(peer, text(address))));
    return file.toString();
  }

  String proxy(
      String name,
      InetSocketAddress address,
      Path stateFile,
      Map<String, InetSocketAddress> replicas,
      Map<String, InetSocketAddress> upstreams) {
    StringBuilder file = new StringBuilder();
    file.append(
        """
        [daemon]
        workers = 1
        drain_ms = 2000
        [fleet]
        fleet = "%s"
        name = "%s"
        lease_ms = %d
        on_unreachable = "last"
        start_wait_ms = 4000
        state_file = "%s"
        version = "%s"
        [fleet.keepers]
        """
            .formatted(fleet, name, FaultTest.LEASE_MILLIS, stateFile, VERSION_PLACEHOLDER));
    replicas.forEach((replica, at) -> file.append("%s = \"%s\"\n".formatted(replica, text(at))));
    file.append(
        """
        [listener.main]
        address = "%s"
        [class.claim]
        aim_ms = 1000
        deadline_ms = 3000
        [class.list]
        aim_ms = 1000
        deadline_ms = 3000
        repeat = "safe"
        [pool.roster]
        cold = { for_ms = %d, start_capacity = %s }
        """
            .formatted(text(address), WARM_UP_MILLIS, START_CAPACITY));
    upstreams.forEach((upstream, at) -> file.append(member(upstream, at)));
    file.append(ROUTES);
    return file.toString();
  }

  private static String member(String upstream, InetSocketAddress address) {
    return """
        [[pool.roster.member]]
        id = "%s"
        address = "%s"
        pod = "p%d"
        """
        .formatted(upstream, text(address), upstream.hashCode() % 3);
  }
}
