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

/** One release over four proxies, two allowed out, entry by entry. */
class ReleaseTest {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final DisruptionState disruption =
      new DisruptionState(new DisruptionState.Times(0, 0, 0));
  private final ReleaseRegistry releases = new ReleaseRegistry();
  private final Map<String, Long> words = new TreeMap<>();
  private ObjectNode plan;
  private long fence;

  @BeforeEach
  void fleet() {
    for (String proxy : List.of("a", "b", "c", "d")) {
      join(proxy, "v1");
    }
    List<String> faults = new ArrayList<>();
    JsonNode budget =
        MAPPER.createObjectNode().put("name", "proxies").put("of", "proxy").put("max_out", 2);
    disruption.replaceBudgets(List.of(Budget.read(budget, faults)), 0);
    plan =
        MAPPER
            .createObjectNode()
            .put("name", "r")
            .put("of", "proxy")
            .put("version", "v2")
            .put("from", "v1")
            .put("halt_lost", 2);
    step("first", 1, "a");
    step("rest", 2, "b", "c");
  }

  private void step(String name, int atOnce, String... targets) {
    ObjectNode step = plan.withArray("steps").addObject().put("name", name).put("at_once", atOnce);
    List.of(targets).forEach(step.putArray("targets")::add);
  }

  private void join(String name, String version) {
    disruption.onSessionOpened(name, "z", version, "x", List.of());
    words.put(name, 0L);
    says(name, true);
  }

  private void says(String name, boolean serving) {
    disruption.onMemberReport(
        name, words.merge(name, 1L, Long::sum), disruption.version(), serving, Set.of(), Set.of());
    releases.onFleetChange(disruption);
    settle();
    releases.onFleetChange(disruption);
  }

  private void settle() {
    List.copyOf(disruption.timerDurationsMillis().keySet()).forEach(disruption::onTimerExpired);
  }

  private Outcome apply(String operation, Object... with) {
    ObjectNode entry =
        MAPPER.createObjectNode().put("release", "r").put("why", "test").put("fence", fence);
    for (int i = 0; i < with.length; i += 2) {
      entry.set((String) with[i], MAPPER.valueToTree(with[i + 1]));
    }
    Outcome outcome = apply("release_" + operation, entry);
    releases.onFleetChange(disruption);
    return outcome;
  }

  private Outcome apply(String operation, ObjectNode entry) {
    List<String> faults = new ArrayList<>();
    ReleaseCommand command = ReleaseCommandCodec.decode(operation, entry, faults);
    return command == null
        ? new Outcome(Status.MALFORMED, "", faults)
        : releases.apply(command, disruption);
  }

  private void begin() {
    assertThat(apply("start", "plan", plan)).extracting(Outcome::status).isEqualTo(Status.DONE);
    drive("x");
  }

