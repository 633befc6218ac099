package leadferry.disruption;

import java.util.Optional;
import leadferry.disruption.Unavailability.Cause;

/**
 * Answers whether a target is unavailable, and why. A target is unavailable if it holds an eviction
 * grant; or is lost without one; or has come back and is not yet what it was. So losses use budgets
 * up, and an error is one to fewer evictions.
 */
final class UnavailabilityEvaluator {
  private final DisruptionTables tables;
  private final EjectionCounter ejections;

  UnavailabilityEvaluator(DisruptionTables tables, EjectionCounter ejections) {
    this.tables = tables;
    this.ejections = ejections;
  }

  /** Why that target is unavailable; empty where it is available or not known. */
  Optional<Unavailability> of(TargetType type, String name) {
    Optional<EvictionGrant> grant = tables.grants.heldBy(type, name);
    if (grant.isPresent()) {
      return grant.map(Unavailability::byGrant);
    }
    return type == TargetType.HOST
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
