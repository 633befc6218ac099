package leadferry.consensus;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import leadferry.disruption.DisruptionState;
import leadferry.disruption.Target;
import leadferry.disruption.TargetType;
import org.junit.jupiter.api.Test;

/**
 * Guards against grants beyond the budgets, reports of ended sessions that take effect, and state
 * that depends on anything but the entries of the log.
 */
class FleetStateMachineTest {
  private final FleetStateMachine stateMachine =
      new FleetStateMachine(new DisruptionState.Times(500, 500, 100));
  private long reportNumber;

  private JsonNode apply(ObjectNode entry) {
    return stateMachine.apply(Json.bytes(entry));
  }

  private static ObjectNode operation(String name) {
    return Json.object().put("op", name);
  }

  private long join(String name, String zone) {
    ObjectNode entry =
        operation("join")
            .put("name", name)
            .put("incarnation", name + "1")
            .put("lease_ms", 1_000)
            .put("zone", zone)
            .put("digest", "d");
    ArrayNode endpoints = entry.putArray("hosts");
    for (int i = 1; i <= 6; i++) {
      DisruptionState.writeTarget(
          new Target(
              TargetType.ENDPOINT,
              "h" + i,
              "z" + i % 2,
              "pod" + i % 3,
              i <= 4 ? "main" : "next",
              "-"),
          endpoints.addObject());
    }
    return apply(entry).path("session").asLong();
  }

  private JsonNode report(
      String name, long session, boolean serving, String busy, String suspects) {
    ObjectNode entry =
        operation("tell")
            .put("name", name)
            .put("session", session)
            .put("number", ++reportNumber)
            .put("seen", stateMachine.version())
            .put("serving", serving);
    entry.putArray("busy").add(busy);
    entry.putArray("suspects").add(suspects);
    return apply(entry);
  }

  private JsonNode drain(String kind, String name) {
    return apply(operation("drain").put("kind", kind).put("name", name));
  }

  private void replaceBudgets(String name, String type, String label, int maxOut, double maxShare) {
    ObjectNode entry =
        operation("budgets")
            .put("against", stateMachine.status(false).path("budgets_version").asLong());
    entry
        .putArray("budgets")
        .addObject()
        .put("name", name)
        .put("of", type)
        .put("by", label)
        .put("max_out", maxOut)
        .put("max_share", maxShare);
    assertThat(apply(entry).path("status").asText()).isEqualTo("done");
  }

  private static String statusOf(JsonNode outcome) {
    return outcome.path("status").asText();
  }

  private void expireTimers(String prefix) {
    for (String timer : List.copyOf(stateMachine.timers().keySet())) {
      if (timer.startsWith(prefix)) {
        apply(LogEntryCodec.encodeExpiry(timer));
      }
    }
  }

  @Test
  void repeatedCallGetsItsFirstOutcomeAndReusedIdIsAConflict() {
    report("a", join("a", "z"), true, "", "");
    ObjectNode first =
        operation("drain").put("kind", "host").put("name", "h1").put("call", "1").put("at", 5);
    assertThat(statusOf(apply(first))).isEqualTo("granted");
    JsonNode again = apply(first.deepCopy().put("at", 9));
    assertThat(statusOf(again)).isEqualTo("granted");
    assertThat(again.path("again").asBoolean()).isTrue();
    assertThat(statusOf(apply(first.deepCopy().put("name", "h2")))).isEqualTo("conflict");
    assertThat(stateMachine.status(false).path("permits")).hasSize(1);
  }

  @Test
  void budgetsCountByLabelAndTheStricterApplies() {
    long sessionOfA = join("a", "z");
    report("a", sessionOfA, true, "", "");
    replaceBudgets("zones", "host", "zone", 1, 2);
    assertThat(statusOf(drain("host", "h1"))).isEqualTo("granted");
    assertThat(statusOf(drain("host", "h3"))).as("the same zone").isEqualTo("refused");
    assertThat(statusOf(drain("host", "h2"))).as("the other zone").isEqualTo("granted");
    replaceBudgets("share", "host", "all", -1, 0.34);
    assertThat(drain("host", "h6").path("why").toString())
        .contains("share: 2 out, 2 allowed")
        .contains("h1 (permit 1)");
  }

