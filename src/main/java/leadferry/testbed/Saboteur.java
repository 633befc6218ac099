package leadferry.testbed;

import java.io.IOException;

/** Breaks the promise that a fault test's plan names, behind the back of the agreed state. */
final class Saboteur {
  private final FaultTestPlan plan;
  private final FaultTestTopology topology;
  private final HistoryChecker checker;
  private final ProcessSupervisor.Site versions;
  private final ExecutionLog executions;

  Saboteur(
      FaultTestPlan plan,
      FaultTestTopology topology,
      HistoryChecker checker,
      ProcessSupervisor.Site versions,
      ExecutionLog executions) {
    this.plan = plan;
    this.topology = topology;
    this.checker = checker;
    this.versions = versions;
    this.executions = executions;
  }

  /** Breaks the promise; false where it can't be broken yet. */
  boolean tryOnce() {
    return switch (plan.sabotage()) {
      case PROXY_OUT -> killProxyBeyondBudget();
      case DRAINED_HOST -> executeAtDrainedUpstream();
      case RESTART -> restartServingProxy();
      case NONE, TWICE -> executeTwice();
    };
  }

  private boolean killProxyBeyondBudget() {
    if (checker.proxiesOut() < plan.proxiesAllowed()) {
      return false;
    }
    String proxy =
        topology.proxyNames().stream()
            .filter(name -> checker.seen(name) == HistoryChecker.Seen.SERVES)
            .findFirst()
            .orElseThrow();
    topology.proxy(proxy).kill();
    return true;
  }

  private boolean executeAtDrainedUpstream() {
    String upstream = checker.anyHostOut();
    if (upstream == null) {
      return false;
    }
    executions.ran("rogue-1", upstream, "");
    return true;
  }

  private boolean restartServingProxy() {
    try {
      versions.replace(topology.proxyNames().iterator().next(), FaultTest.FIRST_VERSION);
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
    return true;
  }

  private boolean executeTwice() {
    executions.ran("p1u-rogue", "h1", "");
    executions.ran("p1u-rogue", "h2", "");
    return true;
  }
}
