package leadferry.release;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Whether the new is as good as the old, by what was served in the same time and zones. Of each
 * class the share of bad ends (failed, refused or late) among the new is held against that among
 * the old: the test of two proportions, pooled (Fleiss, Levin and Paik, Statistical Methods for
 * Rates and Proportions, chapter 3), for a difference above {@code max_worse}.
 *
 * <p>Never a verdict from too few requests, and none that comes from silence: it waits and says for
 * what. How often it halts what is sound, and how often it lets through what is not, is measured in
 * {@code CanaryAnalysisTest} and told in {@code docs/design/release.md}.
 */
public final class CanaryAnalysis {
  /**
   * Bounds of a verdict.
   *
   * @param leastRequests of the new, and of the old where there are any, before a verdict; 0 for no
   *     guard at all
   * @param maxWorse the share of bad ends that the new may have over the old, 0 to 1
   * @param maxBad where nothing old is left to hold it against: the share of bad ends that the new
   *     may have, 0 to 1
   * @param sigmas how many standard errors beyond that make a verdict against it
   * @param waitMs so long after its baking time a step waits for enough requests; then it halts
   */
  public record Bounds(
      int leastRequests, double maxWorse, double maxBad, double sigmas, long waitMs) {
    void write(ObjectNode to) {
      to.put("least_requests", leastRequests)
          .put("max_worse", maxWorse)
          .put("max_bad", maxBad)
          .put("sigmas", sigmas)
          .put("wait_ms", waitMs);
    }

    static Bounds read(JsonNode n, List<String> faults) {
      int least = n.path("least_requests").asInt(0);
      double worse = n.path("max_worse").asDouble(0.02);
      double bad = n.path("max_bad").asDouble(0.05);
      double sigmas = n.path("sigmas").asDouble(3);
      long wait = n.path("wait_ms").asLong(60_000);
      if (least < 0
          || worse < 0
          || worse > 1
          || bad < 0
          || bad > 1
          || !(sigmas >= 0.5 && sigmas <= 10)
          || wait < 0) {
        faults.add(
            "guard: "
                + n
                + " (expected: least_requests and wait_ms of 0 or more, max_worse and max_bad from 0 to 1, sigmas from 0.5 to 10)");
      }
      return new Bounds(least, worse, bad, sigmas, wait);
    }
  }

  /** How many ends there were, and how many of them were bad. */
  public record Count(long all, long bad) {
    public static final Count NONE = new Count(0, 0);

    public Count plus(Count other) {
      return new Count(all + other.all, bad + other.bad);
    }

    /** What has come since; a count that went back began anew. */
    public Count since(Count before) {
      return all < before.all || bad < before.bad
          ? this
          : new Count(all - before.all, bad - before.bad);
    }

    double share() {
      return all == 0 ? 0 : (double) bad / all;
    }
  }

  /** What a verdict says. */
  public enum Word {
    GO,
    HALT,
    WAIT
  }

  /** A verdict with its evidence, for people. */
  public record Verdict(Word word, String why) {}

  private final Bounds bounds;

  public CanaryAnalysis(Bounds bounds) {
    this.bounds = bounds;
  }

  /**
   * Judges.
   *
   * @param fresh what became of requests at the new, by class
   * @param old at the old, in the same time; empty where nothing old is left
   * @param missing who owes a report, and so keeps the verdict waiting
   */
  public Verdict judge(Map<String, Count> fresh, Map<String, Count> old, List<String> missing) {
    if (bounds.leastRequests() == 0) {
      return new Verdict(Word.GO, "no guard is asked for");
    }
    Count freshAll = sum(fresh);
    Count oldAll = sum(old);
    for (Map.Entry<String, Count> c : new TreeMap<>(fresh).entrySet()) {
      String against = against(c.getValue(), old.getOrDefault(c.getKey(), Count.NONE));
      if (against != null) {
        return new Verdict(Word.HALT, "class " + c.getKey() + ": " + against);
      }
    }
    String against = against(freshAll, oldAll);
    if (against != null) {
      return new Verdict(Word.HALT, against);
    }
    if (!missing.isEmpty()) {
      return new Verdict(Word.WAIT, "no fresh report of " + String.join(", ", missing));
    }
    if (freshAll.all() < bounds.leastRequests()
        || (!old.isEmpty() && oldAll.all() < bounds.leastRequests())) {
      return new Verdict(
          Word.WAIT,
          "too few requests: new "
              + freshAll.all()
              + ", old "
              + oldAll.all()
              + " (expected: "
              + bounds.leastRequests()
              + ")");
    }
    return new Verdict(Word.GO, text(freshAll, oldAll));
  }

  /** Why this is worse than it may be beyond chance, or null. */
  private String against(Count fresh, Count old) {
    // A tenth of what a verdict for the new needs is enough for one against it: what is plainly bad
    // should not bake on.
    if (fresh.all() * 10 < bounds.leastRequests()) {
      return null;
    }
    boolean alone = old.all() * 10 < bounds.leastRequests();
    double may = alone ? bounds.maxBad() : old.share() + bounds.maxWorse();
    // Laplace's estimate: with no bad end at all on either side there would be no error to measure
    // by.
    double p =
        (fresh.bad() + (alone ? 0 : old.bad()) + 1.0)
            / (fresh.all() + (alone ? 0 : old.all()) + 2.0);
    double error = Math.sqrt(p * (1 - p) * (1.0 / fresh.all() + (alone ? 0 : 1.0 / old.all())));
    return fresh.share() - may > bounds.sigmas() * error
        ? text(fresh, alone ? Count.NONE : old)
        : null;
  }

  private static String text(Count fresh, Count old) {
    return String.format(
        Locale.ROOT,
        "new %d of %d bad (%.3f), old %d of %d (%.3f)",
        fresh.bad(),
        fresh.all(),
        fresh.share(),
        old.bad(),
        old.all(),
        old.share());
  }

  private static Count sum(Map<String, Count> by) {
    return by.values().stream().reduce(Count.NONE, Count::plus);
  }
}
