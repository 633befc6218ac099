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
 * Operators that drain proxies and upstreams, return them, halt and resume, at random from a seed.
 * Records every call in a {@link History} and reports granted drains to the checker.
 */
final class OperatorWorkload {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final long CALL_MILLIS = 12_000;
  private static final long CARRIED_OUT_MILLIS = 3_000;
  private static final long POLL_MILLIS = 50;
  private static final int MAX_GRANTS_HELD = 3;

  /**
   * Number of values a random choice has: below {@link #DRAIN_CHOICES} it is a drain, below {@link
   * #UNDO_CHOICES} an undo, and at the last value a halt.
   */
  private static final int CHOICES = 10;

  private static final int DRAIN_CHOICES = 6;
  private static final int UNDO_CHOICES = 9;

  /**
   * Longest time, in milliseconds, until the replicated state knows of a dead proxy: its lease, an
   * election and the wait of a new leader.
   */
  private static final long LOSS_KNOWN_MILLIS = 3L * FaultTest.LEASE_MILLIS + 3_000;

  private final FaultTestPlan plan;
  private final Operator operator;
  private final InvariantChecker checker;
  private final History history;

  /**
   * Calls with an unknown outcome by call id. They are repeated once the faults of all links are
   * removed.
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

  /** Ends {@link #run}, which then returns its drained targets to service. */
  void stop() {
    stopped = true;
  }

  /** Makes one operator's calls until {@link #stop}. Only operator 0 halts. */
  void run(int number) {
    Random random = new Random(plan.seed() * 31 + number);
    Map<String, DrainTarget> held = new LinkedHashMap<>();
    int calls = 0;
    while (!stopped) {
      String callId = "op" + number + "-" + calls++;
      int choice = random.nextInt(CHOICES);
      if (choice < DRAIN_CHOICES && held.size() < MAX_GRANTS_HELD) {
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

  /**
   * Drains a target. Adds a grant to {@code held}, and for an upstream waits up to {@link
   * #CARRIED_OUT_MILLIS} until it is out of service at every proxy.
   */
  void drain(String callId, DrainTarget target, Random random, Map<String, DrainTarget> held) {
    Set<String> proxiesDown = checker.proxiesDownSince(lossKnownBefore());
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
      proxiesDown.retainAll(checker.proxiesDownSince(lossKnownBefore()));
      checker.onProxyGranted(target.name(), proxiesDown);
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

  private void awaitCarriedOut(String grant, DrainTarget upstream) {
    long deadlineNanos = System.nanoTime() + CARRIED_OUT_MILLIS * 1_000_000L;
    while (System.nanoTime() < deadlineNanos) {
      ObjectNode request = MAPPER.createObjectNode().put("op", "permit").put("permit", grant);
      JsonNode state = operator.query(request, 0, 1_000);
      if (state != null && state.path("carried_out").asBoolean()) {
        checker.onUpstreamDrained(upstream.name());
        return;
      }
      Threads.sleepMillis(POLL_MILLIS);
    }
  }

  /** Returns the target of a grant to service. */
  void undo(String callId, String grant, DrainTarget target, Random random) {
    if (!target.isProxy()) {
      checker.onUpstreamReturning(target.name());
    }
    call(Operator.entry("undo").put("permit", grant), callId, History.Op.UNDO, target, random);
  }

  private JsonNode call(
      ObjectNode entry, String callId, History.Op operation, DrainTarget target, Random random) {
    long startNanos = System.nanoTime();
    JsonNode response =
        operator.submit(entry, callId, random.nextInt(plan.replicas()), CALL_MILLIS);
    History.Outcome outcome = outcome(response);
    if (response == null && operation != History.Op.DRAIN) {
      undecided.put(callId, entry);
    }
    if (operation == History.Op.UNDO && outcome == History.Outcome.REFUSED) {
      checker.addViolation("undo of a held grant was refused: " + response);
    }
    history.record(
        new History.Call(
            operation, target.kind(), target.name(), startNanos, System.nanoTime(), outcome));
    return response;
  }

  private History.Outcome outcome(JsonNode response) {
    if (response == null) {
      return History.Outcome.UNDECIDED;
    }
    return switch (response.path("status").asText()) {
      case "granted" -> History.Outcome.GRANTED;
      case "done" -> History.Outcome.DONE;
      case "halted" -> History.Outcome.HALTED;
      case "refused", "unknown" -> History.Outcome.REFUSED;
      default -> {
        checker.addViolation("unexpected response to an operator: " + response);
        yield History.Outcome.REFUSED;
      }
    };
  }

  /**
   * Repeats all calls with an unknown outcome. Requires that the faults of all links are removed.
   */
  void resolveUndecided(Random random) {
    undecided.forEach(
        (callId, entry) -> {
          JsonNode outcome = operator.submit(entry, callId, 0, FaultTest.START_MILLIS);
          if (outcome == null) {
            checker.addViolation("all links work, but there is no outcome of call " + callId);
          } else if (entry.path("op").asText().equals("drain") && isGranted(outcome)) {
            DrainTarget target =
                new DrainTarget(entry.path("kind").asText(), entry.path("name").asText());
            undo("after-" + callId, outcome.path("permit").asText(), target, random);
          }
        });
  }
}
