package leadferry.release;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import leadferry.disruption.Budget;
import leadferry.disruption.DisruptionState;
import leadferry.disruption.Outcome;
import leadferry.disruption.Outcome.Status;
import leadferry.disruption.TargetType;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a release that drains or changes a target when a budget, a lost lease or its own
 * state forbids it. Each test applies log entries one by one to a fleet of four proxies, of which
 * the budget allows two to be unavailable; the plan covers three of them.
 */
class ReleaseTest {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final DisruptionState disruption =
      new DisruptionState(new DisruptionState.Times(0, 0, 0));
  private final ReleaseRegistry releases = new ReleaseRegistry();
  private final Map<String, Long> lastReportNumbers = new TreeMap<>();
  private ObjectNode plan;
  private long fence;

  @BeforeEach
  void createFleetAndPlan() {
    for (String proxy : List.of("a", "b", "c", "d")) {
      join(proxy, "v1");
    }
    List<String> errors = new ArrayList<>();
    JsonNode budget =
        MAPPER.createObjectNode().put("name", "proxies").put("of", "proxy").put("max_out", 2);
    disruption.replaceBudgets(List.of(Budget.read(budget, errors)), 0);
    plan =
        MAPPER
            .createObjectNode()
            .put("name", "r")
            .put("of", "proxy")
            .put("version", "v2")
            .put("from", "v1")
            .put("halt_lost", 2);
    addStep("first", 1, "a");
    addStep("rest", 2, "b", "c");
  }

  private void addStep(String name, int atOnce, String... targets) {
    ObjectNode step = plan.withArray("steps").addObject().put("name", name).put("at_once", atOnce);
    List.of(targets).forEach(step.putArray("targets")::add);
  }

  private void join(String name, String version) {
    disruption.onSessionOpened(name, "z", version, "x", List.of());
    lastReportNumbers.put(name, 0L);
    report(name, true);
  }

  private void report(String name, boolean serving) {
    disruption.onMemberReport(
        name,
        lastReportNumbers.merge(name, 1L, Long::sum),
        disruption.version(),
        serving,
        Set.of(),
        Set.of());
    releases.onFleetChange(disruption);
    expireDisruptionTimers();
    releases.onFleetChange(disruption);
  }

  private void expireDisruptionTimers() {
    List.copyOf(disruption.timerDurationsMillis().keySet()).forEach(disruption::onTimerExpired);
  }

  private Outcome apply(String operation, Object... fields) {
    ObjectNode entry =
        MAPPER.createObjectNode().put("release", "r").put("why", "test").put("fence", fence);
    for (int i = 0; i < fields.length; i += 2) {
      entry.set((String) fields[i], MAPPER.valueToTree(fields[i + 1]));
    }
    Outcome outcome = apply("release_" + operation, entry);
    releases.onFleetChange(disruption);
    return outcome;
  }

  private Outcome apply(String operation, ObjectNode entry) {
    List<String> errors = new ArrayList<>();
    ReleaseCommand command = ReleaseCommandCodec.decode(operation, entry, errors);
    return command == null
        ? new Outcome(Status.MALFORMED, "", errors)
        : releases.apply(command, disruption);
  }

  private void startRelease() {
    assertThat(apply("start", "plan", plan)).extracting(Outcome::status).isEqualTo(Status.DONE);
    acquireLease("x");
  }

  private void acquireLease(String name) {
    Outcome outcome = apply("drive", "driver", name, "lease_ms", 1_000);
    assertThat(outcome.status()).isEqualTo(Status.DONE);
    fence = outcome.number();
  }

  private ObjectNode status() {
    ObjectNode status = MAPPER.createObjectNode();
    releases.writeStatus("r", status, disruption);
    return status;
  }

  private String state() {
    return status().path("state").asText();
  }

  private JsonNode target(String name) {
    for (JsonNode target : status().path("targets")) {
      if (target.path("name").asText().equals(name)) {
        return target;
      }
    }
    throw new IllegalArgumentException(name);
  }

  /** Drains a target and reports that it no longer serves; returns the action number. */
  private long drainTarget(String name) {
    Outcome outcome = apply("intend", "target", name);
    assertThat(outcome.status()).as(outcome.toString()).isEqualTo(Status.GRANTED);
    report(name, false);
    return outcome.number();
  }

  /** Drains a target, changes its version and returns it to service. */
  private void changeTarget(String name, String version) {
    long action = drainTarget(name);
    assertThat(apply("acting", "target", name, "action", action).status()).isEqualTo(Status.DONE);
    disruption.onSessionEnded(name, true);
    join(name, version);
    assertThat(apply("observed", "target", name, "action", action, "found", version).status())
        .isEqualTo(Status.DONE);
    report(name, true);
  }

