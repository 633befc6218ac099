package leadferry.soak;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Long soaks by hand: {@code SoakMain FIRST_SEED SEEDS SECONDS PROXIES}; ends with 1 if a rule was
 * broken.
 */
public final class SoakMain {
  private static final long SLACK_MS = 100;

  private SoakMain() {}

  /** Plays the seeds one after the other and prints a line each. */
  public static void main(String[] args) throws Exception {
    long first = Long.parseLong(args[0]);
    int seeds = Integer.parseInt(args[1]);
    long lengthMs = 1_000 * Long.parseLong(args[2]);
    int proxies = Integer.parseInt(args[3]);
    Path folder = Files.createTempDirectory("soak");
    Path library = PreloadLibrary.build(folder).orElse(null);
    long requests = 0;
    int broken = 0;
    for (long seed = first; seed < first + seeds; seed++) {
      SoakPlan plan = SoakPlan.fromSeed(seed, lengthMs, proxies);
      Path own = Files.createDirectories(folder.resolve("seed" + seed));
      try (SoakRun run = new SoakRun(plan, own, library)) {
        SoakHistory history = run.run();
        List<SoakJudge.Violation> violations =
            new SoakJudge(history, plan.drainGraceMs(), SLACK_MS).violations();
        requests += history.requests().size();
        broken += violations.isEmpty() ? 0 : 1;
        System.out.println(
            "seed "
                + seed
                + ": requests "
                + history.requests().size()
                + ", faults injected "
                + run.injectedFaults()
                + ", broken "
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
            + ", seeds with a broken rule "
            + broken
            + ", in "
            + folder);
    System.exit(broken == 0 ? 0 : 1);
  }
}
