package leadferry.daemon;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import leadferry.consensus.Json;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Checks that release plans select their targets from the state of the fleet, and that one reading
 * reports every error of a plan.
 */
class ReleaseFileTest {
  private static final String HEAD =
      "[release]\nname = \"r\"\nof = \"host\"\nversion = \"v2\"\nfrom = \"v1\"\n";
  private static final String CARRY = "[release.carry]\ncommand = [\"./replace\", \"{target}\"]\n";

  @TempDir private Path folder;

  private static ObjectNode fleet() {
    ObjectNode fleet = Json.object();
    ArrayNode hosts = fleet.putArray("hosts");
    for (int i = 1; i <= 6; i++) {
      hosts
          .addObject()
          .put("name", "h" + i)
          .put("zone", i <= 3 ? "a" : "b")
          .put("pool", i == 6 ? "other" : "roster")
          .put("kind", "-")
          .put("pod", "-");
    }
    return fleet;
  }

  private JsonNode read(String text) throws IOException, ConfigurationException {
    return ReleaseFile.read(Files.writeString(folder.resolve("plan.toml"), text), fleet());
  }

  @Test
  void stepsSelectRemainingTargetsByNameLabelAndShare() throws Exception {
    JsonNode plan =
        read(
            HEAD
                + "where = { pool = \"roster\" }\n"
                + CARRY
                + "[[release.step]]\nname = \"canary\"\ntargets = [\"h2\"]\n[[release.step]]\nname = \"a\"\nshare = 0.5\nwhere = { zone = \"a\" }\n"
                + "[[release.step]]\nname = \"rest\"\nat_once = 2\n");
    assertThat(plan.path("steps").toString())
        .isEqualTo(
            "[{\"name\":\"canary\",\"at_once\":1,\"bake_ms\":0,\"targets\":[\"h2\"]},{\"name\":\"a\",\"at_once\":1,\"bake_ms\":0,\"targets\":[\"h1\"]},"
                + "{\"name\":\"rest\",\"at_once\":2,\"bake_ms\":0,\"targets\":[\"h3\",\"h4\",\"h5\"]}]");
    assertThat(plan.path("carry").path("by").asText()).isEqualTo("command");
  }

  @Test
  void everyErrorIsReportedWithItsLineAndKey() {
    ConfigurationException exception =
        catchThrowableOfType(
            ConfigurationException.class,
            () ->
                read(
                    HEAD
                        + "halt_losst = 1\n[release.guard]\nmax_worse = 2\n[[release.step]]\nname = \"x\"\ntargets = [\"h2\", \"h9\"]\n[[release.step]]\nname = \"y\"\ntargets = [\"h2\"]\n"
                        + "[[release.step]]\nname = \"z\"\nwhere = { zone = \"c\" }\n"));
    assertThat(exception.errors())
        .extracting(ConfigurationError::key)
        .contains(
            "release.halt_losst",
            "release.guard.max_worse",
            "release.carry.command",
            "release.step[0].targets[1]",
            "release.step[1].targets[0]",
            "release.step[2]");
    assertThat(exception.errors())
        .allMatch(f -> f.line() > 0 || f.key().equals("release.carry.command"));
  }

  @Test
  void anInvalidPlanIsAnErrorOfTheFile() {
    ConfigurationException exception =
        catchThrowableOfType(
            ConfigurationException.class,
            () -> read(HEAD.replace("v1", "v2") + CARRY + "[[release.step]]\nname = \"all\"\n"));
    assertThat(exception.getMessage()).contains("from: 'v2' (expected: another than version)");
  }
}