  /** Lets the baking time of a step pass and records a verdict for the step. */
  private void passStep(int step) {
    expireReleaseTimer("release-bake");
    assertThat(apply("verdict", "step", step, "go", true, "text", "well").status())
        .isEqualTo(Status.DONE);
  }

  private void expireReleaseTimer(String kind) {
    Map<String, Long> timers = new TreeMap<>();
    releases.putTimers(timers);
    String timer =
        timers.keySet().stream()
            .filter(name -> name.startsWith(kind))
            .findFirst()
            .orElseThrow(() -> new AssertionError(kind + " of " + timers));
    releases.onTimerExpired(timer);
    releases.onFleetChange(disruption);
  }

  @Test
  void theReleaseCompletesStepByStep() {
    startRelease();
    assertThat(apply("intend", "target", "b").status())
        .as("a target of a later step")
        .isEqualTo(Status.REFUSED);
    changeTarget("a", "v2");
    assertThat(apply("verdict", "step", 0, "go", true).status())
        .as("a verdict before the step has baked")
        .isEqualTo(Status.REFUSED);
    passStep(0);
    changeTarget("b", "v2");
    changeTarget("c", "v2");
    passStep(1);
    assertThat(state()).isEqualTo("done");
  }

  @Test
  void budgetsBoundTheTargetsOutOfServiceAtOnce() {
    startRelease();
    changeTarget("a", "v2");
    passStep(0);
    assertThat(disruption.drain(TargetType.PROXY, "d", 0, false, "op", "x").status())
        .isEqualTo(Status.GRANTED);
    drainTarget("b");
    assertThat(apply("intend", "target", "c"))
        .satisfies(
            outcome -> {
              assertThat(outcome.status()).isEqualTo(Status.REFUSED);
              assertThat(outcome.reasons().toString()).contains("budget proxies", "d (permit");
            });
  }

  @Test
  void aDriverWithAnExpiredLeaseIsRejectedByItsFencingToken() {
    startRelease();
    long expiredFence = fence;
    long action = drainTarget("a");
    assertThat(apply("drive", "driver", "y", "lease_ms", 1_000).status())
        .as("while x holds its lease")
        .isEqualTo(Status.REFUSED);
    expireReleaseTimer("release-driver");
    acquireLease("y");
    assertThat(fence).isGreaterThan(expiredFence);
    for (String operation : List.of("intend", "acting", "observed")) {
      assertThat(
              apply(
                      operation,
                      "fence",
                      expiredFence,
                      "target",
                      "a",
                      "action",
                      action,
                      "found",
                      "v1")
                  .status())
          .as(operation)
          .isEqualTo(Status.CONFLICT);
    }
    assertThat(apply("acting", "target", "a", "action", action).status()).isEqualTo(Status.DONE);
  }

  @Test
  void tooManyLostTargetsHaltTheReleaseUntilAnOperatorOverrides() {
    startRelease();
    disruption.onSessionEnded("c", false);
    releases.onFleetChange(disruption);
    assertThat(state()).isEqualTo("running");
    disruption.onSessionEnded("d", false);
    releases.onFleetChange(disruption);
    assertThat(status().path("state_why").asText()).isEqualTo("lost meanwhile: c, d");
    assertThat(apply("intend", "target", "a").status()).isEqualTo(Status.HALTED);
    apply("resume");
    assertThat(state()).as("the targets are still lost").isEqualTo("halted");
    apply("override", "what", "lost");
    apply("resume");
    assertThat(state()).isEqualTo("running");
  }

  @Test
  void aLostTargetWithTheNewVersionHaltsTheRelease() {
    startRelease();
    changeTarget("a", "v2");
    disruption.onSessionEnded("a", false);
    releases.onFleetChange(disruption);
    assertThat(status().path("state_why").asText()).isEqualTo("a is new, and lost");
  }

  @Test
  void actionsAndTheWholeReleaseHaveTimeLimits() {
    startRelease();
    drainTarget("a");
    expireReleaseTimer("release-action");
    assertThat(status().path("state_why").asText()).contains("a is not back in service");
    apply("resume");
    expireReleaseTimer("release-longest");
    assertThat(status().path("state_why").asText()).contains("its time of");
  }

  @Test
  void aHaltOfTheFleetHaltsTheReleaseUntilAnOperatorResumesIt() {
    startRelease();
    disruption.halt("incident");
    releases.onFleetChange(disruption);
    disruption.resume();
    releases.onFleetChange(disruption);
    assertThat(state()).isEqualTo("halted");
  }