  private void drive(String name) {
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

  /** Goes out, as the grant says, and says so. */
  private long out(String name) {
    Outcome outcome = apply("intend", "target", name);
    assertThat(outcome.status()).as(outcome.toString()).isEqualTo(Status.GRANTED);
    says(name, false);
    return outcome.number();
  }

  /** Takes a target to that version and back into service. */
  private void change(String name, String version) {
    long action = out(name);
    assertThat(apply("acting", "target", name, "action", action).status()).isEqualTo(Status.DONE);
    disruption.onSessionEnded(name, true);
    join(name, version);
    assertThat(apply("observed", "target", name, "action", action, "found", version).status())
        .isEqualTo(Status.DONE);
    says(name, true);
  }

  /** The step's baking time is over, and the verdict is for it. */
  private void judged(int step) {
    time("release-bake");
    assertThat(apply("verdict", "step", step, "go", true, "text", "well").status())
        .isEqualTo(Status.DONE);
  }

  private void time(String kind) {
    Map<String, Long> timers = new TreeMap<>();
    releases.putTimers(timers);
    String timer =
        timers.keySet().stream()
            .filter(t -> t.startsWith(kind))
            .findFirst()
            .orElseThrow(() -> new AssertionError(kind + " of " + timers));
    releases.onTimerExpired(timer);
    releases.onFleetChange(disruption);
  }

  @Test
  void stepByStepToTheEnd() {
    begin();
    assertThat(apply("intend", "target", "b").status())
        .as("the first step first")
        .isEqualTo(Status.REFUSED);
    change("a", "v2");
    assertThat(apply("verdict", "step", 0, "go", true).status())
        .as("not before it has baked")
        .isEqualTo(Status.REFUSED);
    judged(0);
    change("b", "v2");
    change("c", "v2");
    judged(1);
    assertThat(state()).isEqualTo("done");
  }

  @Test
  void noMoreAtOnceThanTheStepSaysNorThanBudgetsAllow() {
    begin();
    change("a", "v2");
    judged(0);
    assertThat(disruption.drain(TargetType.PROXY, "d", 0, false, "op", "x").status())
        .isEqualTo(Status.GRANTED);
    out("b");
    assertThat(apply("intend", "target", "c"))
        .satisfies(
            outcome -> {
              assertThat(outcome.status()).isEqualTo(Status.REFUSED);
              assertThat(outcome.reasons().toString()).contains("budget proxies", "d (permit");
            });
  }

  @Test
  void aDriverWhoseLeaseIsOverIsRejectedByItsFence() {
    begin();
    long old = fence;
    long action = out("a");
    assertThat(apply("drive", "driver", "y", "lease_ms", 1_000).status())
        .as("while x holds its lease")
        .isEqualTo(Status.REFUSED);
    time("release-driver");
    drive("y");
    assertThat(fence).isGreaterThan(old);
    for (String operation : List.of("intend", "acting", "observed")) {
      assertThat(
              apply(operation, "fence", old, "target", "a", "action", action, "found", "v1")
                  .status())
          .as(operation)
          .isEqualTo(Status.CONFLICT);
    }
    assertThat(apply("acting", "target", "a", "action", action).status()).isEqualTo(Status.DONE);
  }

  @Test
  void itHaltsWhereTooManyAreLostAndResumesByAnOperatorsOverride() {
    begin();
    disruption.onSessionEnded("c", false);
    releases.onFleetChange(disruption);
    assertThat(state()).isEqualTo("running");
    disruption.onSessionEnded("d", false);
    releases.onFleetChange(disruption);
    assertThat(status().path("state_why").asText()).isEqualTo("lost meanwhile: c, d");
    assertThat(apply("intend", "target", "a").status()).isEqualTo(Status.HALTED);
    apply("resume");
    assertThat(state()).as("they are lost still").isEqualTo("halted");
    apply("override", "what", "lost");
    apply("resume");
    assertThat(state()).isEqualTo("running");
  }

  @Test
  void aLostTargetWithTheNewVersionHaltsIt() {
    begin();
    change("a", "v2");
    disruption.onSessionEnded("a", false);
    releases.onFleetChange(disruption);
    assertThat(status().path("state_why").asText()).isEqualTo("a is new, and lost");
  }

  @Test
  void anActionAndTheWholeReleaseHaveTimeLimits() {
    begin();
    out("a");
    time("release-action");
    assertThat(status().path("state_why").asText()).contains("a is not back in service");
    apply("resume");
    time("release-longest");
    assertThat(status().path("state_why").asText()).contains("its time of");
  }

  @Test
  void theFleetsHaltHaltsItAndItDoesNotGoOnByItself() {
    begin();
    disruption.halt("incident");
    releases.onFleetChange(disruption);
    disruption.resume();
    releases.onFleetChange(disruption);
    assertThat(state()).isEqualTo("halted");
  }

  @Test
  void aRollbackTakesTheNewestFirstAndMayStopAtAStep() {
    begin();
    change("a", "v2");
    judged(0);
    change("b", "v2");
    change("c", "v2");
    judged(1);
    apply("back", "to_step", 1);
    ReleaseController controller = new ReleaseController("x", 1_000);
    assertThat(controller.nextActions(ReleaseViewCodec.read(status()), Optional.empty(), true, 0))
        .containsExactly(
            new DriverAction.SubmitCommand(new ReleaseCommand.IntendChange("r", fence, "c")));
    change("c", "v1");
    change("b", "v1");
    assertThat(status().path("state_why").asText()).isEqualTo("back to step 1, as asked");
    assertThat(target("a").path("at").asText()).isEqualTo("new");
    apply("back");
    change("a", "v1");
    assertThat(state()).isEqualTo("returned");
  }

  @Test
  void aTargetThatComesBackWithAnotherVersionIsQueuedOrHeldOut() {
    for (String rule : List.of("queue", "hold")) {
      plan.put("name", "r").put("on_wrong", rule);
      if (rule.equals("hold")) {
        apply("end");
        plan.put("name", "r2");
      }
      Outcome outcome =
          apply("release_start", MAPPER.createObjectNode().<ObjectNode>set("plan", plan));
      assertThat(outcome.status()).as(outcome.toString()).isEqualTo(Status.DONE);
      if (rule.equals("queue")) {
        drive("x");
        change("a", "v2");
      }
      disruption.onSessionEnded("a", true);
      join("a", rule.equals("queue") ? "v1" : "v7");
      ObjectNode now = MAPPER.createObjectNode();
      releases.writeStatus(plan.path("name").asText(), now, disruption);
      JsonNode target = now.path("targets").path(0);
      if (rule.equals("queue")) {
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
  void aCompletedReleaseTakesUpATargetThatComesBackWithThePreviousVersion() {
    begin();
    change("a", "v2");
    judged(0);
    change("b", "v2");
    change("c", "v2");
    judged(1);
    disruption.onSessionEnded("b", true);
    join("b", "v1");
    assertThat(status().path("state_why").asText()).isEqualTo("b came back with v1");
    assertThat(state()).isEqualTo("running");
  }

  @Test
  void aReleaseWithATargetOutIsNotEndedNorItsGrantGivenBackByOthers() {
    begin();
    out("a");
    assertThat(apply("end").status()).isEqualTo(Status.REFUSED);
    assertThat(releases.findReleaseHolding(target("a").path("permit").asText())).isEqualTo("r");
  }

  @Test
  void anAgentsReportCountsForTheAttemptThatItWasGivenOnly() {
    begin();
    long action = out("a");
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
  void allFaultsOfAPlanAreToldAtOnce() {
    plan.put("version", "v1").put("on_wrong", "maybe").put("action_ms", 5);
    step("first", 0, "a");
    List<String> faults = new ArrayList<>();
    assertThat(ReleasePlanCodec.read(plan, faults)).isNull();
    assertThat(String.join("\n", faults))
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
  void targetsThatAreNotKnownAndNamesThatWereUsedAreRefused() {
    begin();
    plan.withArray("steps").addObject().put("name", "more").putArray("targets").add("nobody");
    assertThat(apply("start", "plan", plan).reasons().toString())
        .contains("no proxy 'nobody'", "was used before", "has some of these targets");
  }
}
