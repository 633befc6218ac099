package leadferry.release;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Finds out which version a target runs after its action, and records it: by the target's own word,
 * by a check that the plan names, or by the result of the command that changed it.
 */
final class VersionObserver {
  /** What an observation without any version is recorded as. */
  private static final String NOTHING_FOUND = "nothing that tells its version";

  /** A check that saw nothing new is repeated after so long while the target may be starting. */
  private static final long RECHECK_NANOS = 300_000_000L;

  private final long leaseNanos;
  private final Set<ActionAttempt> checksUnderWay = new HashSet<>();
  private final Map<ActionAttempt, String> checkedVersions = new HashMap<>();
  private final Map<ActionAttempt, Long> observedSinceNanos = new HashMap<>();

  VersionObserver(long leaseMillis) {
    this.leaseNanos = TimeUnit.MILLISECONDS.toNanos(leaseMillis);
  }

  /** A check has seen a version, or "" where there was none; empty where it could not look. */
  void onVersionChecked(ActionAttempt attempt, Optional<String> version) {
    checksUnderWay.remove(attempt);
    version.ifPresentOrElse(
        seen -> checkedVersions.put(attempt, seen), () -> checkedVersions.remove(attempt));
  }

  /**
   * Observes a target after its action.
   *
   * @param result of the command that changed it; empty where another driver began that
   * @param recordedObservation what was recorded already, or "" where it is to be recorded in any
   *     case
   */
  void observe(
      DriverContext situation,
      ReleaseTargetView target,
      Optional<CommandResult> result,
      String recordedObservation,
      List<DriverAction> actions) {
    String reported = target.action().reportedVersion();
    Optional<String> version;
    if (!reported.isEmpty()) {
      version = Optional.of(reported); // newer than any check, since it was told after the action
    } else if (situation.release().changeCommands().checkCommand().isPresent()) {
      version = versionByCheck(situation, target, !recordedObservation.isEmpty(), actions);
    } else {
      version = versionByResult(situation, target, result, actions);
    }
    if (version.isPresent() && !describe(version.get()).equals(recordedObservation)) {
      String text =
          result
              .map(ended -> ended.succeeded() ? "" : ended.output())
              .orElse("begun by a driver that was lost");
      actions.add(
          TargetReconciler.recordObservation(situation.release(), target, version.get(), text));
    }
  }

  private static String describe(String version) {
    return version.isEmpty() ? NOTHING_FOUND : version;
  }

  private Optional<String> versionByCheck(
      DriverContext situation,
      ReleaseTargetView target,
      boolean mayRepeat,
      List<DriverAction> actions) {
    ActionAttempt attempt = target.attempt();
    if (checksUnderWay.contains(attempt)) {
      return Optional.empty();
    }
    long now = situation.nowNanos();
    Optional<String> version = Optional.ofNullable(checkedVersions.get(attempt));
    boolean repeat =
        mayRepeat && now - observedSinceNanos.getOrDefault(attempt, now) >= RECHECK_NANOS;
    if (version.isPresent() && !repeat) {
      return version;
    }
    if (situation.leaseHolds()) {
      checksUnderWay.add(attempt);
      checkedVersions.remove(attempt);
      observedSinceNanos.put(attempt, now);
      actions.add(
          new DriverAction.CheckVersion(
              target.name(), attempt.action(), attempt.attempt(), situation.release().fence()));
    }
    return Optional.empty();
  }

  /**
   * A proxy tells its version once it is back; what tells nothing is waited for, up to the action's
   * time, unless its command failed.
   */
  private Optional<String> versionByResult(
      DriverContext situation,
      ReleaseTargetView target,
      Optional<CommandResult> result,
      List<DriverAction> actions) {
    if (result.isPresent() && !result.get().succeeded()) {
      return Optional.of("");
    }
    ReleaseView release = situation.release();
    long now = situation.nowNanos();
    boolean begunByLostDriver = target.action().fence() != release.fence() && release.isRunning();
    if (begunByLostDriver
        && now - observedSinceNanos.computeIfAbsent(target.attempt(), attempt -> now)
            >= leaseNanos) {
      // Nothing was seen for a lease's length: begun anew, under a higher fence.
      actions.add(TargetReconciler.beginChange(release, target));
    }
    return Optional.empty();
  }
}
