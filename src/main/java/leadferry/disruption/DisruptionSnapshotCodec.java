package leadferry.disruption;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import leadferry.disruption.DisruptionState.Times;

/**
 * Maps {@link DisruptionTables} to and from snapshots. Snapshots of earlier builds hold the same
 * keys, so the keys must not change. Some keys differ from the names in the code:
 *
 * <pre>
 *   permits       grants; in each:
 *     of, who, why, for_ms, leaving   request: target, requestedBy, reason, durationMillis, permanent
 *     since                           grantedVersion
 *     end_since, end_why              restoringVersion, restoringReason
 *   members       members; in each:
 *     zone, version, joined           session: zone, version, startChange
 *     alive, left, fenced, serving    state
 *     said, seen, busy, suspects      lastReport: sequenceNumber, acknowledgedVersion, busyEndpoints,
 *                                     ejectedEndpoints
 *     settling                        stabilizingSinceChange
 *   catalogues    catalogs: the endpoints of each digest
 *   warming       warm-ups: the change number at which each endpoint returned
 *   settle_ms, warm_ms, fence_ms      times
 * </pre>
 */
final class DisruptionSnapshotCodec {
  private DisruptionSnapshotCodec() {}

  /** Adds the keys of the whole state to a JSON object. */
  static void encode(DisruptionTables tables, Times times, ObjectNode json) {
    json.put("version", tables.revision.version())
        .put("change", tables.revision.changeNumber())
        .put("next_permit", tables.grants.nextId())
        .put("budgets_version", tables.budgets.version())
        .put("halted", tables.haltReason())
        .put("settle_ms", times.stabilizationMillis())
        .put("warm_ms", times.warmUpMillis())
        .put("fence_ms", times.fenceMillis());
    ArrayNode budgets = json.putArray("budgets");
    tables.budgets.all().forEach(budget -> BudgetCodec.encode(budget, budgets.addObject()));
    ArrayNode grants = json.putArray("permits");
    tables.grants.all().forEach(grant -> encodeGrant(grant, grants.addObject()));
    ArrayNode members = json.putArray("members");
    tables.members.all().forEach(member -> encodeMember(member, members.addObject()));
    ObjectNode catalogs = json.putObject("catalogues");
    tables
        .catalogs
        .endpointsByDigest()
        .forEach((digest, endpoints) -> encodeEndpoints(endpoints, catalogs.putArray(digest)));
    ObjectNode warmUps = json.putObject("warming");
    tables.warmUps.startChangeByEndpoint().forEach(warmUps::put);
  }

  private static void encodeEndpoints(List<Target> endpoints, ArrayNode array) {
    endpoints.forEach(endpoint -> TargetCodec.encode(endpoint, array.addObject()));
  }

  private static void encodeGrant(EvictionGrant grant, ObjectNode json) {
    TargetCodec.encode(grant.target(), json.putObject("of"));
    json.put("id", grant.id())
        .put("who", grant.request().requestedBy())
        .put("why", grant.request().reason())
        .put("for_ms", grant.request().durationMillis())
        .put("since", grant.grantedVersion())
        .put("end_since", grant.restoringVersion())
        .put("end_why", grant.restoringReason())
        .put("leaving", grant.request().permanent());
  }

  private static void encodeMember(ProxyMember member, ObjectNode json) {
    MemberState state = member.state();
    ProxyReport report = member.lastReport();
    json.put("name", member.name())
        .put("zone", member.session().zone())
        .put("version", member.session().version())
        .put("joined", member.session().startChange())
        .put("alive", state.isLive())
        .put("left", state.hasLeft())
        .put("fenced", state.isFenced())
        .put("serving", state == MemberState.SERVING)
        .put("seen", report.acknowledgedVersion())
        .put("said", report.sequenceNumber())
        .put("settling", member.stabilizingSinceChange())
        .put("catalogue", member.catalogDigest());
    report.busyEndpoints().forEach(json.putArray("busy")::add);
    report.ejectedEndpoints().forEach(json.putArray("suspects")::add);
  }

