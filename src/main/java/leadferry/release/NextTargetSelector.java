package leadferry.release;

import java.util.Comparator;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Which target a driver takes out next: forward in the plan's order, in a rollback the one that
 * came back into service last; none while as many as its step allows are under way.
 */
final class NextTargetSelector {
  private NextTargetSelector() {}

  static Optional<ReleaseTargetView> select(ReleaseView release) {
    boolean forward = release.progress().isForward();
    long underWay = release.targets().stream().filter(target -> !target.isInService()).count();
    Stream<ReleaseTargetView> candidates =
        release.targets().stream().filter(target -> isCandidate(target, forward));
    Optional<ReleaseTargetView> next =
        forward ? candidates.findFirst() : candidates.sorted(LATEST_FIRST).findFirst();
    return next.filter(
        target -> underWay < release.plan().steps().get(target.step()).maxConcurrent());
  }

  private static final Comparator<ReleaseTargetView> LATEST_FIRST =
      Comparator.comparingLong(ReleaseTargetView::returnOrder).reversed();

  /** A rollback also takes what is missing, perhaps by the new version. */
  private static boolean isCandidate(ReleaseTargetView target, boolean forward) {
    return target.isInService()
        && !target.removed()
        && !target.hasDesiredVersion()
        && (target.isAvailable() || (!forward && target.isMissing()));
  }
}
