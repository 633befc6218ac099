package leadferry.release;

import java.util.Comparator;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Selects the target that a driver drains next: going forward the first in the order of the plan,
 * in a rollback the one that returned to service last. It selects no target while the release
 * changes as many targets at the same time as the step of the next target allows.
 */
final class NextTargetSelector {
  private NextTargetSelector() {}

  static Optional<ReleaseTargetView> select(ReleaseView release) {
    boolean forward = release.progress().isForward();
    long inProgress = release.targets().stream().filter(target -> !target.isInService()).count();
    Stream<ReleaseTargetView> candidates =
        release.targets().stream().filter(target -> isCandidate(target, forward));
    Optional<ReleaseTargetView> next =
        forward ? candidates.findFirst() : candidates.sorted(LATEST_RETURN_FIRST).findFirst();
    return next.filter(
        target -> inProgress < release.plan().steps().get(target.step()).maxConcurrent());
  }

  private static final Comparator<ReleaseTargetView> LATEST_RETURN_FIRST =
      Comparator.comparingLong(ReleaseTargetView::returnOrder).reversed();

  /**
   * Returns whether a target may be drained. A rollback also drains missing targets, which the new
   * version may have broken.
   */
  private static boolean isCandidate(ReleaseTargetView target, boolean forward) {
    return target.isInService()
        && !target.removed()
        && !target.hasDesiredVersion()
        && (target.isAvailable() || (!forward && target.isMissing()));
  }
}
