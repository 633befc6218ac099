package leadferry.release;

import java.util.EnumSet;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Evaluates the baking step by the outcomes that members have counted since the baking began. It
 * keeps the counts that it read first in the baking as the reference; a new driver starts with a
 * new reference.
 */
final class CanaryEvaluator {
  private static final EnumSet<CanaryCounts.Group> NEW =
      EnumSet.of(CanaryCounts.Group.NEW_IN_THIS_STEP, CanaryCounts.Group.NEW_IN_EARLIER_STEPS);

  /** Maximum age (ms) of an accepted report of a member. */
  private final long maxReportAgeMillis;

  private long bakingSinceChange;
  private CanaryCounts initialCounts = CanaryCounts.NONE;
  private Optional<Long> bakedAtNanos = Optional.empty();

  CanaryEvaluator(long maxReportAgeMillis) {
    this.maxReportAgeMillis = maxReportAgeMillis;
  }

  /**
   * Returns the verdict on the baking step; empty if no step is baking or there is no decision yet.
   *
   * @param reports reports of the members; empty if they were not fetched
   * @param nowNanos time of a monotonic clock
   */
  Optional<ReleaseCommand.RecordVerdict> evaluate(
      ReleaseView release, Optional<MemberReports> reports, long nowNanos) {
    ReleaseView.Progress progress = release.progress();
    if (progress.bakingSinceChange() == 0 || !progress.isForward()) {
      bakingSinceChange = 0;
      return Optional.empty();
    }
    if (reports.isEmpty()) {
      return Optional.empty();
    }
    CanaryCounts counts = CanaryCounts.of(release, reports.get());
    if (bakingSinceChange != progress.bakingSinceChange()) {
      bakingSinceChange = progress.bakingSinceChange();
      initialCounts = counts;
      bakedAtNanos = Optional.empty();
      return Optional.empty();
    }
    if (progress.baked() && bakedAtNanos.isEmpty()) {
      bakedAtNanos = Optional.of(nowNanos);
    }
    return decide(release, analyze(release, counts, reports.get()), nowNanos);
  }

  private CanaryAnalysis.Verdict analyze(
      ReleaseView release, CanaryCounts counts, MemberReports reports) {
    Map<String, OutcomeCount> canary = counts.since(initialCounts, NEW);
    Map<String, OutcomeCount> comparison =
        counts.since(initialCounts, EnumSet.of(CanaryCounts.Group.PREVIOUS));
    if (comparison.isEmpty()) {
      // The previous version has no counts in these zones: compare this step with the earlier
      // steps.
      canary = counts.since(initialCounts, EnumSet.of(CanaryCounts.Group.NEW_IN_THIS_STEP));
      comparison = counts.since(initialCounts, EnumSet.of(CanaryCounts.Group.NEW_IN_EARLIER_STEPS));
    }
    return new CanaryAnalysis(release.plan().canaryBounds())
        .evaluate(canary, comparison, reports.membersWithoutFreshReport(maxReportAgeMillis));
  }

  private Optional<ReleaseCommand.RecordVerdict> decide(
      ReleaseView release, CanaryAnalysis.Verdict verdict, long nowNanos) {
    boolean baked = release.progress().baked();
    long waitNanos = TimeUnit.MILLISECONDS.toNanos(release.plan().canaryBounds().waitMillis());
    boolean waitExpired =
        baked
            && verdict.decision() == CanaryAnalysis.Decision.WAIT
            && nowNanos - bakedAtNanos.orElse(nowNanos) > waitNanos;
    boolean canProceed = verdict.decision() == CanaryAnalysis.Decision.PROCEED;
    boolean isDue =
        verdict.decision() == CanaryAnalysis.Decision.HALT || waitExpired || (baked && canProceed);
    if (!isDue) {
      return Optional.empty();
    }
    String evidence = waitExpired ? "waited in vain: " + verdict.evidence() : verdict.evidence();
    return Optional.of(
        new ReleaseCommand.RecordVerdict(
            release.name(),
            release.fence(),
            release.progress().currentStep(),
            canProceed,
            evidence));
  }
}
