package leadferry.disruption;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Writes the status view for operators: budgets, grants, proxies and endpoints, under their stored
 * names such as "permits", "hosts" and "ending".
 */
final class StatusWriter {
  private final DisruptionTables tables;
  private final TargetDirectory targets;
  private final UnavailabilityEvaluator unavailability;
  private final EvictionProgress progress;

  StatusWriter(
      DisruptionTables tables,
      TargetDirectory targets,
      UnavailabilityEvaluator unavailability,
      EvictionProgress progress) {
    this.tables = tables;
    this.targets = targets;
    this.unavailability = unavailability;
    this.progress = progress;
  }

  void write(ObjectNode json) {
    json.put("version", tables.revision.version())
        .put("halted", tables.haltReason())
        .put("budgets_version", tables.budgets.version());
    ArrayNode budgets = json.putArray("budgets");
    tables.budgets.all().forEach(budget -> BudgetCodec.encode(budget, budgets.addObject()));
    ArrayNode grants = json.putArray("permits");
    tables.grants.all().forEach(grant -> writeGrant(grant, grants.addObject()));
    ArrayNode proxies = json.putArray("proxies");
    tables.members.all().forEach(member -> writeProxy(member, proxies.addObject()));
    ArrayNode endpoints = json.putArray("hosts");
    targets
        .byName(TargetType.ENDPOINT)
        .values()
        .forEach(endpoint -> writeEndpoint(endpoint, endpoints.addObject()));
  }

  private void writeGrant(EvictionGrant grant, ObjectNode json) {
    json.put("id", grant.id())
        .put("kind", grant.target().type().storedName())
        .put("name", grant.target().name())
        .put("who", grant.request().requestedBy())
        .put("why", grant.request().reason())
        .put("for_ms", grant.request().durationMillis())
        .put("since", grant.grantedVersion())
        .put("state", stateName(grant));
    if (grant.isRestoring()) {
      json.put("end_why", grant.restoringReason());
    }
    ObjectNode awaited = json.putObject("awaited");
    progress.pendingProxies(grant.id()).forEach(awaited::put);
  }

  private String stateName(EvictionGrant grant) {
    return switch (grant.state()) {
      case RESTORING -> "ending";
      case GRANTED -> progress.isCarriedOut(grant.id()) ? "out" : "granted";
    };
  }

  private void writeProxy(ProxyMember member, ObjectNode json) {
    json.put("name", member.name())
        .put("zone", member.session().zone())
        .put("version", member.session().version())
        .put("session", member.state().isLive())
        .put("serving", member.state() == MemberState.SERVING)
        .put("seen", member.lastReport().acknowledgedVersion())
        .put("out", reasonOrNull(TargetType.PROXY, member.name()));
  }

  private void writeEndpoint(Target endpoint, ObjectNode json) {
    json.put("name", endpoint.name())
        .put("zone", endpoint.zone())
        .put("pod", endpoint.pod())
        .put("pool", endpoint.pool())
        .put("kind", endpoint.kind())
        .put("out", reasonOrNull(TargetType.ENDPOINT, endpoint.name()));
  }

  private String reasonOrNull(TargetType type, String name) {
    return unavailability.of(type, name).map(Unavailability::text).orElse(null);
  }
}
