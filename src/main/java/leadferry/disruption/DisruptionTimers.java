package leadferry.disruption;

import java.util.LinkedHashMap;
import java.util.Map;

/** Determines the running timers and their durations, and applies their expiry. */
final class DisruptionTimers {
  private final DisruptionTables tables;
  private final EvictionController evictions;

  DisruptionTimers(DisruptionTables tables, EvictionController evictions) {
    this.tables = tables;
    this.evictions = evictions;
  }

  /**
   * Returns the durations (ms) of the running timers by stored name. A duration counts from the
   * first result that lists the timer.
   */
  Map<String, Long> durationsMillis(DisruptionState.Times times) {
    Map<String, Long> durationsMillis = new LinkedHashMap<>();
    runningTimers(times)
        .forEach((timer, durationMillis) -> durationsMillis.put(timer.name(), durationMillis));
    return durationsMillis;
  }

  private Map<DisruptionTimer, Long> runningTimers(DisruptionState.Times times) {
    Map<DisruptionTimer, Long> timers = new LinkedHashMap<>();
    for (EvictionGrant grant : tables.grants.all()) {
      long durationMillis = grant.request().durationMillis();
      if (durationMillis > 0 && !grant.isRestoring()) {
        timers.put(
            new DisruptionTimer.GrantExpiry(grant.id()), durationMillis + times.fenceMillis());
      }
    }
    for (ProxyMember member : tables.members.all()) {
      if (member.isStabilizing() && member.state() == MemberState.SERVING) {
        timers.put(
            new DisruptionTimer.Stabilization(member.name(), member.stabilizingSinceChange()),
            times.stabilizationMillis());
      }
    }
    tables
        .warmUps
        .startChangeByEndpoint()
        .forEach(
            (endpoint, startChange) ->
                timers.put(
                    new DisruptionTimer.WarmUp(endpoint, startChange), times.warmUpMillis()));
    return timers;
  }

  /** Applies the expiry of a timer. A timer that no longer runs is ignored. */
  void onExpired(String name, DisruptionState.Times times) {
    for (DisruptionTimer timer : runningTimers(times).keySet()) {
      if (timer.name().equals(name)) {
        tables.revision.advanceChange();
        apply(timer);
        return;
      }
    }
  }

  private void apply(DisruptionTimer timer) {
    if (timer instanceof DisruptionTimer.GrantExpiry expiry) {
      evictions.undo(expiry.grantId(), "its time was over");
    } else if (timer instanceof DisruptionTimer.Stabilization stabilization) {
      tables
          .members
          .find(stabilization.proxy())
          .ifPresent(member -> tables.members.put(member.withoutStabilization()));
    } else if (timer instanceof DisruptionTimer.WarmUp warmUp) {
      tables.warmUps.end(warmUp.endpoint());
    }
  }
}