  @Test
  void aRollbackBeginsWithTheLatestTargetAndMayStopAtAStep() {
    startRelease();
    changeTarget("a", "v2");
    passStep(0);
    changeTarget("b", "v2");
    changeTarget("c", "v2");
    passStep(1);
    apply("back", "to_step", 1);
    ReleaseController controller = new ReleaseController("x", 1_000);
    assertThat(controller.nextActions(ReleaseViewCodec.read(status()), Optional.empty(), true, 0))
        .containsExactly(
            new DriverAction.SubmitCommand(new ReleaseCommand.IntendChange("r", fence, "c")));
    changeTarget("c", "v1");
    changeTarget("b", "v1");
    assertThat(status().path("state_why").asText()).isEqualTo("back to step 1, as asked");
    assertThat(target("a").path("at").asText()).isEqualTo("new");
    apply("back");
    changeTarget("a", "v1");
    assertThat(state()).isEqualTo("returned");
  }

  @Test
  void aTargetReturningWithAnotherVersionIsChangedAgainOrKeptOutOfService() {
    for (String policy : List.of("queue", "hold")) {
      plan.put("name", "r").put("on_wrong", policy);
      if (policy.equals("hold")) {
        apply("end");
        plan.put("name", "r2");
      }
      Outcome outcome =
          apply("release_start", MAPPER.createObjectNode().<ObjectNode>set("plan", plan));
      assertThat(outcome.status()).as(outcome.toString()).isEqualTo(Status.DONE);
      if (policy.equals("queue")) {
        acquireLease("x");
        changeTarget("a", "v2");
      }
      disruption.onSessionEnded("a", true);
      join("a", policy.equals("queue") ? "v1" : "v7");
      ObjectNode status = MAPPER.createObjectNode();
      releases.writeStatus(plan.path("name").asText(), status, disruption);
      JsonNode target = status.path("targets").path(0);
      if (policy.equals("queue")) {
        assertThat(target.path("phase").asText()).isEqualTo("in");
        assertThat(target.path("at").asText()).isEqualTo("old");
      } else {
        assertThat(target.path("at").asText()).isEqualTo("unknown");
        assertThat(target.path("phase").asText()).isEqualTo("leaving");
        assertThat(target.path("held").asBoolean()).isTrue();
        assertThat(disruption.unavailabilityReason(TargetType.PROXY, "a")).startsWith("permit");
      }
    }
  }

  @Test
  void aTargetReturningWithThePreviousVersionReopensACompletedRelease() {
    startRelease();
    changeTarget("a", "v2");
    passStep(0);
    changeTarget("b", "v2");
    changeTarget("c", "v2");
    passStep(1);
    disruption.onSessionEnded("b", true);
    join("b", "v1");
    assertThat(status().path("state_why").asText()).isEqualTo("b came back with v1");
    assertThat(state()).isEqualTo("running");
  }

  @Test
  void aReleaseWithADrainedTargetCannotBeEndedAndKeepsItsGrant() {
    startRelease();
    drainTarget("a");
    assertThat(apply("end").status()).isEqualTo(Status.REFUSED);
    assertThat(releases.findReleaseHolding(target("a").path("permit").asText())).isEqualTo("r");
  }

  @Test
  void anAgentsReportCountsOnlyForItsOwnAttempt() {
    startRelease();
    long action = drainTarget("a");
    apply("acting", "target", "a", "action", action);
    assertThat(
            apply("reported", "target", "a", "action", action, "tries", 2, "found", "v2").status())
        .isEqualTo(Status.CONFLICT);
    assertThat(
            apply("reported", "target", "a", "action", action, "tries", 1, "found", "v2").status())
        .isEqualTo(Status.DONE);
    assertThat(target("a").path("told").asText()).isEqualTo("v2");
  }

  @Test
  void allErrorsOfAPlanAreReportedAtOnce() {
    plan.put("version", "v1").put("on_wrong", "maybe").put("action_ms", 5);
    addStep("first", 0, "a");
    List<String> errors = new ArrayList<>();
    assertThat(ReleasePlanCodec.read(plan, errors)).isNull();
    assertThat(String.join("\n", errors))
        .contains(
            "from:",
            "on_wrong:",
            "action_ms:",
            "step first: a second time",
            "a stands in step first",
            "at_once:");
    plan.remove("steps");
    assertThat(apply("start", "plan", plan).status()).isEqualTo(Status.MALFORMED);
  }

  @Test
  void unknownTargetsAndUsedNamesAreRefused() {
    startRelease();
    plan.withArray("steps").addObject().put("name", "more").putArray("targets").add("nobody");
    assertThat(apply("start", "plan", plan).reasons().toString())
        .contains("no proxy 'nobody'", "was used before", "has some of these targets");
  }
}
