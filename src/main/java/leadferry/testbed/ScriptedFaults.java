package leadferry.testbed;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import leadferry.testbed.InjectedFaults.Kind;

/**
 * Carries out a {@link FaultScript}: injects faults and makes operators' calls at the stated times.
 */
final class ScriptedFaults {
  private final FaultTestTopology topology;
  private final InvariantChecker checker;
  private final InjectedFaults faults;
  private final RecoveryTracker recovery;
  private final BackgroundTasks tasks;
  private final OperatorWorkload operators;

  /** Grants of the script's drains by the target that each one took out of service. */
  private final Map<DrainTarget, String> grants = new ConcurrentHashMap<>();

  ScriptedFaults(
      FaultTestTopology topology,
      InvariantChecker checker,
      InjectedFaults faults,
      RecoveryTracker recovery,
      BackgroundTasks tasks,
      OperatorWorkload operators) {
    this.topology = topology;
    this.checker = checker;
    this.faults = faults;
    this.recovery = recovery;
    this.tasks = tasks;
    this.operators = operators;
  }

  /** Carries out all steps, each at its time counted from the call of this method. */
  void perform(List<FaultScript.Step> steps) {
    long startNanos = System.nanoTime();
    int number = 0;
    for (FaultScript.Step step : steps) {
      long elapsedMillis = (System.nanoTime() - startNanos) / 1_000_000;
      Threads.sleepMillis((long) (step.atSeconds() * 1e3) - elapsedMillis);
      perform(step, "script-" + number, new Random(number));
      number++;
    }
  }

  /** Returns to service the targets that the script drained and did not return itself. */
  void undoRemaining(Random random) {
    grants.forEach((target, grant) -> operators.undo("end-" + grant, grant, target, random));
  }

  private void perform(FaultScript.Step step, String callId, Random random) {
    List<String> arguments = step.arguments();
    switch (step.verb()) {
      case "kill", "stop" -> takeDown(arguments.get(0), step.verb().equals("kill"));
      case "start", "cont" -> bringBack(arguments.get(0), step.verb().equals("start"));
      case "isolate" -> {
        faults.count(Kind.CUT);
        topology.isolate(arguments.get(0));
      }
      case "cut", "delay", "refuse", "middle" ->
          breakLink(step.verb(), topology.link(arguments.get(0), arguments.get(1)), arguments);
      case "heal" -> topology.healLinks();
      case "drain" -> drain(new DrainTarget(arguments.get(0), arguments.get(1)), callId, random);
      case "undo" -> undo(new DrainTarget(arguments.get(0), arguments.get(1)), callId, random);
      case "halt" -> tasks.runLater(0, () -> operators.halt(callId, random));
      default -> tasks.runLater(0, () -> operators.resume(callId, random));
    }
  }

  private void takeDown(String name, boolean kill) {
    ManagedProcess process = topology.processOrNull(name);
    if (topology.proxy(name) != null) {
      checker.onTakenDown(name);
    }
    if (kill) {
      faults.kill(process);
    } else {
      faults.count(Kind.STALL);
      process.suspend();
    }
  }

  private void bringBack(String name, boolean restart) {
    ManagedProcess process = topology.processOrNull(name);
    if (restart) {
      faults.restart(process);
    } else {
      process.resume();
    }
    if (topology.proxy(name) != null) {
      long sinceNanos = System.nanoTime();
      tasks.runLater(0, () -> recovery.awaitRecovery(name, sinceNanos));
    }
  }

  private void breakLink(String verb, FaultyLink.Link link, List<String> arguments) {
    switch (verb) {
      case "cut" -> {
        String way = arguments.get(2);
        faults.count(way.equals("both") ? Kind.CUT : Kind.ONE_WAY);
        link.cut(!way.equals("back"), !way.equals("forth"));
      }
      case "delay" -> {
        faults.count(Kind.DELAY);
        link.setDelayMillis(Integer.parseInt(arguments.get(2)));
      }
      case "refuse" -> {
        faults.count(Kind.CUT);
        link.setRefusing(true);
      }
      default -> {
        faults.count(Kind.CUT);
        link.truncateNextChunk();
      }
    }
  }

  private void drain(DrainTarget target, String callId, Random random) {
    Map<String, DrainTarget> held = new LinkedHashMap<>();
    tasks.runLater(
        0,
        () -> {
          operators.drain(callId, target, random, held);
          held.forEach((grant, drained) -> grants.put(drained, grant));
        });
  }

  private void undo(DrainTarget target, String callId, Random random) {
    String grant = grants.remove(target);
    if (grant != null) {
      tasks.runLater(0, () -> operators.undo(callId, grant, target, random));
    }
  }
}