  @Test
  void lastEndpointOfAPoolAndLastProxyAreNotDrained() {
    report("a", join("a", "z"), true, "", "");
    replaceBudgets("any", "host", "all", 100, 2);
    assertThat(statusOf(drain("host", "h5"))).isEqualTo("granted");
    assertThat(drain("host", "h6").path("why").toString()).contains("the last host of pool next");
    assertThat(drain("proxy", "a").path("why").toString()).contains("the last proxy");
  }

  @Test
  void endpointEjectedByTwoProxiesUsesTheBudgetUntilItHasWarmedUp() {
    long sessionOfA = join("a", "z");
    long sessionOfB = join("b", "z");
    report("a", sessionOfA, true, "", "h2");
    report("b", sessionOfB, true, "", "");
    assertThat(statusOf(drain("host", "h1"))).as("ejected by one proxy only").isEqualTo("granted");
    apply(operation("undo").put("permit", "1"));
    report("a", sessionOfA, true, "", "h2");
    report("b", sessionOfB, true, "", "h2");
    expireTimers("warm:h1");
    assertThat(drain("host", "h1").path("why").toString()).contains("h2 (ejected by 2)");
    report("a", sessionOfA, true, "", "");
    assertThat(drain("host", "h1").path("why").toString()).contains("h2 (warming up)");
    expireTimers("warm:");
    assertThat(statusOf(drain("host", "h1"))).isEqualTo("granted");
  }

  @Test
  void endpointIsDrainedOnlyOnceAllProxiesKnowAndHaveNoRequestInFlight() {
    long sessionOfA = join("a", "z");
    long sessionOfB = join("b", "z");
    report("a", sessionOfA, true, "", "");
    report("b", sessionOfB, true, "", "");
    drain("host", "h1");
    assertThat(stateMachine.grantStatus("1").path("awaited")).hasSize(2);
    report("a", sessionOfA, true, "h1", "");
    report("b", sessionOfB, true, "", "");
    assertThat(stateMachine.grantStatus("1").path("awaited").toString())
        .contains("in flight")
        .doesNotContain("\"b\"");
    report("a", sessionOfA, true, "", "");
    assertThat(stateMachine.grantStatus("1").path("carried_out").asBoolean()).isTrue();
    apply(operation("expire").put("name", "b").put("session", sessionOfB));
    assertThat(stateMachine.grantStatus("1").path("awaited").path("b").asText())
        .contains("may go on sending");
    assertThat(statusOf(apply(operation("fence").put("name", "b")))).isEqualTo("done");
    assertThat(stateMachine.grantStatus("1").path("carried_out").asBoolean()).isTrue();
  }

  @Test
  void grantExpiresOnlyAfterItsFenceAndCountsUntilItsHolderServes() {
    long sessionOfA = join("a", "z");
    long sessionOfB = join("b", "z");
    report("a", sessionOfA, true, "", "");
    report("b", sessionOfB, true, "", "");
    apply(operation("drain").put("kind", "proxy").put("name", "a").put("for_ms", 1_000));
    assertThat(stateMachine.timers()).containsEntry("permit:1", 1_100L);
    report("a", sessionOfA, false, "", "");
    expireTimers("permit:");
    assertThat(statusOf(drain("proxy", "b"))).isEqualTo("refused");
    report("a", sessionOfA, true, "", "");
    assertThat(drain("proxy", "b").path("why").toString()).contains("settling");
    expireTimers("settle:");
    assertThat(statusOf(drain("proxy", "b"))).isEqualTo("granted");
  }

  @Test
  void lateReportChangesNothing() {
    long sessionOfA = join("a", "z");
    report("a", sessionOfA, true, "", "");
    apply(
        operation("tell")
            .put("name", "a")
            .put("session", sessionOfA)
            .put("number", reportNumber - 1)
            .put("seen", 0)
            .put("serving", false));
    assertThat(stateMachine.status(false).path("proxies").path(0).path("serving").asBoolean())
        .isTrue();
    assertThat(
            statusOf(
                apply(
                    operation("tell")
                        .put("name", "a")
                        .put("session", sessionOfA + 1)
                        .put("number", 99))))
        .isEqualTo("unknown");
  }

