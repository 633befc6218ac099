package leadferry.disruption;

import java.util.List;
import java.util.Optional;
import leadferry.disruption.Outcome.Status;

/** Gives eviction grants, takes them back, and releases those of hosts. */
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

  /** Takes a target out of service if nothing forbids it. */
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
    // A proxy's grant ends the warm-up of a host without a name, as in earlier builds: replicas of
    // two builds must not differ about one log.
    tables.warmUps.end(target.type() == TargetType.HOST ? target.name() : "");
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
    EvictionGrant held = tables.grants.heldBy(target.type(), target.name()).orElse(null);
    if (held != null) {
      String reason =
          target.name()
              + " is out already, by permit "
              + held.id()
              + (held.isRestoring() ? ", which is ending" : "");
      return Optional.of(new Outcome(Status.REFUSED, held.id(), List.of(reason)));
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
   * Keeps a target out of service that has come back and still counts as unavailable; no budget is
   * asked for more.
   *
   * @return id of the grant, or "" where the target is available, holds a grant, or all is halted
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

  /** Begins to take a grant back; one that is being taken back stays as it is. */
  Outcome undo(String grantId, String reason) {
    EvictionGrant grant = tables.grants.find(grantId).orElse(null);
    if (grant == null) {
      return Outcome.of(Status.UNKNOWN, "no permit '" + grantId + "'");
    }
    if (!grant.isRestoring()) {
      tables.grants.beginRestoring(grant, tables.revision.advanceVersion(), reason);
      if (isHeldByProxyWithoutSession(grant)) {
        tables.grants.release(grant); // it counts as lost, and hears of this when it joins
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
   * Releases grants of hosts that are being taken back once all live proxies have acknowledged it;
   * the host warms up from then on.
   */
  void releaseAcknowledgedEndpoints() {
    for (EvictionGrant grant : List.copyOf(tables.grants.all())) {
      if (grant.isForType(TargetType.HOST)
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
