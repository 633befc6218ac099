package leadferry.testbed;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/** Builds the JSON report of a fault test. docs/FLEET.md describes its keys. */
final class FaultTestReport {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final ObjectNode report = MAPPER.createObjectNode();

  FaultTestReport(FaultTestPlan plan) {
    report.put("seed", plan.seed()).put("seconds", plan.seconds());
    report
        .putObject("processes")
        .put("keepers", plan.replicas())
        .put("proxies", plan.proxies())
        .put("hosts", plan.upstreams());
  }

  ObjectNode toJson() {
    return report;
  }

  void addFaults(InjectedFaults faults) {
    ObjectNode counts = report.putObject("faults");
    for (InjectedFaults.Kind kind : InjectedFaults.Kind.values()) {
      counts.put(kind.key(), faults.countOf(kind));
    }
  }

  void addDrains(History history) {
    report
        .putObject("drains")
        .put("asked", count(history, call -> isDrain(call)))
        .put("granted", count(history, call -> isDrain(call, History.Outcome.GRANTED)))
        .put(
            "refused",
            count(
                history,
                call ->
                    isDrain(call, History.Outcome.REFUSED)
                        || isDrain(call, History.Outcome.HALTED)))
        .put("undecided", count(history, call -> isDrain(call, History.Outcome.UNDECIDED)))
        .put(
            "ended",
            count(
                history,
                call -> call.op() == History.Op.UNDO && call.outcome() == History.Outcome.DONE));
  }

  private static boolean isDrain(History.Call call) {
    return call.op() == History.Op.DRAIN;
  }

  private static boolean isDrain(History.Call call, History.Outcome outcome) {
    return isDrain(call) && call.outcome() == outcome;
  }

  private static long count(History history, Predicate<History.Call> predicate) {
    return history.calls().stream().filter(predicate).count();
  }

  void addUnavailable(InvariantChecker checker, FaultTestPlan plan) {
    report
        .putObject("out")
        .put("proxies_most", checker.maxProxiesOut())
        .put("proxies_allowed", plan.proxiesAllowed())
        .put("hosts_most", checker.maxUpstreamsOut())
        .put("hosts_allowed", plan.upstreamsAllowed());
  }

  void addRequests(
      FaultTestLoad load,
      InvariantChecker checker,
      InvariantChecker.UpstreamViolations upstreamViolations) {
    report
        .putObject("requests")
        .put("sent", load.sent())
        .put("served", load.served())
        .put("lost", checker.lostRequests())
        .put("twice", upstreamViolations.executedTwice())
        .put("to_drained", upstreamViolations.sentToDrained());
  }

  void addRecovery(RecoveryTracker recovery) {
    List<Long> sorted = recovery.sortedMillis();
    report
        .putObject("recovery_ms")
        .put("median", sorted.isEmpty() ? 0 : sorted.get(sorted.size() / 2))
        .put("most", sorted.isEmpty() ? 0 : sorted.get(sorted.size() - 1));
  }

  void addViolations(InvariantChecker checker) {
    checker.violations().forEach(report.putArray("broken")::add);
  }

  void addReleases(ReleaseWorkload workload, ProcessSupervisor supervisor) {
    ObjectNode releases = report.putObject("releases");
    for (ReleaseWorkload.Event event : ReleaseWorkload.Event.values()) {
      releases.put(event.key(), workload.countOf(event));
    }
    int executed = 0;
    int repeated = 0;
    int sameFenceTwice = 0;
    int rejected = 0;
    Set<Long> actions = new HashSet<>();
    Set<String> commands = new HashSet<>();
    for (ProcessSupervisor.Invocation invocation : supervisor.invocations()) {
      if (!invocation.verb().equals("command")) {
        continue;
      }
      if (invocation.rejected()) {
        rejected++;
        continue;
      }
      executed++;
      repeated += actions.add(invocation.actionId()) ? 0 : 1;
      String command =
          invocation.actionId() + "/" + invocation.fence() + "/" + invocation.version();
      sameFenceTwice += commands.add(command) ? 0 : 1;
    }
    report
        .putObject("actions")
        .put("done", executed)
        .put("again", repeated)
        .put("same_fence_twice", sameFenceTwice)
        .put("turned_away", rejected);
  }
}
