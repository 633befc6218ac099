package leadferry.soak;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Plays long soak runs. Started by {@code bench/soak FIRST_SEED SEEDS SECONDS PROXIES}; exits with
 * status 1 if any run broke a rule.
 */
public final class SoakMain {
  private static final long SLACK_MS = 100;

  private SoakMain() {}

  /** Plays the seeds one after the other and prints one line for each. */
  public static void main(String[] args) throws Exception {
    long first = Long.parseLong(args[0]);
    int seeds = Integer.parseInt(args[1]);
    long durationMs = 1_000 * Long.parseLong(args[2]);
    int proxies = Integer.parseInt(args[3]);
    Path folder = Files.createTempDirectory("soak");
    Path library = PreloadLibrary.build(folder).orElse(null);
    long requests = 0;
    int failedSeeds = 0;
    for (long seed = first; seed < first + seeds; seed++) {
      SoakPlan plan = SoakPlan.fromSeed(seed, durationMs, proxies);
      Path seedFolder = Files.createDirectories(folder.resolve("seed" + seed));
      try (SoakRun run = new SoakRun(plan, seedFolder, library)) {
        SoakHistory history = run.run();
        List<SoakJudge.Violation> violations =
            new SoakJudge(history, plan.drainGraceMs(), SLACK_MS).violations();
        requests += history.requests().size();
        failedSeeds += violations.isEmpty() ? 0 : 1;
        System.out.println(
            "seed "
                + seed
                + ": requests "
                + history.requests().size()
                + ", faults injected "
                + run.injectedFaults()
                + ", violations "
                + violations.size()
                + (violations.isEmpty() ? "" : " " + plan));
        violations.stream().limit(5).forEach(violation -> System.out.println("    " + violation));
      }
    }
    System.out.println(
        "soak: seeds "
            + seeds
            + ", requests "
            + requests
            + ", seeds with violations "
            + failedSeeds
            + ", folder "
            + folder);
    System.exit(failedSeeds == 0 ? 0 : 1);
  }
}
