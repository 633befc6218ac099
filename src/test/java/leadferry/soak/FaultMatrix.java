package leadferry.soak;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * By hand: one run for each documented failure of each call, and one with none; {@code FaultMatrix
 * ONE_IN SECONDS}.
 */
public final class FaultMatrix {
  private static final long SLACK_MS = 100;
  private static final long SEED = 21;

  private FaultMatrix() {}

  private static void add(
      List<SystemCallFault> cases, String call, String role, List<String> faults, int oneIn) {
    faults.forEach(fault -> cases.add(SystemCallFault.always(call, role, fault, oneIn)));
  }

  /** Prints a line for each run. */
  public static void main(String[] args) throws Exception {
    int oneIn = Integer.parseInt(args[0]);
    long lengthMs = 1_000 * Long.parseLong(args[1]);
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
    play("none", SoakPlan.steady(SEED, lengthMs, List.of()), folder, library);
    for (SystemCallFault each : cases) {
      play(
          each.call() + " " + each.role() + " " + each.fault(),
          SoakPlan.steady(SEED, lengthMs, List.of(each)),
          folder,
          library);
    }
  }

  private static void play(String name, SoakPlan plan, Path folder, Path library) throws Exception {
    Path own = Files.createDirectories(folder.resolve(name.replace(' ', '-')));
    try (SoakRun run = new SoakRun(plan, own, library)) {
      SoakHistory history = run.run();
      List<SoakJudge.Violation> violations =
          new SoakJudge(history, plan.drainGraceMs(), SLACK_MS).violations();
      long served =
          history.requests().stream()
              .filter(r -> r.outcome() == RequestRecord.Outcome.SERVED)
              .count();
      System.out.printf(
          "%-32s requests %5d served %5d injected %5d broken %4d %s%n",
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
