package leadferry.release;

import java.util.EnumSet;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Judges the step that bakes, by what members have counted since it began to. It remembers the
 * reading from then; a new driver begins with a reading of its own.
 */
final class CanaryEvaluator {
  private static final EnumSet<CanaryCounts.Group> NEW =
      EnumSet.of(CanaryCounts.Group.NEW_IN_THIS_STEP, CanaryCounts.Group.NEW_IN_EARLIER_STEPS);

  /** Reports that are older are not fresh. */
  private final long maxReportAgeMillis;

  private long bakingSinceChange;
  private CanaryCounts baseline = CanaryCounts.NONE;
  private Optional<Long> bakedAtNanos = Optional.empty();

  CanaryEvaluator(long maxReportAgeMillis) {
    this.maxReportAgeMillis = maxReportAgeMillis;
  }

  /**
   * The verdict on the step that bakes, where there is one.
   *
   * @param reports what members tell; empty where they were not asked
   * @param nowNanos of a monotonic clock
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
      baseline = counts;
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
    Map<String, OutcomeCount> canary = counts.since(baseline, NEW);
    Map<String, OutcomeCount> compared =
        counts.since(baseline, EnumSet.of(CanaryCounts.Group.PREVIOUS));
    if (compared.isEmpty()) {
      // Nothing runs the previous version there: this step is compared with those judged before.
      canary = counts.since(baseline, EnumSet.of(CanaryCounts.Group.NEW_IN_THIS_STEP));
      compared = counts.since(baseline, EnumSet.of(CanaryCounts.Group.NEW_IN_EARLIER_STEPS));
    }
    return new CanaryAnalysis(release.plan().canaryBounds())
        .evaluate(canary, compared, reports.membersWithoutFreshReport(maxReportAgeMillis));
  }

  private Optional<ReleaseCommand.RecordVerdict> decide(
      ReleaseView release, CanaryAnalysis.Verdict verdict, long nowNanos) {
    boolean baked = release.progress().baked();
    long waitNanos = TimeUnit.MILLISECONDS.toNanos(release.plan().canaryBounds().waitMillis());
    boolean waitExpired =
        baked
            && verdict.decision() == CanaryAnalysis.Decision.WAIT
            && nowNanos - bakedAtNanos.orElse(nowNanos) > waitNanos;
    boolean proceed = verdict.decision() == CanaryAnalysis.Decision.PROCEED;
    boolean due =
        verdict.decision() == CanaryAnalysis.Decision.HALT || waitExpired || (baked && proceed);
    if (!due) {
      return Optional.empty();
    }
    String evidence = waitExpired ? "waited in vain: " + verdict.evidence() : verdict.evidence();
    return Optional.of(
        new ReleaseCommand.RecordVerdict(
            release.name(), release.fence(), release.progress().currentStep(), proceed, evidence));
  }
}
