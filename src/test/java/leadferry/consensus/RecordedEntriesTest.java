package leadferry.consensus;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.TreeMap;
import java.util.zip.GZIPInputStream;
import leadferry.disruption.DisruptionState;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Entries that an earlier build applied, and what it made of them: the same outcomes, views and
 * snapshots, byte for byte. Replicas of two builds must never differ about one log.
 */
class RecordedEntriesTest {
  private FleetStateMachine stateMachine;

  @ParameterizedTest
  @CsvSource({"every-operation,12", "drains,4", "releases,60"})
  void recordedEntriesLeadToTheRecordedState(String recording, int expectedRuns)
      throws IOException {
    int runs = 0;
    int lineNumber = 0;
    try (BufferedReader lines = open(recording)) {
      String line;
      while ((line = lines.readLine()) != null) {
        lineNumber++;
        JsonNode step = Json.parse(line.getBytes(StandardCharsets.UTF_8));
        replay(step, recording + " line " + lineNumber);
        runs += step.has("end") ? 1 : 0;
      }
    }
    assertThat(runs).isEqualTo(expectedRuns);
  }

  private static BufferedReader open(String recording) throws IOException {
    return new BufferedReader(
        new InputStreamReader(
            new GZIPInputStream(
                RecordedEntriesTest.class.getResourceAsStream(
                    "/fixtures/replica/" + recording + ".jsonl.gz")),
            StandardCharsets.UTF_8));
  }

  private void replay(JsonNode step, String where) {
    if (step.has("times")) {
      JsonNode times = step.path("times");
      stateMachine =
          new FleetStateMachine(
              new DisruptionState.Times(
                  times.path(0).asLong(), times.path(1).asLong(), times.path(2).asLong()));
    } else if (step.has("restore")) {
      stateMachine.restore(decoded(step.path("restore")));
    } else if (step.has("throws")) {
      assertThatThrownBy(() -> stateMachine.apply(decoded(step.path("entry"))))
          .as(where)
          .isInstanceOf(NewerSchemaException.class);
    } else if (step.has("entry")) {
      assertThat(Json.text(stateMachine.apply(decoded(step.path("entry")))))
          .as(where)
          .isEqualTo(Json.text(step.path("outcome")));
    } else {
      assertSameState(step.path("end"), where);
    }
  }

  private static byte[] decoded(JsonNode base64) {
    return Base64.getDecoder().decode(base64.asText());
  }

  private void assertSameState(JsonNode expected, String where) {
    assertSame(stateMachine.view(), expected, "view", where);
    assertSame(stateMachine.status(true), expected, "status", where);
    assertSame(stateMachine.releaseStatus(""), expected, "releases", where);
    assertSame(stateMachine.releaseStatus("r"), expected, "release", where);
    assertSame(stateMachine.explainDrain("proxy", "a"), expected, "explain_proxy", where);
    assertSame(stateMachine.explainDrain("host", "h1"), expected, "explain_host", where);
    assertSame(stateMachine.grantStatus("1"), expected, "permit", where);
    ObjectNode timers = Json.object();
    new TreeMap<>(stateMachine.timers()).forEach(timers::put);
    assertSame(timers, expected, "timers", where);
    assertThat(new String(stateMachine.snapshot(), StandardCharsets.UTF_8))
        .as(where + ": snapshot")
        .isEqualTo(expected.path("snapshot").asText());
  }

  private static void assertSame(ObjectNode actual, JsonNode expected, String what, String where) {
    assertThat(Json.text(actual)).as(where + ": " + what).isEqualTo(Json.text(expected.path(what)));
  }
}
