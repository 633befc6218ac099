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
 * Who is unavailable, and who may be taken out of service: the part of the agreed state that the
 * log's entries on members, evictions and budgets are applied to. Deterministic; one thread applies
 * entries in their order.
 *
 * <p>An eviction is granted only where no budget then has more targets unavailable than it allows;
 * {@link UnavailabilityEvaluator} says what counts.
 *
 * <pre>
 *   proxy:  unknown --joined--> available
 *           available --granted--> out --undone--> restoring --serves again--> stabilizing --time--> available
 *           available --lost--> lost --joined--> stabilizing --time--> available
 *   host:   available --granted--> out --undone--> restoring --all acknowledged--> warming up --time--> available
 * </pre>
 *
 * <p>Time enters by {@link #timers}: the leader of the replicas counts them and writes their end
 * into the log.
 */
public final class DisruptionState {
  /** The form of names of proxies, hosts and budgets. */
  public static final String NAME_PATTERN = "[A-Za-z0-9_][A-Za-z0-9_.:-]{0,63}";

  /** The version of a proxy that did not tell what it runs. */
  public static final String NO_VERSION = "-";

  /**
   * The times of a fleet.
   *
   * @param stabilizationMillis how long a proxy that came back and serves stays unavailable
   * @param warmUpMillis how long a host that came back stays unavailable
   * @param fenceMillis how much later than at its holder a grant with a duration expires here
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

  /** An empty state; {@link #restore} may replace the times. */
  public DisruptionState(Times times) {
    this.times = times;
  }

  /** Grows with each change of what members go by. */
  public long version() {
    return tables.revision.version();
  }

  /** Grows with each change of any kind; orders events. */
  public long changeNumber() {
    return tables.revision.changeNumber();
  }

  /** Why nothing is granted, "" where grants are given. */
  public String haltReason() {
    return tables.haltReason();
  }

  /**
   * The version that runs at a proxy.
   *
   * @param afterChange the session must have begun after that change
   * @return the version, or "" where it has no such session, or has not reported in it
   */
  public String version(String proxy, long afterChange) {
    return tables
        .members
        .find(proxy)
        .filter(member -> member.hasReportedInSessionAfter(afterChange))
        .map(member -> member.session().version())
        .orElse("");
  }

  /** Proxies whose session expired and hosts that proxies have ejected, with and without grants. */
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
   * A proxy's session begins.
   *
   * @param digest digest of the list of hosts that it balances over
   */
  public void onSessionOpened(
      String name, String zone, String version, String digest, List<Target> endpoints) {
    memberLifecycle.onSessionOpened(name, zone, version, digest, endpoints);
  }

  /**
   * A proxy reported; an earlier report that comes late changes nothing.
   *
   * @param sequenceNumber counts the reports of a session from 1
   * @param acknowledgedVersion version of the agreed state that it goes by
   * @param busyEndpoints hosts taken out of service on which it has requests in flight
   * @param ejectedEndpoints hosts that its outlier detection has ejected
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

  /** The list of hosts that a proxy balances over has changed. */
  public void onCatalogChanged(String name, String digest, List<Target> endpoints) {
    memberLifecycle.onCatalogChanged(name, digest, endpoints);
  }

  /**
   * A proxy's session ended.
   *
   * @param clean by the proxy's own word, without requests in flight; otherwise it expired
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
    throw new IllegalArgumentException("command: " + command + " (expected: one of disruption)");
  }

  /** Takes a target out of service if nothing forbids it, see {@link Drain}. */
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
   * Keeps a target out of service that has come back and still counts as unavailable, so that no
   * budget is asked for more.
   *
   * @return id of the grant, or "" where the target is available, holds a grant, or all is halted
   */
  public String keepOutOfService(TargetType type, String name, String requestedBy, String reason) {
    return evictions.keepOutOfService(type, name, requestedBy, reason);
  }

  /** Begins to take an eviction grant back. */
  public Outcome undo(String grantId, String reason) {
    return evictions.undo(grantId, reason);
  }

  /** From this entry on nothing is granted. */
  public Outcome halt(String reason) {
    tables.revision.advanceVersion();
    tables.setHaltReason(reason.isEmpty() ? "halted" : reason);
    return Outcome.of(Status.DONE);
  }

  /** From this entry on grants are given again. */
  public Outcome resume() {
    tables.revision.advanceVersion();
    tables.setHaltReason("");
    return Outcome.of(Status.DONE);
  }

  /**
   * Puts budgets in force, all of them or none.
   *
   * @param expectedVersion version of the budgets that they replace
   */
  public Outcome replaceBudgets(List<Budget> replacements, long expectedVersion) {
    return tables.budgets.replace(replacements, expectedVersion, tables.revision);
  }

  /** An operator declares a lost proxy's process dead: it can send nothing any more. */
  public Outcome fence(String name) {
    return memberLifecycle.fence(name);
  }

  /** Takes a proxy that is gone for good out of all counts. */
  public Outcome forget(String name) {
    return memberLifecycle.forget(name);
  }

  /** The timers that run, and how long each takes from when it was first named (ms). */
  public Map<String, Long> timerDurationsMillis() {
    return timers.durationsMillis(times);
  }

  /** A timer of {@link #timers} has ended; one that does not run any more changes nothing. */
  public void onTimerExpired(String timerName) {
    timers.onExpired(timerName, times);
  }

  /** Why that target is unavailable, in the stored words; null where it is available. */
  public String unavailabilityReason(TargetType type, String name) {
    return unavailability.of(type, name).map(Unavailability::text).orElse(null);
  }

  /** All known targets of a type, in the order of their names. */
  public Collection<Target> targets(TargetType type) {
    return targetsByName(type).values();
  }

  /** All known targets of a type by name; made anew at each call. */
  public Map<String, Target> targetsByName(TargetType type) {
    return targets.byName(type);
  }

  /** Writes what a drain would come to now, and each bound that it would meet. */
  public void writeExplanation(TargetType type, String name, ObjectNode json) {
    new DrainExplanationWriter(tables, targets, unavailability, budgetEvaluator)
        .write(type, name, json);
  }

  /** The proxies that may still send to a host that a grant takes out, by name with the reason. */
  public Map<String, String> pendingProxies(String grantId) {
    return progress.pendingProxies(grantId);
  }

  /** Whether what a grant takes out is out: see {@link EvictionProgress#isCarriedOut}. */
  public boolean isCarriedOut(String grantId) {
    return progress.isCarriedOut(grantId);
  }

  /** Writes what every member must know, see {@link FleetViewCodec}. */
  public void writeView(ObjectNode json) {
    FleetViewCodec.encode(FleetView.of(tables), json);
  }

  /** Writes all that operators may want to see. */
  public void writeStatus(ObjectNode json) {
    new StatusWriter(tables, targets, unavailability, progress).write(json);
  }

  /** Writes the whole state; {@link #restore} of it gives the same state and later outcomes. */
  public void writeSnapshot(ObjectNode json) {
    DisruptionSnapshotCodec.encode(tables, times, json);
  }

  /** Takes the place of the whole state, times included. */
  public void restore(JsonNode json) {
    times = DisruptionSnapshotCodec.decode(json, tables);
  }

  /** Reads hosts in their stored form, see {@link TargetCodec}. */
  public static List<Target> readTargets(JsonNode array) {
    return TargetCodec.decodeAll(array);
  }

  /** Writes a target in its stored form, see {@link TargetCodec}. */
  public static void writeTarget(Target target, ObjectNode json) {
    TargetCodec.encode(target, json);
  }
}
