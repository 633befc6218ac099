package leadferry.release;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Decides what the driver of one release does next, from the status of the release. It keeps only
 * the actions that it has begun itself. It does no I/O: its caller carries out the actions of
 * {@link #nextActions} and passes the results of commands and checks back.
 *
 * <p>{@link TargetReconciler} handles the targets in progress, {@link NextTargetSelector} selects
 * the next target, and {@link CanaryEvaluator} gives the verdicts on steps.
 *
 * <p>Two drivers are never both allowed to run a command, because only the holder of the current
 * fencing token can write the entry that allows the command. A driver may not know yet that its
 * lease has ended. The program that carries out the action therefore checks the fencing token and
 * rejects an old one.
 */
public final class ReleaseController {
  private final String driver;
  private final long leaseMillis;
  private final VersionObserver observer;
  private final TargetReconciler reconciler;
  private final CanaryEvaluator canaryEvaluator;

  /**
   * Creates the controller of a driver.
   *
   * @param driver name of the driver, never used by another process
   * @param leaseMillis duration of the lease that the driver requests (ms)
   */
  public ReleaseController(String driver, long leaseMillis) {
    this.driver = driver;
    this.leaseMillis = leaseMillis;
    this.observer = new VersionObserver(leaseMillis);
    this.reconciler = new TargetReconciler(observer);
    this.canaryEvaluator = new CanaryEvaluator(leaseMillis);
  }

  /** Records the end of the command of a change. */
  public void onChangeEnded(DriverAction.RunChange change, CommandResult result) {
    reconciler.onChangeEnded(new ActionAttempt(change.action(), change.attempt()), result);
  }

  /**
   * Records the result of a version check: the version, "" if the target reported none, or empty if
   * the check failed.
   */
  public void onVersionChecked(DriverAction.CheckVersion check, Optional<String> version) {
    observer.onVersionChecked(new ActionAttempt(check.action(), check.attempt()), version);
  }

  /** Returns whether this driver holds the lease of a release, according to the replicas. */
  public boolean isDriverOf(ReleaseView release) {
    return release.driver().equals(driver);
  }

  /**
   * Returns the actions to carry out now.
   *
   * @param release release as reported by the replicas
   * @param reports reports of the members; empty if they were not fetched
   * @param hasValidLease whether the lease of this driver is valid now; commands start only with a
   *     valid lease
   * @param nowNanos time of a monotonic clock
   */
  public List<DriverAction> nextActions(
      ReleaseView release, Optional<MemberReports> reports, boolean hasValidLease, long nowNanos) {
    if (release.state().isClosed()) {
      return List.of();
    }
    if (!isDriverOf(release)) {
      return release.hasDriver() ? List.of() : List.of(acquireLease(release));
    }
    List<DriverAction> actions = new ArrayList<>();
    DriverContext context = new DriverContext(release, hasValidLease, nowNanos);
    for (ReleaseTargetView target : release.targets()) {
      reconciler.reconcile(context, target, actions);
    }
    if (release.isRunning()) {
      NextTargetSelector.select(release)
          .map(target -> TargetReconciler.intendChange(release, target))
          .ifPresent(actions::add);
      canaryEvaluator
          .evaluate(release, reports, nowNanos)
          .map(DriverAction.SubmitCommand::new)
          .ifPresent(actions::add);
    }
    return actions;
  }

  private DriverAction acquireLease(ReleaseView release) {
    return new DriverAction.SubmitCommand(
        new ReleaseCommand.AcquireLease(release.name(), driver, leaseMillis));
  }
}
