package leadferry.soak;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Plays one run for each documented failure of each system call, and one run without faults.
 * Started by {@code bench/soak matrix ONE_IN SECONDS}, where one in ONE_IN calls fails.
 */
public final class FaultMatrix {
  private static final long SLACK_MS = 100;
  private static final long SEED = 21;

  private FaultMatrix() {}

  private static void add(
      List<SystemCallFault> cases, String call, String role, List<String> faults, int oneIn) {
    faults.forEach(fault -> cases.add(SystemCallFault.always(call, role, fault, oneIn)));
  }

  /** Plays all runs and prints one line for each. */
  public static void main(String[] args) throws Exception {
    int oneIn = Integer.parseInt(args[0]);
    long durationMs = 1_000 * Long.parseLong(args[1]);
    List<SystemCallFault> cases = new ArrayList<>();
    add(cases, "accept", "listener", SoakPlan.ACCEPT_FAULTS, oneIn);
    add(cases, "read", "client", SoakPlan.TRANSIENT_READ_FAULTS, oneIn);
    add(cases, "write", "client", SoakPlan.TRANSIENT_WRITE_FAULTS, oneIn);
    add(cases, "read", "upstream", SoakPlan.TRANSIENT_READ_FAULTS, oneIn);
    add(cases, "read", "upstream", SoakPlan.FATAL_FAULTS, oneIn);
    add(cases, "write", "upstream", SoakPlan.TRANSIENT_WRITE_FAULTS, oneIn);
    add(cases, "write", "upstream", SoakPlan.FATAL_FAULTS, oneIn);
    add(cases, "connect", "upstream", SoakPlan.CONNECT_FAULTS, oneIn);
    add(cases, "socket", "any", List.of("EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"), oneIn);
    add(cases, "poll", "upstream", List.of("EINTR"), oneIn);
    add(cases, "epoll_wait", "any", List.of("EINTR"), oneIn);
    Path folder = Files.createTempDirectory("matrix");
    Path library = PreloadLibrary.build(folder).orElseThrow();
    runCase("none", SoakPlan.steady(SEED, durationMs, List.of()), folder, library);
    for (SystemCallFault each : cases) {
      runCase(
          each.call() + " " + each.role() + " " + each.fault(),
          SoakPlan.steady(SEED, durationMs, List.of(each)),
          folder,
          library);
    }
  }

  private static void runCase(String name, SoakPlan plan, Path folder, Path library)
      throws Exception {
    Path own = Files.createDirectories(folder.resolve(name.replace(' ', '-')));
    try (SoakRun run = new SoakRun(plan, own, library)) {
      SoakHistory history = run.run();
      List<SoakJudge.Violation> violations =
          new SoakJudge(history, plan.drainGraceMs(), SLACK_MS).violations();
      long served =
          history.requests().stream()
              .filter(request -> request.outcome() == RequestRecord.Outcome.SERVED)
              .count();
      System.out.printf(
          "%-32s requests %5d served %5d injected %5d violations %4d %s%n",
          name,
          history.requests().size(),
          served,
          run.injectedFaults(),
          violations.size(),
          violations.isEmpty() ? "" : violations.get(0).rule() + ": " + violations.get(0).detail());
    } catch (java.io.IOException e) {
      System.out.printf(
          "%-32s not started: %s%n", name, e.getMessage().lines().findFirst().orElse(""));
    }
  }
}
