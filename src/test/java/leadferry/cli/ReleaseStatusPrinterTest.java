package leadferry.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import leadferry.consensus.Json;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

/**
 * Checks the text that {@link ReleaseStatusPrinter} prints for operators. Guards against a status
 * that omits a target in progress, the driver or the reason of an error, and against a removed
 * alias of a command.
 */
class ReleaseStatusPrinterTest {
  private static String printed(ObjectNode response) {
    PrintStream standardOutput = System.out;
    ByteArrayOutputStream captured = new ByteArrayOutputStream();
    System.setOut(new PrintStream(captured, true, StandardCharsets.UTF_8));
    try {
      ReleaseStatusPrinter.print(response);
    } finally {
      System.setOut(standardOutput);
    }
    return captured.toString(StandardCharsets.UTF_8);
  }

  private static ObjectNode release() {
    ObjectNode release =
        Json.object()
            .put("name", "r")
            .put("of", "host")
            .put("version", "v2")
            .put("from", "v1")
            .put("why", "planned")
            .put("state", "running")
            .put("state_why", "bad news")
            .put("direction", "back")
            .put("goal", 0)
            .put("driver", "")
            .put("fence", 3);
    release
        .putArray("steps")
        .addObject()
        .put("name", "all")
        .put("at_once", 2)
        .putArray("targets")
        .add("h1")
        .add("h2")
        .add("h3");
    ArrayNode targets = release.putArray("targets");
    target(targets, "h1", "in", "new");
    target(targets, "h2", "leaving", "new")
        .put("out", "permit p1")
        .put("found", "v2")
        .put("late", true)
        .putObject("awaited")
        .put("p", "has not told");
    target(targets, "h3", "in", "old");
    return release;
  }

  private static ObjectNode target(ArrayNode targets, String name, String phase, String version) {
    return targets
        .addObject()
        .put("name", name)
        .put("step", 0)
        .put("phase", phase)
        .put("at", version)
        .put("wanted", "old")
        .put("zone", "a")
        .put("found", "")
        .putNull("out");
  }

  @Test
  void printsOneReleaseWithItsZonesAndTheTargetsInProgress() {
    assertThat(printed(release()).lines())
        .containsExactly(
            "r is running, rollback (bad news); no driver",
            "  zone a        [#~.] 1 of 3",
            "  h2 leaving, new, permit p1, found v2, LATE",
            "    awaits p: has not told");
    assertThat(printed(release().put("driver", "x")).lines())
        .startsWith("r is running, rollback (bad news); driven by x, fence 3");
  }

  @Test
  void printsAllReleasesOnOneLineEach() {
    ObjectNode response = Json.object();
    response
        .putArray("releases")
        .addObject()
        .put("name", "r")
        .put("number", 7)
        .put("of", "host")
        .put("version", "v2")
        .put("state", "returned")
        .put("state_why", "")
        .put("direction", "back")
        .put("goal", 0)
        .put("steps", 2);
    assertThat(printed(response).lines())
        .containsExactly("7 r: hosts to v2, returned rollback, step 0 of 2");
  }

  @Test
  void printsTheReasonForAnUnknownRelease() {
    ObjectNode response = Json.object().put("status", "unknown");
    response.putArray("why").add("no release 'x'");
    assertThat(printed(response).lines()).containsExactly("unknown", "  no release 'x'");
  }

  @Test
  void rollbackKeepsItsFormerNameAsAlias() {
    CommandLine release = new CommandLine(new ReleaseCliCommand());
    assertThat(release.getSubcommands().get("back"))
        .isNotNull()
        .isSameAs(release.getSubcommands().get("rollback"));
  }
}
