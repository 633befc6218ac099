package leadferry.daemon;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import leadferry.consensus.LogEntry;
import leadferry.consensus.LogEntryCodec;
import leadferry.disruption.Target;
import leadferry.disruption.TargetType;
import leadferry.engine.UpstreamHosts;

/** Builds the endpoint catalog of a configuration, once for each configuration. */
final class EndpointCatalogCache {
  private DaemonConfig config;
  private LogEntry.EndpointCatalog catalog;

  /**
   * Returns the endpoints of all pools by name; an endpoint of several pools belongs to the first.
   */
  LogEntry.EndpointCatalog catalogOf(DaemonConfig current) {
    if (current != config) {
      catalog = build(current);
      config = current;
    }
    return catalog;
  }

  private static LogEntry.EndpointCatalog build(DaemonConfig config) {
    Map<String, Target> byName = new TreeMap<>();
    for (DaemonConfig.Pool pool : config.pools().values()) {
      for (UpstreamHosts.Member host : pool.members()) {
        byName.putIfAbsent(
            host.name(),
            new Target(
                TargetType.ENDPOINT,
                host.name(),
                host.zone(),
                Long.toHexString(host.cell()),
                pool.name(),
                host.kind()));
      }
    }
    return LogEntryCodec.catalogOf(List.copyOf(byName.values()));
  }
}
