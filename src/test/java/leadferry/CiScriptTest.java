package leadferry;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs {@code .ci/run} with a fake Maven that records its arguments. Guards against known faults
 * that hide other tests: exactly the listed tests are passed over, and all are printed.
 */
class CiScriptTest {
  private static final String VERIFY = "-B verify";
  private static final String MAVEN =
      """
      #!/bin/sh
      echo "$*" >> "$(dirname "$0")/calls"
      case "$*" in
        *-Dtest=Red*) echo 'Tests run: 1, Failures: 1'; exit 1 ;;
        *-Dtest=Green*) echo 'Tests run: 1, Failures: 0' ;;
      esac
      """;

  @TempDir Path folder;
  private int status;
  private String output;

  @BeforeEach
  void copyScript() throws IOException {
    Files.createDirectories(folder.resolve(".ci"));
    Files.copy(Path.of(".ci/run"), folder.resolve(".ci/run"));
    Path maven = Files.writeString(folder.resolve("mvn"), MAVEN);
    assertThat(maven.toFile().setExecutable(true)).isTrue();
  }

  /** Runs the script with this list and returns the arguments of its last call of Maven. */
  private String run(String... knownFaults) throws Exception {
    if (knownFaults.length > 0) {
      // The last line has no line end.
      Files.writeString(folder.resolve("KNOWN-RED.txt"), String.join("\n", knownFaults));
    }
    Path printed = folder.resolve("printed");
    ProcessBuilder builder = new ProcessBuilder("bash", folder.resolve(".ci/run").toString());
    builder.environment().merge("PATH", folder + ":", (path, first) -> first + path);
    builder.redirectErrorStream(true).redirectOutput(printed.toFile());
    Process process = builder.start();
    try {
      assertThat(process.waitFor(20, TimeUnit.SECONDS)).isTrue();
    } finally {
      process.destroyForcibly();
    }
    status = process.exitValue();
    output = Files.readString(printed, StandardCharsets.UTF_8);
    List<String> calls = Files.readAllLines(folder.resolve("calls"));
    return calls.get(calls.size() - 1);
  }

  @Test
  void allTestsAreRunWhereNoFaultIsKnown() throws Exception {
    assertThat(run()).isEqualTo(VERIFY);
    assertThat(run("")).isEqualTo(VERIFY);
    assertThat(output).isEmpty();
  }

  @Test
  void exactlyTheListedTestsArePassedOverAndPrinted() throws Exception {
    String verify =
        run(
            "RedTest#one | seen once, seed 3 | 49",
            "GreenTest#two | seen | 58",
            "review/2 | sh review/2/run.sh: wrong answer | 49",
            "RedTest#three | seen || twice | 58",
            "RedTest#four | seen | 58");
    assertThat(verify)
        .startsWith(
            VERIFY + " -Dtest=*Test,!RedTest#one,!GreenTest#two,!RedTest#three,!RedTest#four");
    assertThat(output.lines())
        .containsExactly(
            "KNOWN-RED: RedTest#one fails: seen once, seed 3 (issue 49)",
            "KNOWN-RED: GreenTest#two PASSES; take it off the list",
            "KNOWN-RED: review/2, not run: sh review/2/run.sh: wrong answer (issue 49)",
            "KNOWN-RED: RedTest#three fails: seen || twice (issue 58)",
            "KNOWN-RED: RedTest#four fails: seen (issue 58)");
    assertThat(status).isZero();
  }

  @Test
  void entriesOfTheReviewExcludeNoTest() throws Exception {
    assertThat(run("review/2 | wrong answer | 49")).isEqualTo(VERIFY);
    assertThat(output).startsWith("KNOWN-RED: review/2, not run");
  }

  @Test
  void anEntryThatNamesNoTestFails() throws Exception {
    assertThat(run("MissingTest#test | seen | 49")).doesNotContain("verify");
    assertThat(status).isEqualTo(1);
    assertThat(output).contains("MissingTest#test names no test");
    run("WholeClassTest | seen | 49");
    assertThat(status).isEqualTo(1);
    assertThat(output).contains("neither Class#method nor review/N");
  }
}
