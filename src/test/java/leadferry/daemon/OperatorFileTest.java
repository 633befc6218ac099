package leadferry.daemon;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import leadferry.loadbalancer.Settings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks that an operator's file is read with its defaults, and that one reading reports every
 * error with its line and key. Guards against errors that hide others, and against a parser that
 * fails on corrupt files.
 */
class OperatorFileTest {
  private static final Path SHIPPED = Path.of("deploy", "leadferry.toml");

  private static final String MINIMAL =
      """
      [listener.main]
      address = "127.0.0.1:8080"
      [pool.a]
      [[pool.a.member]]
      id = "s1"
      address = "127.0.0.1:9001"
      [[route]]
      name = "all"
      prefix = "/"
      pool = "a"
      """;

  private static List<ConfigurationError> errorsOf(String text) {
    ConfigurationException e =
        catchThrowableOfType(ConfigurationException.class, () -> OperatorFile.parse("f", text));
    return e == null ? List.of() : e.errors();
  }

  @Test
  void theFleetSectionIsReadOrReportsEveryError() throws Exception {
    String valid =
        "[fleet]\nfleet = \"f\"\nname = \"p1\"\nlease_ms = 1000\n[fleet.keepers]\nk1 = \"127.0.0.1:9\"\n";
    DaemonConfig.Fleet fleet = OperatorFile.parse("f", MINIMAL + valid).fleet();
    assertThat(fleet.replicas()).containsOnlyKeys("k1");
    assertThat(fleet.onUnreachable()).isEqualTo(DaemonConfig.UnreachablePolicy.WAIT);
    assertThat(OperatorFile.parse("f", MINIMAL).fleet()).isNull();
    assertThat(
            errorsOf(MINIMAL + "[fleet]\nname = \"a b\"\nlease_ms = 5\non_unreachable = \"last\"\n")
                .stream()
                .map(ConfigurationError::key))
        .contains("fleet", "fleet.lease_ms", "fleet.keepers", "fleet.state_file", "fleet.fleet");
  }

  @Test
  void theShippedFileIsValid() throws Exception {
    DaemonConfig config = OperatorFile.read(SHIPPED);
    assertThat(config.listeners()).isNotEmpty();
    assertThat(config.routes()).isNotEmpty();
  }

  @Test
  void absentKeysHaveTheirDefaults() throws Exception {
    DaemonConfig config = OperatorFile.parse("f", MINIMAL);
    assertThat(config.process().workers()).isEqualTo(1);
    assertThat(config.listeners().get("main").maxBodyBytes()).isEqualTo(65_536);
    Settings.RequestClass undeclared = config.classes().get(0);
    assertThat(undeclared.name()).isEqualTo("default");
    assertThat(undeclared.semantics()).isEqualTo(Settings.Semantics.AT_MOST_ONCE);
  }