  /**
   * Replaces the contents of the tables by those of a snapshot.
   *
   * @return the times stored in the snapshot
   */
  static Times decode(JsonNode json, DisruptionTables tables) {
    tables.revision.restore(json.path("version").asLong(), json.path("change").asLong());
    tables.setHaltReason(json.path("halted").asText(""));
    List<Budget> budgets = new ArrayList<>();
    json.path("budgets").forEach(budget -> budgets.add(decodeBudget(budget)));
    tables.budgets.restore(budgets, json.path("budgets_version").asLong());
    List<EvictionGrant> grants = new ArrayList<>();
    json.path("permits").forEach(grant -> grants.add(decodeGrant(grant)));
    tables.grants.restore(grants, json.path("next_permit").asLong(1));
    List<ProxyMember> members = new ArrayList<>();
    json.path("members").forEach(member -> members.add(decodeMember(member)));
    tables.members.restore(members);
    tables.catalogs.restore(decodeCatalogs(json.path("catalogues")));
    tables.warmUps.restore(decodeWarmUps(json.path("warming")));
    return new Times(
        json.path("settle_ms").asLong(),
        json.path("warm_ms").asLong(),
        json.path("fence_ms").asLong());
  }

  /** Reads a budget. Errors are ignored because a budget is validated before it is stored. */
  private static Budget decodeBudget(JsonNode json) {
    return BudgetCodec.decode(json, new ArrayList<>());
  }

  private static EvictionGrant decodeGrant(JsonNode json) {
    EvictionRequest request =
        new EvictionRequest(
            TargetCodec.decode(json.path("of")),
            json.path("who").asText(),
            json.path("why").asText(),
            json.path("for_ms").asLong(),
            json.path("leaving").asBoolean());
    return new EvictionGrant(
        json.path("id").asText(),
        request,
        json.path("since").asLong(),
        json.path("end_since").asLong(),
        json.path("end_why").asText());
  }

  private static ProxyMember decodeMember(JsonNode json) {
    ProxyMember.Session session =
        new ProxyMember.Session(
            json.path("zone").asText(),
            json.path("version").asText(DisruptionState.NO_VERSION),
            json.path("joined").asLong());
    ProxyReport report =
        new ProxyReport(
            json.path("said").asLong(),
            json.path("seen").asLong(),
            decodeNames(json.path("busy")),
            decodeNames(json.path("suspects")));
    return new ProxyMember(
        json.path("name").asText(),
        session,
        decodeState(json),
        report,
        json.path("settling").asLong(),
        json.path("catalogue").asText());
  }

  private static MemberState decodeState(JsonNode json) {
    if (json.path("alive").asBoolean()) {
      return json.path("serving").asBoolean() ? MemberState.SERVING : MemberState.NOT_SERVING;
    }
    boolean fenced = json.path("fenced").asBoolean();
    if (json.path("left").asBoolean()) {
      return fenced ? MemberState.LEFT_FENCED : MemberState.LEFT;
    }
    return fenced ? MemberState.LOST_FENCED : MemberState.LOST;
  }

  private static Set<String> decodeNames(JsonNode array) {
    Set<String> names = new TreeSet<>();
    array.forEach(name -> names.add(name.asText()));
    return names;
  }

  private static Map<String, List<Target>> decodeCatalogs(JsonNode json) {
    Map<String, List<Target>> catalogs = new TreeMap<>();
    for (Map.Entry<String, JsonNode> catalog : json.properties()) {
      catalogs.put(catalog.getKey(), TargetCodec.decodeAll(catalog.getValue()));
    }
    return catalogs;
  }

  private static Map<String, Long> decodeWarmUps(JsonNode json) {
    Map<String, Long> startChangeByEndpoint = new TreeMap<>();
    for (Map.Entry<String, JsonNode> warmUp : json.properties()) {
      startChangeByEndpoint.put(warmUp.getKey(), warmUp.getValue().asLong());
    }
    return startChangeByEndpoint;
  }
}
