package leadferry.disruption;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The status view for operators: budgets, grants, proxies and hosts, in the stored words
 * ("permits", "out", "ending").
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
    ArrayNode hosts = json.putArray("hosts");
    targets.byName(TargetType.HOST).values().forEach(host -> writeHost(host, hosts.addObject()));
  }

  private void writeGrant(EvictionGrant grant, ObjectNode json) {
    json.put("id", grant.id())
        .put("kind", grant.target().kind().word())
        .put("name", grant.target().name())
        .put("who", grant.request().requestedBy())
        .put("why", grant.request().reason())
        .put("for_ms", grant.request().durationMillis())
        .put("since", grant.grantedVersion())
        .put("state", stateWord(grant));
    if (grant.isRestoring()) {
      json.put("end_why", grant.restoringReason());
    }
    ObjectNode awaited = json.putObject("awaited");
    progress.awaited(grant.id()).forEach(awaited::put);
  }

  private String stateWord(EvictionGrant grant) {
    return switch (grant.state()) {
      case RESTORING -> "ending";
      case GRANTED -> progress.carriedOut(grant.id()) ? "out" : "granted";
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

  private void writeHost(Target host, ObjectNode json) {
    json.put("name", host.name())
        .put("zone", host.zone())
        .put("pod", host.pod())
        .put("pool", host.pool())
        .put("kind", host.type())
        .put("out", reasonOrNull(TargetType.HOST, host.name()));
  }

  private String reasonOrNull(TargetType type, String name) {
    return unavailability.of(type, name).map(Unavailability::text).orElse(null);
  }
}
