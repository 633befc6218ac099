package leadferry.disruption;

import java.util.List;
import java.util.Optional;
import leadferry.disruption.Outcome.Status;

/**
 * Grants evictions, begins to restore their targets, and releases the grants of restored endpoints.
 */
final class EvictionController {
  private static final long MAX_DURATION_MILLIS = 30L * 24 * 3_600_000;

  private final DisruptionTables tables;
  private final TargetDirectory targets;
  private final UnavailabilityEvaluator unavailability;
  private final BudgetEvaluator budgets;

  EvictionController(
      DisruptionTables tables,
      TargetDirectory targets,
      UnavailabilityEvaluator unavailability,
      BudgetEvaluator budgets) {
    this.tables = tables;
    this.targets = targets;
    this.unavailability = unavailability;
    this.budgets = budgets;
  }

  /** Takes a target out of service unless a rule forbids it. */
  Outcome drain(DisruptionCommand.Drain drain) {
    Optional<Outcome> malformed = rejectMalformed(drain);
    if (malformed.isPresent()) {
      return malformed.get();
    }
    Target target = targets.find(drain.type(), drain.name()).orElse(null);
    if (target == null) {
      return Outcome.of(
          Status.UNKNOWN, "no " + drain.type().storedName() + " '" + drain.name() + "'");
    }
    Optional<Outcome> refused = refuse(target);
    if (refused.isPresent()) {
      return refused.get();
    }
    EvictionGrant grant =
        tables.grants.add(
            new EvictionRequest(
                target,
                drain.requestedBy(),
                drain.reason(),
                drain.durationMillis(),
                drain.permanent()),
            tables.revision.advanceVersion());
    // A grant of a proxy ends the warm-up of the endpoint with the empty name, as in earlier
    // builds: replicas of different builds must compute the same state from the same log.
    tables.warmUps.end(target.type() == TargetType.ENDPOINT ? target.name() : "");
    return new Outcome(Status.GRANTED, grant.id(), List.of());
  }

  private static Optional<Outcome> rejectMalformed(DisruptionCommand.Drain drain) {
    long durationMillis = drain.durationMillis();
    if (drain.permanent() && (drain.type() != TargetType.PROXY || durationMillis != 0)) {
      return Optional.of(
          Outcome.of(
              Status.MALFORMED,
              "leave: of a "
                  + drain.type().storedName()
                  + " for "
                  + durationMillis
                  + " ms (expected: a proxy, for good)"));
    }
    if (durationMillis < 0 || durationMillis > MAX_DURATION_MILLIS) {
      return Optional.of(
          Outcome.of(
              Status.MALFORMED,
              "for_ms: " + durationMillis + " (expected: 0 to " + MAX_DURATION_MILLIS + ")"));
    }
    return Optional.empty();
  }

  private Optional<Outcome> refuse(Target target) {
    EvictionGrant heldGrant = tables.grants.heldBy(target.type(), target.name()).orElse(null);
    if (heldGrant != null) {
      String reason =
          target.name()
              + " is out already, by permit "
              + heldGrant.id()
              + (heldGrant.isRestoring() ? ", which is ending" : "");
      return Optional.of(new Outcome(Status.REFUSED, heldGrant.id(), List.of(reason)));
    }
    if (tables.isHalted()) {
      return Optional.of(Outcome.of(Status.HALTED, tables.haltReason()));
    }
    if (tables.grants.size() >= EvictionGrantTable.MAX_GRANTS) {
      return Optional.of(
          Outcome.of(Status.REFUSED, "permits: " + tables.grants.size() + " (expected: fewer)"));
    }
    List<String> refusals = budgets.findRefusals(target);
    return refusals.isEmpty()
        ? Optional.empty()
        : Optional.of(new Outcome(Status.REFUSED, "", refusals));
  }

  /**
   * Grants an eviction of a target that has returned and still counts as unavailable. Budgets are
   * not checked, since the number of unavailable targets stays the same.
   *
   * @return id of the grant, or "" if the target is unknown, available or holds a grant, or if the
   *     fleet is halted
   */
  String keepOutOfService(TargetType type, String name, String requestedBy, String reason) {
    Target target = targets.find(type, name).orElse(null);
    if (target == null
        || tables.isHalted()
        || tables.grants.heldBy(type, name).isPresent()
        || unavailability.of(type, name).isEmpty()) {
      return "";
    }
    EvictionRequest request = new EvictionRequest(target, requestedBy, reason, 0, false);
    return tables.grants.add(request, tables.revision.advanceVersion()).id();
  }

  /** Begins to restore the target of a grant. A grant that is restoring already stays unchanged. */
  Outcome undo(String grantId, String reason) {
    EvictionGrant grant = tables.grants.find(grantId).orElse(null);
    if (grant == null) {
      return Outcome.of(Status.UNKNOWN, "no permit '" + grantId + "'");
    }
    if (!grant.isRestoring()) {
      tables.grants.beginRestoring(grant, tables.revision.advanceVersion(), reason);
      if (isHeldByProxyWithoutSession(grant)) {
        tables.grants.release(
            grant); // The proxy counts as lost and gets the current view with its next session.
      }
      releaseAcknowledgedEndpoints();
    }
    return new Outcome(Status.DONE, grantId, List.of());
  }

  private boolean isHeldByProxyWithoutSession(EvictionGrant grant) {
    return grant.isForType(TargetType.PROXY)
        && tables
            .members
            .find(grant.target().name())
            .filter(holder -> !holder.state().isLive())
            .isPresent();
  }

  /**
   * Releases each restoring grant of an endpoint once all live proxies have acknowledged the
   * restoration. The endpoint warms up from then on.
   */
  void releaseAcknowledgedEndpoints() {
    for (EvictionGrant grant : List.copyOf(tables.grants.all())) {
      if (grant.isForType(TargetType.ENDPOINT)
          && grant.isRestoring()
          && haveAllLiveMembersAcknowledged(grant.restoringVersion())) {
        tables.grants.release(grant);
        tables.warmUps.begin(grant.target().name(), tables.revision.advanceChange());
      }
    }
  }

  private boolean haveAllLiveMembersAcknowledged(long version) {
    return tables.members.all().stream()
        .filter(member -> member.state().isLive())
        .allMatch(member -> member.hasAcknowledged(version));
  }
}
