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

/** The platform's process under system calls that fail as Linux documents, one kind at a time. */
class SystemCallFaultsTest {
  private static final long LENGTH_MS = 4_000;

  /** The page's slack, and what the threads of this process may be late on a busy machine. */
  private static final long SLACK_MS = 250;

  private static final int LEAST_REQUESTS = 200;

  @TempDir Path folder;

  private void everyRequestIsAnswered(String call, String role, List<String> faults, int oneIn)
      throws Exception {
    Optional<Path> library = PreloadLibrary.build(folder);
    Assumptions.assumeTrue(library.isPresent(), "a C compiler");
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
              + ", broken "
              + violations.size());
      assertThat(history.requests()).hasSizeGreaterThan(LEAST_REQUESTS);
      assertThat(reached(run)).containsAll(faults);
      assertThat(violations).isEmpty();
    }
  }

  /** The kinds of fault that reached the process. */
  private List<String> reached(SoakRun run) throws Exception {
    List<String> kinds = new ArrayList<>();
    for (String line : Files.readAllLines(folder.resolve("proxy0/faults.log"))) {
      kinds.add(line.split(" ")[3]);
    }
    return kinds;
  }

  @Test
  void failuresOfAcceptLoseNoRequest() throws Exception {
    everyRequestIsAnswered("accept", "listener", SoakPlan.ACCEPT_FAULTS, 10);
  }

  @Test
  void transientFailuresOfReadOnClientConnectionsLoseNoRequest() throws Exception {
    everyRequestIsAnswered("read", "client", SoakPlan.TRANSIENT_READ_FAULTS, 10);
  }

  @Test
  void transientFailuresOfWriteOnClientConnectionsLoseNoRequest() throws Exception {
    everyRequestIsAnswered("write", "client", SoakPlan.TRANSIENT_WRITE_FAULTS, 10);
  }

  @Test
  void failuresOfConnectLoseNoRequest() throws Exception {
    everyRequestIsAnswered("connect", "upstream", SoakPlan.CONNECT_FAULTS, 2);
  }

  @Test
  void interruptedPollsOfConnectionsThatComeUpLoseNoRequest() throws Exception {
    everyRequestIsAnswered("poll", "upstream", List.of("EINTR"), 2);
  }

  @Test
  void failuresOfReadOnConnectionsToServersLoseNoRequest() throws Exception {
    everyRequestIsAnswered("read", "upstream", allReadFaults(), 10);
  }

  private static List<String> allReadFaults() {
    List<String> all = new ArrayList<>(SoakPlan.TRANSIENT_READ_FAULTS);
    all.addAll(SoakPlan.FATAL_FAULTS);
    return all;
  }
}