  @Test
  void nameInUseIsRefusedToASecondProcess() {
    join("a", "z");
    ObjectNode entry =
        operation("join").put("name", "a").put("incarnation", "other").put("lease_ms", 1_000);
    assertThat(statusOf(apply(entry))).isEqualTo("conflict");
    assertThat(statusOf(apply(operation("forget").put("name", "a")))).isEqualTo("refused");
  }

  @Test
  void malformedBudgetsAndEntriesChangeNothing() {
    ObjectNode entry = operation("budgets").put("against", 0);
    entry.putArray("budgets").addObject().put("name", "x").put("of", "cat").put("by", "moon");
    assertThat(apply(entry).path("why")).hasSize(3);
    assertThat(statusOf(apply(operation("budgets").put("against", 7)))).isEqualTo("conflict");
    assertThat(statusOf(apply(operation("dance")))).isEqualTo("malformed");
    assertThat(statusOf(stateMachine.apply(new byte[] {1, 2, 3}))).isEqualTo("malformed");
    assertThat(stateMachine.status(false).path("budgets")).isEmpty();
  }

  @Test
  void newerSchemaIsRejected() {
    assertThatThrownBy(() -> apply(operation("halt").put("schema", 2)))
        .isInstanceOf(NewerSchemaException.class);
    ObjectNode later = Json.parse(stateMachine.snapshot()).put("schema", 2);
    assertThatThrownBy(() -> stateMachine.restore(Json.bytes(later)))
        .hasMessageContaining("newer version");
  }

  /**
   * Guards against a snapshot that omits part of the state. Applies random entries and restores a
   * snapshot taken at a random position; the final state must match byte for byte.
   */
  @Test
  void snapshotRestoredAtAnyEntryLeadsToTheSameState() {
    for (int seed = 0; seed < 40; seed++) {
      Random random = new Random(seed);
      FleetStateMachine whole = new FleetStateMachine(new DisruptionState.Times(500, 500, 100));
      List<byte[]> entries = new ArrayList<>();
      for (int i = 0; i < 120; i++) {
        entries.add(randomEntry(random, whole));
        whole.apply(entries.get(i));
      }
      int cut = random.nextInt(entries.size());
      FleetStateMachine restored = new FleetStateMachine(new DisruptionState.Times(1, 1, 1));
      FleetStateMachine before = new FleetStateMachine(new DisruptionState.Times(500, 500, 100));
      entries.subList(0, cut).forEach(before::apply);
      restored.restore(before.snapshot());
      entries.subList(cut, entries.size()).forEach(restored::apply);
      assertThat(new String(restored.snapshot(), StandardCharsets.UTF_8))
          .as("seed %d", seed)
          .isEqualTo(new String(whole.snapshot(), StandardCharsets.UTF_8));
    }
  }

  private static byte[] randomEntry(Random random, FleetStateMachine current) {
    String name = "" + (char) ('a' + random.nextInt(3));
    List<String> timers = List.copyOf(current.timers().keySet());
    ObjectNode entry =
        switch (random.nextInt(7)) {
          case 0 ->
              operation("join")
                  .put("name", name)
                  .put("incarnation", name + random.nextInt(2))
                  .put("lease_ms", 1_000)
                  .put("digest", "d" + random.nextInt(2));
          case 1, 2 ->
              operation("tell")
                  .put("name", name)
                  .put("session", 1 + random.nextInt(30))
                  .put("number", random.nextInt(100))
                  .put("seen", random.nextInt(20))
                  .put("serving", random.nextBoolean());
          case 3 ->
              operation("drain")
                  .put("kind", "proxy")
                  .put("name", name)
                  .put("for_ms", random.nextInt(2))
                  .put("call", "c" + random.nextInt(50));
          case 4 -> operation("undo").put("permit", "" + random.nextInt(5));
          case 5 ->
              timers.isEmpty()
                  ? operation("resume")
                  : LogEntryCodec.encodeExpiry(timers.get(random.nextInt(timers.size())));
          default -> operation(random.nextInt(4) == 0 ? "halt" : "resume");
        };
    return Json.bytes(entry);
  }
}
