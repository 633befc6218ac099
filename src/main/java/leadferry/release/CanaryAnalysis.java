package leadferry.release;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Compares the new version with the previous one by the requests that both served in the same time
 * and zones. For each request class, and for all classes together, it compares the share of bad
 * outcomes (failed, rejected or late) of the two versions. It uses the pooled test of two
 * proportions (Fleiss, Levin and Paik, Statistical Methods for Rates and Proportions, chapter 3)
 * for a difference above {@code maxBadShareIncrease}.
 *
 * <pre>
 *   halt, if share(new) - (share(previous) + maxBadShareIncrease)  &gt;  standardErrors * error
 *   error = sqrt(p * (1 - p) * (1 / total(new) + 1 / total(previous)))
 *   p     = (bad(new) + bad(previous) + 1) / (total(new) + total(previous) + 2)
 * </pre>
 *
 * <p>If the previous version served too few requests for a comparison, {@code maxBadShare} replaces
 * {@code share(previous) + maxBadShareIncrease}, and the terms of the previous version are left out
 * of the error.
 *
 * <p>The analysis gives no verdict from too few requests, and passes no step while a report is
 * missing. It waits and names what it waits for. {@code CanaryAnalysisTest} measures how often the
 * analysis halts a good version or passes a bad one; {@code docs/design/release.md} lists the
 * rates.
 */
public final class CanaryAnalysis {
  /**
   * Divisor of {@link Bounds#minRequests}: a verdict against the new version needs only one tenth
   * of these requests, so that a clearly bad version halts before its baking time ends.
   */
  private static final int EARLY_VERDICT_DIVISOR = 10;

  /**
   * Bounds of the analysis.
   *
   * @param minRequests number of requests that each version must have served before the step can
   *     pass; the previous version is exempt if it has no counts. 0 disables the analysis.
   * @param maxBadShareIncrease accepted increase of the share of bad outcomes over the previous
   *     version, 0 to 1
   * @param maxBadShare accepted share of bad outcomes, 0 to 1, if there is no previous version to
   *     compare with
   * @param standardErrors number of standard errors beyond the accepted share at which the analysis
   *     halts the release
   * @param waitMillis time (ms) for which a step waits for enough requests after its baking time
   */
  public record Bounds(
      int minRequests,
      double maxBadShareIncrease,
      double maxBadShare,
      double standardErrors,
      long waitMillis) {}

  /** What the analysis decides about a step of the release. */
  public enum Decision {
    /** The step has passed. */
    PROCEED,
    /** The new version is worse. */
    HALT,
    /** There are too few requests or reports for a decision. */
    WAIT
  }

  /** A decision with its human-readable evidence. */
  public record Verdict(Decision decision, String evidence) {}

  private final Bounds bounds;

  /** Creates an analysis with the given bounds. */
  public CanaryAnalysis(Bounds bounds) {
    this.bounds = bounds;
  }

  /**
   * Evaluates the new version.
   *
   * @param canary outcomes of requests to the new version, by request class
   * @param baseline outcomes of requests to the previous version in the same time, by request
   *     class; empty if no target runs it
   * @param unreportedMembers members without a recent report; the step does not pass while the list
   *     is not empty
   */
  public Verdict evaluate(
      Map<String, OutcomeCount> canary,
      Map<String, OutcomeCount> baseline,
      List<String> unreportedMembers) {
    if (bounds.minRequests() == 0) {
      return new Verdict(Decision.PROCEED, "no guard is asked for");
    }
    for (Map.Entry<String, OutcomeCount> byClass : new TreeMap<>(canary).entrySet()) {
      String requestClass = byClass.getKey();
      OutcomeCount classBaseline = baseline.getOrDefault(requestClass, OutcomeCount.NONE);
      if (isWorse(byClass.getValue(), classBaseline)) {
        String evidence = describeHalt(byClass.getValue(), classBaseline);
        return new Verdict(Decision.HALT, "class " + requestClass + ": " + evidence);
      }
    }
    OutcomeCount canaryTotal = sum(canary);
    OutcomeCount baselineTotal = sum(baseline);
    if (isWorse(canaryTotal, baselineTotal)) {
      return new Verdict(Decision.HALT, describeHalt(canaryTotal, baselineTotal));
    }
    if (!unreportedMembers.isEmpty()) {
      return new Verdict(
          Decision.WAIT, "no fresh report of " + String.join(", ", unreportedMembers));
    }
    if (canaryTotal.total() < bounds.minRequests()
        || (!baseline.isEmpty() && baselineTotal.total() < bounds.minRequests())) {
      return new Verdict(Decision.WAIT, describeTooFewRequests(canaryTotal, baselineTotal));
    }
    return new Verdict(Decision.PROCEED, describeCounts(canaryTotal, baselineTotal));
  }

  /**
   * Returns whether the share of bad outcomes exceeds the accepted share by a significant margin.
   */
  private boolean isWorse(OutcomeCount canary, OutcomeCount baseline) {
    if (hasTooFewRequests(canary)) {
      return false;
    }
    OutcomeCount effectiveBaseline = hasTooFewRequests(baseline) ? OutcomeCount.NONE : baseline;
    boolean hasNoBaseline = effectiveBaseline.total() == 0;
    double allowed =
        hasNoBaseline
            ? bounds.maxBadShare()
            : effectiveBaseline.badShare() + bounds.maxBadShareIncrease();
    return canary.badShare() - allowed
        > bounds.standardErrors() * standardError(canary, effectiveBaseline, hasNoBaseline);
  }

  private static double standardError(
      OutcomeCount canary, OutcomeCount effectiveBaseline, boolean hasNoBaseline) {
    // Laplace's estimate, because without any bad outcome the standard error would be 0.
    double pooled =
        (canary.bad() + effectiveBaseline.bad() + 1.0)
            / (canary.total() + effectiveBaseline.total() + 2.0);
    double baselineTerm = hasNoBaseline ? 0 : 1.0 / effectiveBaseline.total();
    return Math.sqrt(pooled * (1 - pooled) * (1.0 / canary.total() + baselineTerm));
  }

  private boolean hasTooFewRequests(OutcomeCount count) {
    return count.total() * EARLY_VERDICT_DIVISOR < bounds.minRequests();
  }

  private String describeHalt(OutcomeCount canary, OutcomeCount baseline) {
    return describeCounts(canary, hasTooFewRequests(baseline) ? OutcomeCount.NONE : baseline);
  }

  private static String describeCounts(OutcomeCount canary, OutcomeCount baseline) {
    return String.format(
        Locale.ROOT,
        "new %d of %d bad (%.3f), old %d of %d (%.3f)",
        canary.bad(),
        canary.total(),
        canary.badShare(),
        baseline.bad(),
        baseline.total(),
        baseline.badShare());
  }

  private String describeTooFewRequests(OutcomeCount canary, OutcomeCount baseline) {
    return "too few requests: new "
        + canary.total()
        + ", old "
        + baseline.total()
        + " (expected: "
        + bounds.minRequests()
        + ")";
  }

  private static OutcomeCount sum(Map<String, OutcomeCount> byClass) {
    return byClass.values().stream().reduce(OutcomeCount.NONE, OutcomeCount::plus);
  }
}
