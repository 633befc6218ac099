package leadferry.release;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Whether the new version does as well as the previous one, by requests that both served in the
 * same time and zones. For each request class, and for all classes together, the share of bad
 * outcomes (failed, rejected or late) among the new is compared with that among the previous: the
 * pooled test of two proportions (Fleiss, Levin and Paik, Statistical Methods for Rates and
 * Proportions, chapter 3) for a difference above {@code maxWorse}.
 *
 * <pre>
 *   against the new, if   share(new) - (share(previous) + maxWorse)  &gt;  sigmas * error
 *   error = sqrt(p * (1 - p) * (1 / total(new) + 1 / total(previous)))
 *   p     = (bad(new) + bad(previous) + 1) / (total(new) + total(previous) + 2)
 * </pre>
 *
 * <p>Where there is next to nothing to compare with, {@code maxBad} takes the place of {@code
 * share(previous) + maxWorse}, and the terms of the previous version are left out.
 *
 * <p>Too few requests or a missing report never give a verdict: the analysis waits and says for
 * what. Its rates of false alarms and misses are measured in {@code CanaryAnalysisTest} and told in
 * {@code docs/design/release.md}.
 */
public final class CanaryAnalysis {
  /**
   * A verdict against the new version needs this part of {@link Bounds#minRequests}: what is
   * plainly bad should not bake on.
   */
  private static final int EARLY_VERDICT_DIVISOR = 10;

  /**
   * Bounds of a verdict.
   *
   * @param minRequests of the new version, and of the previous one where there are any, before a
   *     verdict; 0 for no analysis at all
   * @param maxBadShareIncrease the share of bad outcomes that the new may have above the previous,
   *     0 to 1
   * @param maxBadShare the share of bad outcomes that the new may have where there is nothing to
   *     compare it with, 0 to 1
   * @param standardErrors how many standard errors beyond that make a verdict against it
   * @param waitMillis how long after its baking time a step waits for enough requests
   */
  public record Bounds(
      int minRequests,
      double maxBadShareIncrease,
      double maxBadShare,
      double standardErrors,
      long waitMillis) {}

  /** What a verdict says. */
  public enum Decision {
    /** The step passes. */
    PROCEED,
    /** The new version is worse. */
    HALT,
    /** There is too little to go by yet. */
    WAIT
  }

  /** A verdict with its evidence, for people. */
  public record Verdict(Decision decision, String evidence) {}

  private final Bounds bounds;

  /** An analysis within these bounds. */
  public CanaryAnalysis(Bounds bounds) {
    this.bounds = bounds;
  }

  /**
   * Judges the new version.
   *
   * @param canary outcomes of requests at the new version, by request class
   * @param baseline the same at the previous version, in the same time; empty where none is left
   * @param unreportedMembers members without a fresh report; any of them keeps a passing verdict
   *     waiting
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
      OutcomeCount compared = baseline.getOrDefault(requestClass, OutcomeCount.NONE);
      if (isWorse(byClass.getValue(), compared)) {
        String evidence = describeHalt(byClass.getValue(), compared);
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

  /** Whether the new version is worse than it may be, beyond chance. */
  private boolean isWorse(OutcomeCount canary, OutcomeCount baseline) {
    if (hasTooFewRequests(canary)) {
      return false;
    }
    OutcomeCount compared = hasTooFewRequests(baseline) ? OutcomeCount.NONE : baseline;
    boolean hasNoBaseline = compared.total() == 0;
    double allowed =
        hasNoBaseline ? bounds.maxBadShare() : compared.badShare() + bounds.maxBadShareIncrease();
    return canary.badShare() - allowed
        > bounds.standardErrors() * standardError(canary, compared, hasNoBaseline);
  }

  private static double standardError(
      OutcomeCount canary, OutcomeCount compared, boolean hasNoBaseline) {
    // Laplace's estimate: without any bad outcome there would be no error to measure by.
    double pooled =
        (canary.bad() + compared.bad() + 1.0) / (canary.total() + compared.total() + 2.0);
    double comparedTerm = hasNoBaseline ? 0 : 1.0 / compared.total();
    return Math.sqrt(pooled * (1 - pooled) * (1.0 / canary.total() + comparedTerm));
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
