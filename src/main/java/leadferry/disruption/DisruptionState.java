package leadferry.disruption;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import leadferry.disruption.DisruptionCommand.Drain;
import leadferry.disruption.Outcome.Status;

/**
 * Part of the replicated state that records which targets are unavailable and decides which may be
 * taken out of service. One thread applies the entries of the replicated log on members, evictions
 * and budgets in log order. The result depends on the entries alone.
 *
 * <p>An eviction is granted only if no budget would then have more unavailable targets than it
 * allows. {@link UnavailabilityEvaluator} defines when a target is unavailable.
 *
 * <pre>
 *   proxy:    unknown --session opened--> available
 *             available --granted--> out --undone--> restoring --serves again--> stabilizing --timer--> available
 *             available --session expired--> lost --session opened--> stabilizing --timer--> available
 *   endpoint: available --granted--> out --undone--> restoring --all acknowledged--> warming up --timer--> available
 * </pre>
 *
 * <p>The state reads no clock. The leader of the replicas runs the timers of {@link
 * #timerDurationsMillis} and writes their expiry into the log.
 */
public final class DisruptionState {
  /** Regular expression of the names of proxies, endpoints and budgets. */
  public static final String NAME_PATTERN = "[A-Za-z0-9_][A-Za-z0-9_.:-]{0,63}";

  /** Version of a proxy that has not reported its software version. */
  public static final String NO_VERSION = "-";

  /**
   * Durations that apply to the whole fleet.
   *
   * @param stabilizationMillis time (ms) for which a returned proxy counts as unavailable after it
   *     serves again
   * @param warmUpMillis time (ms) for which a returned endpoint counts as unavailable
   * @param fenceMillis time (ms) by which a grant with a duration expires later in the replicated
   *     state than at the proxy that holds it
   */
  public record Times(long stabilizationMillis, long warmUpMillis, long fenceMillis) {}

  private final DisruptionTables tables = new DisruptionTables();
  private final TargetDirectory targets = new TargetDirectory(tables);
  private final EjectionCounter ejections = new EjectionCounter(tables.members);
  private final UnavailabilityEvaluator unavailability =
      new UnavailabilityEvaluator(tables, ejections);
  private final BudgetEvaluator budgetEvaluator =
      new BudgetEvaluator(tables.budgets, targets, unavailability);
  private final EvictionController evictions =
      new EvictionController(tables, targets, unavailability, budgetEvaluator);
  private final EvictionProgress progress = new EvictionProgress(tables);
  private final MemberLifecycle memberLifecycle = new MemberLifecycle(tables, ejections, evictions);
  private final DisruptionTimers timers = new DisruptionTimers(tables, evictions);
  private Times times;

  /** Creates an empty state. {@link #restore} replaces the times by those of the snapshot. */
  public DisruptionState(Times times) {
    this.times = times;
  }

  /** Returns the version of the state, which grows with each change that members must apply. */
  public long version() {
    return tables.revision.version();
  }

  /** Returns the number of changes of any kind so far, which orders events. */
  public long changeNumber() {
    return tables.revision.changeNumber();
  }

  /** Returns the reason for the halt, or "" if the fleet is not halted. */
  public String haltReason() {
    return tables.haltReason();
  }

  /**
   * Returns the software version that a proxy runs.
   *
   * @param afterChange change number after which the session of the proxy must have begun
   * @return the software version, or "" if the proxy has no live session that began later, or has
   *     not reported in that session
   */
  public String runningVersion(String proxy, long afterChange) {
    return tables
        .members
        .find(proxy)
        .filter(member -> member.hasReportedInSessionAfter(afterChange))
        .map(member -> member.session().version())
        .orElse("");
  }

  /**
   * Returns the names of proxies whose session expired and of endpoints that proxies have ejected,
   * with and without grants.
   */
  public Set<String> lostTargets() {
    Set<String> names = new TreeSet<>(ejections.lostEndpoints());
    for (ProxyMember member : tables.members.all()) {
      if (member.state().isLost()) {
        names.add(member.name());
      }
    }
    return names;
  }

  /**
   * Applies the beginning of a proxy's session.
   *
   * @param digest digest of the list of endpoints that the proxy balances over
   */
  public void onSessionOpened(
      String name, String zone, String version, String digest, List<Target> endpoints) {
    memberLifecycle.onSessionOpened(name, zone, version, digest, endpoints);
  }

  /**
   * Applies the report of a proxy. A report that arrives after a later one is ignored.
   *
   * @param sequenceNumber number of the report in its session, from 1
   * @param acknowledgedVersion version of the replicated state that the proxy applies
   * @param busyEndpoints endpoints that are out of service and to which the proxy still has
   *     requests in flight
   * @param ejectedEndpoints endpoints that the outlier detection of the proxy has ejected
   */
  public void onMemberReport(
      String name,
      long sequenceNumber,
      long acknowledgedVersion,
      boolean serving,
      Set<String> busyEndpoints,
      Set<String> ejectedEndpoints) {
    ProxyReport report =
        new ProxyReport(sequenceNumber, acknowledgedVersion, busyEndpoints, ejectedEndpoints);
    memberLifecycle.onReport(name, report, serving);
  }

  /** Applies a change of the list of endpoints that a proxy balances over. */
  public void onCatalogChanged(String name, String digest, List<Target> endpoints) {
    memberLifecycle.onCatalogChanged(name, digest, endpoints);
  }

  /**
   * Applies the end of a proxy's session.
   *
   * @param clean true if the proxy closed the session itself and had no requests in flight; false
   *     if the session expired
   */
  public void onSessionEnded(String name, boolean clean) {
    memberLifecycle.onSessionEnded(name, clean);
  }

