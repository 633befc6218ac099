package leadferry.disruption;

import java.util.Optional;
import leadferry.disruption.Unavailability.Cause;

/**
 * Determines whether a target is unavailable, and why. A target is unavailable if it holds an
 * eviction grant, if it is lost or does not serve, or if it has returned and is still warming up or
 * stabilizing. Lost targets thus use up budgets, and a target wrongly seen as lost leads to fewer
 * evictions, never to more.
 */
final class UnavailabilityEvaluator {
  private final DisruptionTables tables;
  private final EjectionCounter ejections;

  UnavailabilityEvaluator(DisruptionTables tables, EjectionCounter ejections) {
    this.tables = tables;
    this.ejections = ejections;
  }

  /** Returns why a target is unavailable; empty if it is available or unknown. */
  Optional<Unavailability> of(TargetType type, String name) {
    Optional<EvictionGrant> grant = tables.grants.heldBy(type, name);
    if (grant.isPresent()) {
      return grant.map(Unavailability::byGrant);
    }
    return type == TargetType.ENDPOINT
        ? ofEndpoint(name)
        : tables.members.find(name).flatMap(UnavailabilityEvaluator::ofProxy);
  }

  private Optional<Unavailability> ofEndpoint(String name) {
    if (ejections.isLost(name)) {
      return Optional.of(Unavailability.ejectedBy(ejections.countEjections(name)));
    }
    return tables.warmUps.isWarmingUp(name)
        ? Optional.of(Unavailability.of(Cause.WARMING_UP))
        : Optional.empty();
  }

  private static Optional<Unavailability> ofProxy(ProxyMember member) {
    return switch (member.state()) {
      case LEFT, LEFT_FENCED -> Optional.of(Unavailability.of(Cause.LEFT));
      case LOST -> Optional.of(Unavailability.of(Cause.LOST));
      case LOST_FENCED -> Optional.of(Unavailability.of(Cause.LOST_FENCED));
      case NOT_SERVING -> Optional.of(Unavailability.of(Cause.NOT_SERVING));
      case SERVING ->
          member.isStabilizing()
              ? Optional.of(Unavailability.of(Cause.STABILIZING))
              : Optional.empty();
    };
  }
}
