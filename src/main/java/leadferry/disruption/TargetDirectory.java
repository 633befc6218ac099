package leadferry.disruption;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Directory of the known targets: members, endpoints that a member balances over, and endpoints
 * with a grant.
 */
final class TargetDirectory {
  private final DisruptionTables tables;

  TargetDirectory(DisruptionTables tables) {
    this.tables = tables;
  }

  /** Returns a new map of all targets of a type by name. */
  Map<String, Target> byName(TargetType type) {
    return type == TargetType.PROXY ? proxies() : endpoints();
  }

  Optional<Target> find(TargetType type, String name) {
    return Optional.ofNullable(byName(type).get(name));
  }

  private Map<String, Target> proxies() {
    Map<String, Target> proxies = new TreeMap<>();
    for (ProxyMember member : tables.members.all()) {
      String zone = member.session().zone();
      proxies.put(
          member.name(),
          new Target(TargetType.PROXY, member.name(), zone, Target.NONE, Target.NONE, Target.NONE));
    }
    return proxies;
  }

  private Map<String, Target> endpoints() {
    Map<String, Target> endpoints = new TreeMap<>();
    for (List<Target> catalog : tables.catalogs.endpointsByDigest().values()) {
      catalog.forEach(endpoint -> endpoints.putIfAbsent(endpoint.name(), endpoint));
    }
    for (EvictionGrant grant : tables.grants.all()) {
      if (grant.isForType(TargetType.ENDPOINT)) {
        endpoints.putIfAbsent(grant.target().name(), grant.target());
      }
    }
    return endpoints;
  }
}