  @Test
  void allErrorsAreReportedAtOnceWithLineKeyAndExpectation() {
    List<ConfigurationError> found =
        errorsOf(
            """
            [daemon]
            workers = 0
            wrokers = 2
            [listener.main]
            address = "localhost:80"
            paths = "loose"
            [class.log]
            repeat = "keyed"
            [pool.a]
            [[pool.a.member]]
            id = "s1"
            address = "127.0.0.1:9001"
            [[pool.a.member]]
            id = "s1"
            address = "127.0.0.1:9001"
            weight = -1
            [[route]]
            name = "r"
            prefix = "/x"
            pool = "b"
            [[route]]
            name = "twin"
            prefix = "/x/"
            pool = "a"
            [[limit]]
            name = "l"
            by = "moon"
            """);
    assertThat(found)
        .extracting(f -> f.line() + " " + f.key())
        .containsExactly(
            "2 daemon.workers",
            "3 daemon.wrokers",
            "5 listener.main.address",
            "6 listener.main.paths",
            "7 class.log.window_ms",
            "14 pool.a.member[1].id",
            "15 pool.a.member[1].address",
            "16 pool.a.member[1].weight",
            "20 route[0].pool",
            "21 route[1]",
            "25 limit[0]",
            "27 limit[0].by");
    assertThat(found.get(0).toString())
        .isEqualTo("f:2: daemon.workers: 0 (expected: a whole number from 1 to 256)");
    assertThat(found.get(1).toString()).contains("unknown key (expected: perhaps 'workers')");
    assertThat(found.get(9).toString()).contains("can't be reached").contains("'r' always wins");
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "prefix = \"/\" | regex = \"[\" | route[0].regex",
        "prefix = \"/\" | prefix = \"x\" | route[0].prefix",
        "prefix = \"/\" | prefix = \"/a/../b\" | route[0].prefix",
        "prefix = \"/\" | path = \"/a\"\\nrewrite_prefix = \"/b\" | route[0].rewrite_prefix",
        "prefix = \"/\" | prefix = \"/\"\\npath = \"/b\" | route[0]",
        "prefix = \"/\" | prefix = \"/\"\\nset_headers = { Host = \"x\" } | route[0].set_headers.Host",
        "prefix = \"/\" | prefix = \"/\"\\nset_headers = { X = \"a\\u0001b\" } | route[0].set_headers.X",
        "prefix = \"/\" | prefix = \"/\"\\nhosts = [\"a b\"] | route[0].hosts[0]",
        "prefix = \"/\" | prefix = \"/\"\\nmethods = [\"get\"] | route[0].methods[0]",
        "prefix = \"/\" | prefix = \"/\"\\nclass = \"nope\" | route[0].class",
        "prefix = \"/\" | prefix = \"/\"\\nfallback = [\"nope\"] | route[0].fallback[0]",
        "prefix = \"/\" | prefix = \"/\"\\nlisteners = [\"mian\"] | route[0].listeners[0]",
        "pool = \"a\" | split = [ { pool = \"a\", weight = 0 } ] | route[0].split",
        "pool = \"a\" | split = [ { pool = \"a\" }, { pool = \"a\" } ] | route[0].split[1].pool",
        "[pool.a] | [pool.a]\\nmax_attempts = 0 | pool.a.max_attempts",
        "[pool.a] | [pool.\"a b\"]\\n[pool.a] | pool.a b",
        "[pool.a] | x = 1\\n[pool.a] | listener.main.x",
      })
  void anErrorNamesItsKey(String original, String replacement, String key) {
    String text = MINIMAL.replace(original.trim(), replacement.trim().replace("\\n", "\n"));
    assertThat(errorsOf(text)).extracting(ConfigurationError::key).contains(key.trim());
    assertThat(errorsOf(text)).allMatch(f -> f.line() > 0);
  }

  @Test
  void aSyntaxErrorNamesItsLine() {
    assertThat(errorsOf("[a]\nb = \n").get(0).line()).isEqualTo(2);
    assertThat(errorsOf("")).extracting(ConfigurationError::key).contains("listener", "pool");
  }

  @Test
  void linesAreFoundInEveryTomlSyntax() throws ConfigurationException {
    TomlTree tree =
        TomlTree.parse(
            "f",
            """
            # comment [x]
            top = 1
            [a.b]
            "c d" = '''
            [not.a.table]
            ''' # over lines
            e = [
              { f = 1, g = [ 2, "]" ] },
              { f = 3 },
            ]
            h.i = 2024-01-01
            [[a.list]]
            k = \"\"\"x
            = y\"\"\"
            [[a.list]]
            k = "#"
            [a.list.inner]
            m = 1
            """);
    assertThat(tree.lineOf("top")).isEqualTo(2);
    assertThat(tree.lineOf("a.b")).isEqualTo(3);
    assertThat(tree.lineOf("a.b.c d")).isEqualTo(4);
    assertThat(tree.lineOf("a.b.e")).isEqualTo(7);
    assertThat(tree.lineOf("a.b.e[0].g")).isEqualTo(8);
    assertThat(tree.lineOf("a.b.e[1].f")).isEqualTo(9);
    assertThat(tree.lineOf("a.b.h.i")).isEqualTo(11);
    assertThat(tree.lineOf("a.list[0].k")).isEqualTo(13);
    assertThat(tree.lineOf("a.list[1].k")).isEqualTo(16);
    assertThat(tree.lineOf("a.list[1].inner.m")).isEqualTo(18);
    assertThat(tree.lineOf("a.list[1].nothing")).isEqualTo(15);
    assertThat(tree.lineOf("nothing")).isZero();
  }

  /**
   * Guards against a parser error or endless reading on corrupt files: reading ends with a
   * configuration or a {@link ConfigurationException}.
   */
  @Test
  void aCorruptedFileIsReportedAsInvalid() throws Exception {
    String valid = Files.readString(SHIPPED);
    SplittableRandom random = new SplittableRandom(11);
    String noise = "[]{}=\"'#.,\n\\0a-";
    List<String> corrupted = new ArrayList<>();
    for (int i = 0; i < 600; i++) {
      StringBuilder text = new StringBuilder(valid);
      for (int j = 1 + random.nextInt(4); j > 0; j--) {
        int at = random.nextInt(text.length());
        char character = noise.charAt(random.nextInt(noise.length()));
        switch (random.nextInt(3)) {
          case 0 -> text.setCharAt(at, character);
          case 1 -> text.insert(at, character);
          default -> text.delete(at, Math.min(text.length(), at + 1 + random.nextInt(20)));
        }
      }
      corrupted.add(text.toString());
    }
    corrupted.add("x = " + "[".repeat(200_000));
    corrupted.add("x = " + "{a=".repeat(50_000));
    for (int cut = 0; cut < valid.length(); cut += 7) {
      corrupted.add(valid.substring(0, cut));
    }
    int invalidCount = 0;
    for (String text : corrupted) {
      try {
        OperatorFile.parse("f", text);
      } catch (ConfigurationException e) {
        invalidCount++;
        assertThat(e.errors()).isNotEmpty();
      }
    }
    assertThat(invalidCount).isGreaterThan(corrupted.size() / 2);
  }
}
