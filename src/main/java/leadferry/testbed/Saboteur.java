package leadferry.testbed;

import java.io.IOException;

/**
 * Violates the guarantee that a fault test's plan names, without the knowledge of the replicated
 * state.
 */
final class Saboteur {
  private final FaultTestPlan plan;
  private final FaultTestTopology topology;
  private final InvariantChecker checker;
  private final ProcessSupervisor.Targets versions;
  private final ExecutionLog executions;

  Saboteur(
      FaultTestPlan plan,
      FaultTestTopology topology,
      InvariantChecker checker,
      ProcessSupervisor.Targets versions,
      ExecutionLog executions) {
    this.plan = plan;
    this.topology = topology;
    this.checker = checker;
    this.versions = versions;
    this.executions = executions;
  }

  /** Violates the guarantee. Returns false if that is not possible yet. */
  boolean tryOnce() {
    return switch (plan.sabotage()) {
      case PROXY_OUT -> killProxyBeyondBudget();
      case DRAINED_HOST -> executeAtDrainedUpstream();
      case RESTART -> restartServingProxy();
      case NONE, TWICE -> executeTwice();
    };
  }

  private boolean killProxyBeyondBudget() {
    if (checker.proxiesNotServing() < plan.proxiesAllowed()) {
      return false;
    }
    String proxy =
        topology.proxyNames().stream()
            .filter(name -> checker.lastProbeResult(name) == InvariantChecker.ProbeResult.SERVING)
            .findFirst()
            .orElseThrow();
    topology.proxy(proxy).kill();
    return true;
  }

  private boolean executeAtDrainedUpstream() {
    String upstream = checker.anyDrainedUpstream();
    if (upstream == null) {
      return false;
    }
    executions.record("rogue-1", upstream, "");
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
    executions.record("p1u-rogue", "h1", "");
    executions.record("p1u-rogue", "h2", "");
    return true;
  }
}
