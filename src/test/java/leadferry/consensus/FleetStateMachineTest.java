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

class FleetStateMachineTest {
  private final FleetStateMachine ledger =
      new FleetStateMachine(new DisruptionState.Times(500, 500, 100));
  private long number;

  private JsonNode apply(ObjectNode e) {
    return ledger.apply(Json.bytes(e));
  }

  private static ObjectNode op(String op) {
    return Json.object().put("op", op);
  }

  private long join(String name, String zone) {
    ObjectNode e =
        op("join")
            .put("name", name)
            .put("incarnation", name + "1")
            .put("lease_ms", 1_000)
            .put("zone", zone)
            .put("digest", "d");
    ArrayNode hosts = e.putArray("hosts");
    for (int i = 1; i <= 6; i++) {
      DisruptionState.write(
          new Target(
              TargetType.HOST, "h" + i, "z" + i % 2, "pod" + i % 3, i <= 4 ? "main" : "next", "-"),
          hosts.addObject());
    }
    return apply(e).path("session").asLong();
  }

  private JsonNode tell(String name, long session, boolean serving, String busy, String suspects) {
    ObjectNode e =
        op("tell")
            .put("name", name)
            .put("session", session)
            .put("number", ++number)
            .put("seen", ledger.version())
            .put("serving", serving);
    e.putArray("busy").add(busy);
    e.putArray("suspects").add(suspects);
    return apply(e);
  }

  private JsonNode drain(String kind, String name) {
    return apply(op("drain").put("kind", kind).put("name", name));
  }

  private void budget(String name, String of, String by, int most, double share) {
    ObjectNode e =
        op("budgets").put("against", ledger.status(false).path("budgets_version").asLong());
    e.putArray("budgets")
        .addObject()
        .put("name", name)
        .put("of", of)
        .put("by", by)
        .put("max_out", most)
        .put("max_share", share);
    assertThat(apply(e).path("status").asText()).isEqualTo("done");
  }

  private static String word(JsonNode o) {
    return o.path("status").asText();
  }

  private void timeout(String prefix) {
    for (String t : List.copyOf(ledger.timers().keySet())) {
      if (t.startsWith(prefix)) {
        apply(LogEntryCodec.encodeExpiry(t));
      }
    }
  }

  @Test
  void aCallAskedAgainGetsItsOneOutcomeAndAnIdUsedForSomethingElseIsToldSo() {
    tell("a", join("a", "z"), true, "", "");
    ObjectNode first =
        op("drain").put("kind", "host").put("name", "h1").put("call", "1").put("at", 5);
    assertThat(word(apply(first))).isEqualTo("granted");
    JsonNode again = apply(first.deepCopy().put("at", 9));
    assertThat(word(again)).isEqualTo("granted");
    assertThat(again.path("again").asBoolean()).isTrue();
    assertThat(word(apply(first.deepCopy().put("name", "h2")))).isEqualTo("conflict");
    assertThat(ledger.status(false).path("permits")).hasSize(1);
  }

  @Test
  void budgetsCountByLabelAndTheStricterWins() {
    long a = join("a", "z");
    tell("a", a, true, "", "");
    budget("zones", "host", "zone", 1, 2);
    assertThat(word(drain("host", "h1"))).isEqualTo("granted");
    assertThat(word(drain("host", "h3"))).as("the same zone").isEqualTo("refused");
    assertThat(word(drain("host", "h2"))).as("the other zone").isEqualTo("granted");
    budget("share", "host", "all", -1, 0.34);
    assertThat(drain("host", "h6").path("why").toString())
        .contains("share: 2 out, 2 allowed")
        .contains("h1 (permit 1)");
  }

  @Test
  void theLastHostOfAPoolAndTheLastProxyStay() {
    tell("a", join("a", "z"), true, "", "");
    budget("any", "host", "all", 100, 2);
    assertThat(word(drain("host", "h5"))).isEqualTo("granted");
    assertThat(drain("host", "h6").path("why").toString()).contains("the last host of pool next");
    assertThat(drain("proxy", "a").path("why").toString()).contains("the last proxy");
  }

  @Test
  void aHostThatTwoProxiesEjectedUsesTheBudgetUpUntilItHasWarmedUp() {
    long a = join("a", "z");
    long b = join("b", "z");
    tell("a", a, true, "", "h2");
    tell("b", b, true, "", "");
    assertThat(word(drain("host", "h1"))).as("one alone does not count").isEqualTo("granted");
    apply(op("undo").put("permit", "1"));
    tell("a", a, true, "", "h2");
    tell("b", b, true, "", "h2");
    timeout("warm:h1");
    assertThat(drain("host", "h1").path("why").toString()).contains("h2 (ejected by 2)");
    tell("a", a, true, "", "");
    assertThat(drain("host", "h1").path("why").toString()).contains("h2 (warming up)");
    timeout("warm:");
    assertThat(word(drain("host", "h1"))).isEqualTo("granted");
  }

  @Test
  void aHostIsOutOnlyWhenAllKnowAndHaveNothingInFlightThere() {
    long a = join("a", "z");
    long b = join("b", "z");
    tell("a", a, true, "", "");
    tell("b", b, true, "", "");
    drain("host", "h1");
    assertThat(ledger.permit("1").path("awaited")).hasSize(2);
    tell("a", a, true, "h1", "");
    tell("b", b, true, "", "");
    assertThat(ledger.permit("1").path("awaited").toString())
        .contains("in flight")
        .doesNotContain("\"b\"");
    tell("a", a, true, "", "");
    assertThat(ledger.permit("1").path("carried_out").asBoolean()).isTrue();
    apply(op("expire").put("name", "b").put("session", b));
    assertThat(ledger.permit("1").path("awaited").path("b").asText()).contains("may go on sending");
    assertThat(word(apply(op("fence").put("name", "b")))).isEqualTo("done");
    assertThat(ledger.permit("1").path("carried_out").asBoolean()).isTrue();
  }

