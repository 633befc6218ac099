package leadferry.testbed;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Tracks the versions of proxies and upstreams, and replaces them for the supervisor. */
final class ReleasedVersions implements ProcessSupervisor.Targets {
  private static final long END_MILLIS = 20_000;

  /** Fraction of requests that an upstream of a failing version fails. */
  private static final double FAILING_SHARE = 0.3;

  private final FaultTestTopology topology;
  private final InvariantChecker checker;
  private final RecoveryTracker recovery;
  private final BackgroundTasks tasks;
  private final Map<String, String> versions = new ConcurrentHashMap<>();

  ReleasedVersions(
      FaultTestTopology topology,
      InvariantChecker checker,
      RecoveryTracker recovery,
      BackgroundTasks tasks) {
    this.topology = topology;
    this.checker = checker;
    this.recovery = recovery;
    this.tasks = tasks;
  }

  @Override
  public void replace(String target, String version) throws IOException, InterruptedException {
    if (topology.proxy(target) == null) {
      replaceUpstream(target, version);
    } else {
      replaceProxy(target, version);
    }
  }

  private void replaceUpstream(String target, String version) throws IOException {
    FakeUpstream upstream = topology.upstream(target);
    if (upstream.requestsInProgress() > 0) {
      checker.addViolation(target + " was replaced while requests were in progress");
    }
    versions.put(target, version);
    boolean failing = version.startsWith(FaultTest.FAILING_VERSION);
    upstream.setFault(
        failing ? FakeUpstream.Fault.FAIL_FAST : FakeUpstream.Fault.NONE, FAILING_SHARE);
    upstream.restart();
  }

  private void replaceProxy(String target, String version) throws IOException {
    ManagedProcess proxy = topology.proxy(target);
    if (checker.probeNow(target) == InvariantChecker.ProbeResult.SERVING) {
      checker.addViolation(target + " was restarted while it was serving");
    }
    checker.onRestartStarted(target);
    if (proxy.isRunning() && proxy.terminate(END_MILLIS) != 0) {
      checker.addViolation(target + " did not exit after SIGTERM");
    }
    versions.put(target, version);
    topology.writeProxyFile(target, version);
    proxy.start();
    tasks.runLater(
        0,
        () -> {
          recovery.awaitResponse(target, System.nanoTime());
          checker.onRestartFinished(target);
        });
  }

  @Override
  public String version(String target) {
    return versions.getOrDefault(target, FaultTest.FIRST_VERSION);
  }
}
