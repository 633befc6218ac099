package leadferry.testbed;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Operators who drain proxies and hosts, give them back, halt and resume, at random from a seed.
 * Every call goes into a {@link History}; what a grant promises is told to the checker.
 */
final class OperatorWorkload {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final long CALL_MILLIS = 12_000;
  private static final long CARRIED_OUT_MILLIS = 3_000;
  private static final long LOOK_MILLIS = 50;
  private static final int MOST_GRANTS_HELD = 3;

  /** Of ten choices: up to here a drain, up to the next an undo, the last a halt. */
  private static final int CHOICES = 10;

  private static final int DRAIN_CHOICES = 6;
  private static final int UNDO_CHOICES = 9;

  /**
   * The longest (ms) until the agreed state knows of a dead proxy: its lease, an election and a new
   * leader's wait.
   */
  private static final long LOSS_KNOWN_MILLIS = 3L * FaultTest.LEASE_MILLIS + 3_000;

  private final FaultTestPlan plan;
  private final Operator operator;
  private final InvariantChecker checker;
  private final History history;

  /**
   * Calls whose outcome nobody came to know, by their ids: asked again once all links are whole.
   */
  private final Map<String, ObjectNode> undecided = new ConcurrentHashMap<>();

  private volatile boolean stopped;

  OperatorWorkload(
      FaultTestPlan plan, Operator operator, InvariantChecker checker, History history) {
    this.plan = plan;
    this.operator = operator;
    this.checker = checker;
    this.history = history;
  }

  /** Ends {@link #run}, which gives back what it holds. */
  void stop() {
    stopped = true;
  }

  /** One operator's calls until {@link #stop}; the first one halts now and then, too. */
  void run(int number) {
    Random random = new Random(plan.seed() * 31 + number);
    Map<String, DrainTarget> held = new LinkedHashMap<>();
    int calls = 0;
    while (!stopped) {
      String callId = "op" + number + "-" + calls++;
      int choice = random.nextInt(CHOICES);
      if (choice < DRAIN_CHOICES && held.size() < MOST_GRANTS_HELD) {
        drain(callId, anyTarget(random), random, held);
      } else if (choice < UNDO_CHOICES && !held.isEmpty()) {
        String grant = List.copyOf(held.keySet()).get(random.nextInt(held.size()));
        undo(callId, grant, held.remove(grant), random);
      } else if (choice == UNDO_CHOICES && number == 0) {
        halt(callId + "h", random);
        Threads.sleepMillis(random.nextInt(500));
        resume(callId + "r", random);
      }
      Threads.sleepMillis(100 + random.nextInt(400));
    }
    held.forEach((grant, target) -> undo("end" + number + "-" + grant, grant, target, random));
  }

  private DrainTarget anyTarget(Random random) {
    return random.nextBoolean()
        ? new DrainTarget(DrainTarget.PROXY, "p" + (1 + random.nextInt(plan.proxies())))
        : new DrainTarget(DrainTarget.HOST, "h" + (1 + random.nextInt(plan.upstreams())));
  }

  void halt(String callId, Random random) {
    call(Operator.entry("halt"), callId, History.Op.HALT, new DrainTarget("", ""), random);
  }

  void resume(String callId, Random random) {
    call(Operator.entry("resume"), callId, History.Op.RESUME, new DrainTarget("", ""), random);
  }

  /** Drains a target; a grant goes into {@code held}, a host's once it is out everywhere. */
  void drain(String callId, DrainTarget target, Random random, Map<String, DrainTarget> held) {
    Set<String> dead = checker.proxiesDownSince(lossKnownBefore());
    JsonNode outcome = call(drainEntry(target), callId, History.Op.DRAIN, target, random);
    if (outcome == null) {
      undecided.put(callId, drainEntry(target));
      return;
    }
    if (!isGranted(outcome)) {
      return;
    }
    String grant = outcome.path("permit").asText();
    held.put(grant, target);
    if (target.isProxy()) {
      dead.retainAll(checker.proxiesDownSince(lossKnownBefore()));
      checker.onProxyGranted(target.name(), dead);
    } else {
      awaitCarriedOut(grant, target);
    }
  }

  private static long lossKnownBefore() {
    return System.nanoTime() - LOSS_KNOWN_MILLIS * 1_000_000L;
  }

  private static ObjectNode drainEntry(DrainTarget target) {
    return Operator.entry("drain").put("kind", target.kind()).put("name", target.name());
  }

  private static boolean isGranted(JsonNode outcome) {
    return outcome.path("status").asText().equals("granted");
  }

  private void awaitCarriedOut(String grant, DrainTarget host) {
    long deadlineNanos = System.nanoTime() + CARRIED_OUT_MILLIS * 1_000_000L;
    while (System.nanoTime() < deadlineNanos) {
      ObjectNode question = MAPPER.createObjectNode().put("op", "permit").put("permit", grant);
      JsonNode state = operator.query(question, 0, 1_000);
      if (state != null && state.path("carried_out").asBoolean()) {
        checker.onUpstreamDrained(host.name());
        return;
      }
      Threads.sleepMillis(LOOK_MILLIS);
    }
  }

  /** Gives back what a grant took out. */
  void undo(String callId, String grant, DrainTarget target, Random random) {
    if (!target.isProxy()) {
      checker.onUpstreamReturning(target.name());
    }
    call(Operator.entry("undo").put("permit", grant), callId, History.Op.UNDO, target, random);
  }

  private JsonNode call(
      ObjectNode entry, String callId, History.Op operation, DrainTarget target, Random random) {
    long startNanos = System.nanoTime();
    JsonNode answer = operator.submit(entry, callId, random.nextInt(plan.replicas()), CALL_MILLIS);
    History.Outcome outcome = outcome(answer);
    if (answer == null && operation != History.Op.DRAIN) {
      undecided.put(callId, entry);
    }
    if (operation == History.Op.UNDO && outcome == History.Outcome.REFUSED) {
      checker.addViolation("a grant that was held could not be undone: " + answer);
    }
    history.record(
        new History.Call(
            operation, target.kind(), target.name(), startNanos, System.nanoTime(), outcome));
    return answer;
  }

  private History.Outcome outcome(JsonNode answer) {
    if (answer == null) {
      return History.Outcome.UNDECIDED;
    }
    return switch (answer.path("status").asText()) {
      case "granted" -> History.Outcome.GRANTED;
      case "done" -> History.Outcome.DONE;
      case "halted" -> History.Outcome.HALTED;
      case "refused", "unknown" -> History.Outcome.REFUSED;
      default -> {
        checker.addViolation("an operator was told " + answer);
        yield History.Outcome.REFUSED;
      }
    };
  }

  /** Asks again for all that nobody came to know; all links are whole by now. */
  void resolveUndecided(Random random) {
    undecided.forEach(
        (callId, entry) -> {
          JsonNode outcome = operator.submit(entry, callId, 0, FaultTest.START_MILLIS);
          if (outcome == null) {
            checker.addViolation("with all links whole there is no outcome of " + callId);
          } else if (entry.path("op").asText().equals("drain") && isGranted(outcome)) {
            DrainTarget target =
                new DrainTarget(entry.path("kind").asText(), entry.path("name").asText());
            undo("after-" + callId, outcome.path("permit").asText(), target, random);
          }
        });
  }
}