  @Test
  void aPermitRunsOutOnlyAfterItsFenceAndCountsUntilItsHolderServes() {
    long a = join("a", "z");
    long b = join("b", "z");
    tell("a", a, true, "", "");
    tell("b", b, true, "", "");
    apply(op("drain").put("kind", "proxy").put("name", "a").put("for_ms", 1_000));
    assertThat(ledger.timers()).containsEntry("permit:1", 1_100L);
    tell("a", a, false, "", "");
    timeout("permit:");
    assertThat(word(drain("proxy", "b"))).isEqualTo("refused");
    tell("a", a, true, "", "");
    assertThat(drain("proxy", "b").path("why").toString()).contains("settling");
    timeout("settle:");
    assertThat(word(drain("proxy", "b"))).isEqualTo("granted");
  }

  @Test
  void anOldWordThatComesLateChangesNothing() {
    long a = join("a", "z");
    tell("a", a, true, "", "");
    apply(
        op("tell")
            .put("name", "a")
            .put("session", a)
            .put("number", number - 1)
            .put("seen", 0)
            .put("serving", false));
    assertThat(ledger.status(false).path("proxies").path(0).path("serving").asBoolean()).isTrue();
    assertThat(word(apply(op("tell").put("name", "a").put("session", a + 1).put("number", 99))))
        .isEqualTo("unknown");
  }

  @Test
  void aNameInUseIsNotGivenToASecondProcess() {
    join("a", "z");
    ObjectNode e = op("join").put("name", "a").put("incarnation", "other").put("lease_ms", 1_000);
    assertThat(word(apply(e))).isEqualTo("conflict");
    assertThat(word(apply(op("forget").put("name", "a")))).isEqualTo("refused");
  }

  @Test
  void faultyBudgetsAndEntriesChangeNothing() {
    ObjectNode e = op("budgets").put("against", 0);
    e.putArray("budgets").addObject().put("name", "x").put("of", "cat").put("by", "moon");
    assertThat(apply(e).path("why")).hasSize(3);
    assertThat(word(apply(op("budgets").put("against", 7)))).isEqualTo("conflict");
    assertThat(word(apply(op("dance")))).isEqualTo("malformed");
    assertThat(word(ledger.apply(new byte[] {1, 2, 3}))).isEqualTo("malformed");
    assertThat(ledger.status(false).path("budgets")).isEmpty();
  }

  @Test
  void aLaterSchemaIsNeverGuessedAt() {
    assertThatThrownBy(() -> apply(op("halt").put("schema", 2)))
        .isInstanceOf(LaterSchemaException.class);
    ObjectNode later = Json.read(ledger.snapshot()).put("schema", 2);
    assertThatThrownBy(() -> ledger.restore(Json.bytes(later))).hasMessageContaining("later build");
  }

  /**
   * Any entries in any order: whoever restored a snapshot half way comes to the same, byte for
   * byte.
   */
  @Test
  void aSnapshotRestoredAnywhereLeadsToTheSameState() {
    for (int seed = 0; seed < 40; seed++) {
      Random r = new Random(seed);
      FleetStateMachine one = new FleetStateMachine(new DisruptionState.Times(500, 500, 100));
      List<byte[]> entries = new ArrayList<>();
      for (int i = 0; i < 120; i++) {
        entries.add(random(r, one));
        one.apply(entries.get(i));
      }
      int cut = r.nextInt(entries.size());
      FleetStateMachine two = new FleetStateMachine(new DisruptionState.Times(1, 1, 1));
      FleetStateMachine before = new FleetStateMachine(new DisruptionState.Times(500, 500, 100));
      entries.subList(0, cut).forEach(before::apply);
      two.restore(before.snapshot());
      entries.subList(cut, entries.size()).forEach(two::apply);
      assertThat(new String(two.snapshot(), StandardCharsets.UTF_8))
          .as("seed %d", seed)
          .isEqualTo(new String(one.snapshot(), StandardCharsets.UTF_8));
    }
  }

  private static byte[] random(Random r, FleetStateMachine now) {
    String name = "" + (char) ('a' + r.nextInt(3));
    List<String> timers = List.copyOf(now.timers().keySet());
    ObjectNode e =
        switch (r.nextInt(7)) {
          case 0 ->
              op("join")
                  .put("name", name)
                  .put("incarnation", name + r.nextInt(2))
                  .put("lease_ms", 1_000)
                  .put("digest", "d" + r.nextInt(2));
          case 1, 2 ->
              op("tell")
                  .put("name", name)
                  .put("session", 1 + r.nextInt(30))
                  .put("number", r.nextInt(100))
                  .put("seen", r.nextInt(20))
                  .put("serving", r.nextBoolean());
          case 3 ->
              op("drain")
                  .put("kind", "proxy")
                  .put("name", name)
                  .put("for_ms", r.nextInt(2))
                  .put("call", "c" + r.nextInt(50));
          case 4 -> op("undo").put("permit", "" + r.nextInt(5));
          case 5 ->
              timers.isEmpty()
                  ? op("resume")
                  : LogEntryCodec.encodeExpiry(timers.get(r.nextInt(timers.size())));
          default -> op(r.nextInt(4) == 0 ? "halt" : "resume");
        };
    return Json.bytes(e);
  }
}
