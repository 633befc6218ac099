package leadferry.daemon;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.stream.Collectors;
import leadferry.RecordedText;
import leadferry.consensus.Json;
import org.assertj.core.api.ThrowableAssert.ThrowingCallable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Reads files with every key, and files with every kind of error, and compares the result with the
 * recorded one of an earlier build. Guards against a renamed key, changed default or changed error
 * text.
 */
class RecordedOperatorFileTest {
  /** Terms of recorded messages and the terms that replaced them, as listed in docs/ON-CALL.md. */
  private static final Map<String, String> CURRENT_TERMS =
      Map.of(
          "keepers by name, as in", "replicas by name, as in",
          "this keeper's name", "this replica's name",
          "a sound keeper's file", "a sound replica's file",
          "a [peer.NAME] for each keeper,", "a [peer.NAME] for each replica,",
          "peer: 2 keepers", "peer: 2 replicas");

  private static final String FOLDER = "operator-file/";

  @ParameterizedTest
  @ValueSource(strings = {"every-key", "defaults"})
  void theFileOfTheDaemonHasTheRecordedValues(String name) throws Exception {
    DaemonConfig config = OperatorFile.read(RecordedText.path(FOLDER + name + ".toml"));
    RecordedText.assertSame(FOLDER + name + ".values.txt", ValueDump.of(config));
  }

  @ParameterizedTest
  @ValueSource(strings = {"keeper", "keeper-defaults"})
  void theFileOfAReplicaHasTheRecordedValues(String name) throws Exception {
    RecordedText.assertSame(
        FOLDER + name + ".values.txt",
        ValueDump.of(ReplicaFile.read(RecordedText.path(FOLDER + name + ".toml"))));
  }

  @Test
  void budgetsAndReleasesAreWrittenAsRecorded() throws Exception {
    StringBuilder forms = new StringBuilder();
    forms.append(ReplicaFile.readBudgets(RecordedText.path(FOLDER + "budgets.toml"))).append('\n');
    for (String name : new String[] {"release", "release-defaults"}) {
      ObjectNode plan = ReleaseFile.read(RecordedText.path(FOLDER + name + ".toml"), fleet());
      forms.append(Json.text(plan)).append('\n');
    }
    RecordedText.assertSame(FOLDER + "budgets-and-releases.jsonl", forms.toString());
  }

  @Test
  void everyEnumValueIsReadAsRecorded() throws Exception {
    String[][] words = {
      {"transport = \"io-uring\"", "auto", "nio", "epoll", "io-uring"},
      {"log = \"json\"", "text", "json"},
      {"paths = \"resolve\"", "strict", "resolve"},
      {"forwarded = \"replace\"", "append", "replace", "off"},
      {"on_unreachable = \"last\"", "last", "wait"},
    };
    String text = RecordedText.read(FOLDER + "every-key.toml");
    StringBuilder read = new StringBuilder();
    for (String[] row : words) {
      for (int i = 1; i < row.length; i++) {
        String key = row[0].substring(0, row[0].indexOf(' '));
        String variant = text.replace(row[0], key + " = \"" + row[i] + "\"");
        DaemonConfig config = OperatorFile.parse("file", variant);
        read.append(key).append(' ').append(row[i]).append('\n');
        read.append(ValueDump.of(config.process())).append(ValueDump.of(config.listeners()));
        read.append(ValueDump.of(config.fleet().onUnreachable()));
      }
    }
    RecordedText.assertSame(FOLDER + "words.txt", read.toString());
  }

  @Test
  void everyErrorIsReportedAsRecorded() throws Exception {
    StringBuilder errors = new StringBuilder();
    errors.append(errorsOf(() -> OperatorFile.read(RecordedText.path(FOLDER + "faulty.toml"))));
    errors.append(errorsOf(() -> OperatorFile.parse("file", "")));
    errors.append(errorsOf(() -> OperatorFile.parse("file", "[a]\nb = \n")));
    errors.append(
        errorsOf(() -> OperatorFile.parse("file", "daemon = 1\npool = [1]\nroute = 2\n")));
    errors.append(
        errorsOf(() -> ReplicaFile.read(RecordedText.path(FOLDER + "keeper-faulty.toml"))));
    errors.append(
        errorsOf(() -> ReplicaFile.readBudgets(RecordedText.path(FOLDER + "budgets-faulty.toml"))));
    for (String name : new String[] {"release-faulty", "release-contradictory"}) {
      errors.append(
          errorsOf(() -> ReleaseFile.read(RecordedText.path(FOLDER + name + ".toml"), fleet())));
    }
    assertThat(errors.toString())
        .isEqualTo(withCurrentTerms(RecordedText.read(FOLDER + "errors.txt")));
  }

  /**
   * Returns the recorded text with the current terms in messages; keys and values stay as recorded.
   */
  private static String withCurrentTerms(String recorded) {
    String text = recorded;
    for (Map.Entry<String, String> term : CURRENT_TERMS.entrySet()) {
      assertThat(text).contains(term.getKey());
      text = text.replace(term.getKey(), term.getValue());
    }
    return text;
  }

  private static String errorsOf(ThrowingCallable reading) {
    ConfigurationException thrown = catchThrowableOfType(ConfigurationException.class, reading);
    assertThat(thrown).isNotNull();
    return thrown.errors().stream()
        .map(error -> error.toString().replace('\n', ' ') + "\n")
        .collect(Collectors.joining());
  }

  private static ObjectNode fleet() {
    ObjectNode status = Json.object();
    ArrayNode hosts = status.putArray("hosts");
    for (int i = 1; i <= 6; i++) {
      hosts
          .addObject()
          .put("name", "h" + i)
          .put("zone", i <= 3 ? "a" : "b")
          .put("pool", i == 6 ? "other" : "roster")
          .put("kind", "-")
          .put("pod", "-");
    }
    ArrayNode proxies = status.putArray("proxies");
    proxies.addObject().put("name", "p1").put("zone", "a");
    proxies.addObject().put("name", "p2").put("zone", "b");
    return status;
  }
}