  /** Applies an operator's command. */
  public Outcome apply(DisruptionCommand command) {
    if (command instanceof Drain drain) {
      return evictions.drain(drain);
    }
    if (command instanceof DisruptionCommand.Undo undo) {
      return undo(undo.grantId(), undo.reason());
    }
    if (command instanceof DisruptionCommand.Halt halt) {
      return halt(halt.reason());
    }
    if (command instanceof DisruptionCommand.Resume) {
      return resume();
    }
    if (command instanceof DisruptionCommand.Fence fence) {
      return fence(fence.name());
    }
    if (command instanceof DisruptionCommand.Forget forget) {
      return forget(forget.name());
    }
    if (command instanceof DisruptionCommand.ReplaceBudgets replace) {
      return replaceBudgets(replace.budgets(), replace.expectedVersion());
    }
    throw new IllegalArgumentException(
        "command: " + command + " (expected: a command of disruption)");
  }

  /**
   * Takes a target out of service unless a rule forbids it; {@link Drain} describes the parameters.
   */
  public Outcome drain(
      TargetType type,
      String name,
      long durationMillis,
      boolean permanent,
      String requestedBy,
      String reason) {
    return evictions.drain(new Drain(type, name, durationMillis, permanent, requestedBy, reason));
  }

  /**
   * Grants an eviction of a target that has returned and still counts as unavailable. Budgets are
   * not checked, since the number of unavailable targets stays the same.
   *
   * @return id of the grant, or "" if the target is unknown, available or holds a grant, or if the
   *     fleet is halted
   */
  public String keepOutOfService(TargetType type, String name, String requestedBy, String reason) {
    return evictions.keepOutOfService(type, name, requestedBy, reason);
  }

  /** Begins to return the target of an eviction grant to service. */
  public Outcome undo(String grantId, String reason) {
    return evictions.undo(grantId, reason);
  }

  /** Stops all granting from this entry on. */
  public Outcome halt(String reason) {
    tables.revision.advanceVersion();
    tables.setHaltReason(reason.isEmpty() ? "halted" : reason);
    return Outcome.of(Status.DONE);
  }

  /** Allows granting again from this entry on. */
  public Outcome resume() {
    tables.revision.advanceVersion();
    tables.setHaltReason("");
    return Outcome.of(Status.DONE);
  }

  /**
   * Replaces all budgets, or none if one of them is rejected.
   *
   * @param expectedVersion version of the budgets to replace
   */
  public Outcome replaceBudgets(List<Budget> replacements, long expectedVersion) {
    return tables.budgets.replace(replacements, expectedVersion, tables.revision);
  }

  /**
   * Records an operator's declaration that the process of a lost proxy is dead and sends no more
   * requests.
   */
  public Outcome fence(String name) {
    return memberLifecycle.fence(name);
  }

  /** Removes a proxy that will not return from all counts. */
  public Outcome forget(String name) {
    return memberLifecycle.forget(name);
  }

  /**
   * Returns the durations (ms) of the running timers by name. A duration counts from the first
   * result that lists the timer.
   */
  public Map<String, Long> timerDurationsMillis() {
    return timers.durationsMillis(times);
  }

  /**
   * Applies the expiry of a timer of {@link #timerDurationsMillis}. A timer that no longer runs is
   * ignored.
   */
  public void onTimerExpired(String timerName) {
    timers.onExpired(timerName, times);
  }

  /**
   * Returns the stored text of the reason why the target is unavailable, or null if it is available
   * or unknown.
   */
  public String unavailabilityReason(TargetType type, String name) {
    return unavailability.of(type, name).map(Unavailability::text).orElse(null);
  }

  /** Returns all known targets of a type, in the order of their names. */
  public Collection<Target> targets(TargetType type) {
    return targetsByName(type).values();
  }

  /** Returns a new map of all known targets of a type by name. */
  public Map<String, Target> targetsByName(TargetType type) {
    return targets.byName(type);
  }

  /** Writes the outcome that a drain would have now, and each bound that applies to it. */
  public void writeExplanation(TargetType type, String name, ObjectNode json) {
    new DrainExplanationWriter(tables, targets, unavailability, budgetEvaluator)
        .write(type, name, json);
  }

  /**
   * Returns the proxies that may still send requests to the endpoint of a grant: the reason by name
   * of the proxy.
   */
  public Map<String, String> pendingProxies(String grantId) {
    return progress.pendingProxies(grantId);
  }

  /**
   * Returns whether the eviction of a grant is complete, see {@link EvictionProgress#isCarriedOut}.
   */
  public boolean isCarriedOut(String grantId) {
    return progress.isCarriedOut(grantId);
  }

  /** Writes the view that every member applies, see {@link FleetViewCodec}. */
  public void writeView(ObjectNode json) {
    FleetViewCodec.encode(FleetView.of(tables), json);
  }

  /** Writes the status view for operators. */
  public void writeStatus(ObjectNode json) {
    new StatusWriter(tables, targets, unavailability, progress).write(json);
  }

  /**
   * Writes the whole state. A state restored from the result is equal to this one and gives the
   * same outcomes of later commands.
   */
  public void writeSnapshot(ObjectNode json) {
    DisruptionSnapshotCodec.encode(tables, times, json);
  }

  /** Replaces the whole state, including the times, by that of a snapshot. */
  public void restore(JsonNode json) {
    times = DisruptionSnapshotCodec.decode(json, tables);
  }

  /** Reads a JSON array of targets in their stored form, see {@link TargetCodec}. */
  public static List<Target> readTargets(JsonNode array) {
    return TargetCodec.decodeAll(array);
  }

  /** Writes a target in its stored form, see {@link TargetCodec}. */
  public static void writeTarget(Target target, ObjectNode json) {
    TargetCodec.encode(target, json);
  }
}
