package leadferry.release;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Determines which version a target runs after its action, and records it. The version comes from
 * the target's own report, from the check command of the plan, or from the result of the command
 * that changed the target.
 */
final class VersionObserver {
  /** Recorded observation of a target without a version. */
  private static final String NOTHING_FOUND = "nothing that tells its version";

  /** Interval (ns) between checks while the target may still be starting. */
  private static final long RECHECK_NANOS = 300_000_000L;

  private final long leaseNanos;
  private final Set<ActionAttempt> checksInProgress = new HashSet<>();
  private final Map<ActionAttempt, String> checkedVersions = new HashMap<>();
  private final Map<ActionAttempt, Long> observedSinceNanos = new HashMap<>();

  VersionObserver(long leaseMillis) {
    this.leaseNanos = TimeUnit.MILLISECONDS.toNanos(leaseMillis);
  }

  /**
   * Records the result of a check: the version, "" if the target reported none, or empty if the
   * check failed.
   */
  void onVersionChecked(ActionAttempt attempt, Optional<String> version) {
    checksInProgress.remove(attempt);
    version.ifPresentOrElse(
        checkedVersion -> checkedVersions.put(attempt, checkedVersion),
        () -> checkedVersions.remove(attempt));
  }

  /**
   * Observes a target after its action.
   *
   * @param result result of the command that changed the target; empty if another driver began it
   * @param recordedObservation observation that the log holds already; an equal one is not recorded
   *     again. "" records the new observation in any case
   */
  void observe(
      DriverContext context,
      ReleaseTargetView target,
      Optional<CommandResult> result,
      String recordedObservation,
      List<DriverAction> actions) {
    String reported = target.action().reportedVersion();
    Optional<String> version;
    if (!reported.isEmpty()) {
      // The target reported this version after the action, so it is newer than the result of any
      // check.
      version = Optional.of(reported);
    } else if (context.release().changeCommands().checkCommand().isPresent()) {
      version = versionByCheck(context, target, !recordedObservation.isEmpty(), actions);
    } else {
      version = versionByResult(context, target, result, actions);
    }
    if (version.isPresent() && !describe(version.get()).equals(recordedObservation)) {
      String text =
          result
              .map(ended -> ended.succeeded() ? "" : ended.output())
              .orElse("begun by a driver that was lost");
      actions.add(
          TargetReconciler.recordObservation(context.release(), target, version.get(), text));
    }
  }

  private static String describe(String version) {
    return version.isEmpty() ? NOTHING_FOUND : version;
  }

  private Optional<String> versionByCheck(
      DriverContext context,
      ReleaseTargetView target,
      boolean mayRepeat,
      List<DriverAction> actions) {
    ActionAttempt attempt = target.attempt();
    if (checksInProgress.contains(attempt)) {
      return Optional.empty();
    }
    long now = context.nowNanos();
    Optional<String> version = Optional.ofNullable(checkedVersions.get(attempt));
    boolean repeat =
        mayRepeat && now - observedSinceNanos.getOrDefault(attempt, now) >= RECHECK_NANOS;
    if (version.isPresent() && !repeat) {
      return version;
    }
    if (context.hasValidLease()) {
      checksInProgress.add(attempt);
      checkedVersions.remove(attempt);
      observedSinceNanos.put(attempt, now);
      actions.add(
          new DriverAction.CheckVersion(
              target.name(), attempt.action(), attempt.attempt(), context.release().fence()));
    }
    return Optional.empty();
  }

  /**
   * Returns the version "" if the command failed. Otherwise waits, up to the time limit of the
   * action, until the target reports its version; a proxy does so after its return.
   */
  private Optional<String> versionByResult(
      DriverContext context,
      ReleaseTargetView target,
      Optional<CommandResult> result,
      List<DriverAction> actions) {
    if (result.isPresent() && !result.get().succeeded()) {
      return Optional.of("");
    }
    ReleaseView release = context.release();
    long now = context.nowNanos();
    boolean begunByLostDriver = target.action().fence() != release.fence() && release.isRunning();
    if (begunByLostDriver
        && now - observedSinceNanos.computeIfAbsent(target.attempt(), attempt -> now)
            >= leaseNanos) {
      // No version was observed for the duration of a lease: begin the change again, under the
      // fencing token of this driver, which is higher.
      actions.add(TargetReconciler.beginChange(release, target));
    }
    return Optional.empty();
  }
}
