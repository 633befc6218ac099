package leadferry.release;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Decides what the driver of one release does next, by the release's status; it remembers only what
 * it has begun itself. Without I/O: whoever runs it carries out what {@link #nextActions} returns
 * and tells what came of commands and checks.
 *
 * <p>Targets on their way are the {@link TargetReconciler}'s, who goes next the {@link
 * NextTargetSelector}'s, verdicts on steps the {@link CanaryEvaluator}'s.
 *
 * <p>Two drivers never both believe that they may run a command, since only the holder of the fence
 * can have written the entry that allows it; a driver whose lease is over and who does not know it
 * yet is rejected by whoever carries the action out, by the fence that goes with it.
 */
public final class ReleaseController {
  private final String driver;
  private final long leaseMillis;
  private final VersionObserver observer;
  private final TargetReconciler reconciler;
  private final CanaryEvaluator canaryEvaluator;

  /**
   * A driver.
   *
   * @param driver its name, its own among all processes that ever drive
   * @param leaseMillis the length of the lease that it asks for
   */
  public ReleaseController(String driver, long leaseMillis) {
    this.driver = driver;
    this.leaseMillis = leaseMillis;
    this.observer = new VersionObserver(leaseMillis);
    this.reconciler = new TargetReconciler(observer);
    this.canaryEvaluator = new CanaryEvaluator(leaseMillis);
  }

  /** The command of a change has ended. */
  public void onChangeEnded(DriverAction.RunChange change, CommandResult result) {
    reconciler.onChangeEnded(new ActionAttempt(change.action(), change.attempt()), result);
  }

  /** A check has seen a version, or "" where there was none; empty where it could not look. */
  public void onVersionChecked(DriverAction.CheckVersion check, Optional<String> version) {
    observer.onVersionChecked(new ActionAttempt(check.action(), check.attempt()), version);
  }

  /** Whether this driver holds the release's lease, as the replicas tell. */
  public boolean isDriverOf(ReleaseView release) {
    return release.driver().equals(driver);
  }

  /**
   * What to do now.
   *
   * @param release the release as the replicas tell of it
   * @param reports what members tell; empty where they were not asked
   * @param leaseHolds whether this driver's lease holds at this moment; commands begin only then
   * @param nowNanos of a monotonic clock
   */
  public List<DriverAction> nextActions(
      ReleaseView release, Optional<MemberReports> reports, boolean leaseHolds, long nowNanos) {
    if (release.state().isClosed()) {
      return List.of();
    }
    if (!isDriverOf(release)) {
      return release.hasDriver() ? List.of() : List.of(acquireLease(release));
    }
    List<DriverAction> actions = new ArrayList<>();
    DriverContext situation = new DriverContext(release, leaseHolds, nowNanos);
    for (ReleaseTargetView target : release.targets()) {
      reconciler.reconcile(situation, target, actions);
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
