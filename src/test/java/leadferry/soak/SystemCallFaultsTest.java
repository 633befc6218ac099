package leadferry.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Assumptions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against requests that the platform's proxy loses when a system call fails as Linux
 * documents. Each test injects the failures of one call.
 */
class SystemCallFaultsTest {
  private static final long LENGTH_MS = 4_000;

  /**
   * The slack of the protocol page plus the delay of the threads of this process on a busy machine.
   */
  private static final long SLACK_MS = 250;

  private static final int MIN_REQUESTS = 200;

  @TempDir Path folder;

  private void assertEveryRequestGetsAResponse(
      String call, String role, List<String> faults, int oneIn) throws Exception {
    Optional<Path> library = PreloadLibrary.build(folder);
    Assumptions.assumeTrue(library.isPresent(), "requires a C compiler");
    List<SystemCallFault> rules =
        faults.stream()
            .map(fault -> SystemCallFault.always(call, role, fault, oneIn * faults.size()))
            .toList();
    SoakPlan plan = SoakPlan.steady(11, LENGTH_MS, rules);
    try (SoakRun run = new SoakRun(plan, folder, library.get())) {
      SoakHistory history = run.run();
      List<SoakJudge.Violation> violations =
          new SoakJudge(history, plan.drainGraceMs(), SLACK_MS).violations();
      System.out.println(
          call
              + " "
              + role
              + " "
              + faults
              + " one in "
              + oneIn
              + ": requests "
              + history.requests().size()
              + ", faults injected "
              + run.injectedFaults()
              + ", violations "
              + violations.size());
      assertThat(history.requests()).hasSizeGreaterThan(MIN_REQUESTS);
      assertThat(injectedFaultNames(run)).containsAll(faults);
      assertThat(violations).isEmpty();
    }
  }

  /** Returns the names of the faults injected into the process. */
  private List<String> injectedFaultNames(SoakRun run) throws Exception {
    List<String> names = new ArrayList<>();
    for (String line : Files.readAllLines(folder.resolve("proxy0/faults.log"))) {
      names.add(line.split(" ")[3]);
    }
    return names;
  }

  @Test
  void acceptFailuresLoseNoRequest() throws Exception {
    assertEveryRequestGetsAResponse("accept", "listener", SoakPlan.ACCEPT_FAULTS, 10);
  }

  @Test
  void transientClientReadFailuresLoseNoRequest() throws Exception {
    assertEveryRequestGetsAResponse("read", "client", SoakPlan.TRANSIENT_READ_FAULTS, 10);
  }

  @Test
  void transientClientWriteFailuresLoseNoRequest() throws Exception {
    assertEveryRequestGetsAResponse("write", "client", SoakPlan.TRANSIENT_WRITE_FAULTS, 10);
  }

  @Test
  void connectFailuresLoseNoRequest() throws Exception {
    assertEveryRequestGetsAResponse("connect", "upstream", SoakPlan.CONNECT_FAULTS, 2);
  }

  @Test
  void interruptedPollsDuringConnectLoseNoRequest() throws Exception {
    assertEveryRequestGetsAResponse("poll", "upstream", List.of("EINTR"), 2);
  }

  @Test
  void upstreamReadFailuresLoseNoRequest() throws Exception {
    assertEveryRequestGetsAResponse("read", "upstream", allReadFaults(), 10);
  }

  private static List<String> allReadFaults() {
    List<String> all = new ArrayList<>(SoakPlan.TRANSIENT_READ_FAULTS);
    all.addAll(SoakPlan.FATAL_FAULTS);
    return all;
  }
}
