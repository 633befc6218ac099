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

class OperatorFileTest {
  private static final Path SHIPPED = Path.of("deploy", "leadferry.toml");

  private static final String SMALL =
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

  private static List<ConfigurationError> faults(String text) {
    ConfigurationException e =
        catchThrowableOfType(ConfigurationException.class, () -> OperatorFile.parse("f", text));
    return e == null ? List.of() : e.errors();
  }

  @Test
  void aFleetTakesAllThatItNeedsOrTellsEveryFault() throws Exception {
    String sound =
        "[fleet]\nfleet = \"f\"\nname = \"p1\"\nlease_ms = 1000\n[fleet.keepers]\nk1 = \"127.0.0.1:9\"\n";
    DaemonConfig.Fleet f = OperatorFile.parse("f", SMALL + sound).fleet();
    assertThat(f.replicas()).containsOnlyKeys("k1");
    assertThat(f.onUnreachable()).isEqualTo(DaemonConfig.UnreachablePolicy.WAIT);
    assertThat(OperatorFile.parse("f", SMALL).fleet()).isNull();
    assertThat(
            faults(SMALL + "[fleet]\nname = \"a b\"\nlease_ms = 5\non_unreachable = \"last\"\n")
                .stream()
                .map(ConfigurationError::key))
        .contains("fleet", "fleet.lease_ms", "fleet.keepers", "fleet.state_file", "fleet.fleet");
  }

  @Test
  void theShippedFileIsSound() throws Exception {
    DaemonConfig c = OperatorFile.read(SHIPPED);
    assertThat(c.listeners()).isNotEmpty();
    assertThat(c.routes()).isNotEmpty();
  }

  @Test
  void whatIsNotSaidHasItsDefault() throws Exception {
    DaemonConfig c = OperatorFile.parse("f", SMALL);
    assertThat(c.process().workers()).isEqualTo(1);
    assertThat(c.listeners().get("main").maxBodyBytes()).isEqualTo(65_536);
    Settings.RequestClass undeclared = c.classes().get(0);
    assertThat(undeclared.name()).isEqualTo("default");
    assertThat(undeclared.semantics()).isEqualTo(Settings.Semantics.AT_MOST_ONCE);
  }

  @Test
  void allFaultsAreToldInOneRunEachWithLineKeyAndWhatWasExpected() {
    List<ConfigurationError> found =
        faults(
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
  void aFaultNamesItsKey(String what, String instead, String key) {
    String text = SMALL.replace(what.trim(), instead.trim().replace("\\n", "\n"));
    assertThat(faults(text)).extracting(ConfigurationError::key).contains(key.trim());
    assertThat(faults(text)).allMatch(f -> f.line() > 0);
  }

  @Test
  void whatIsNoTomlNamesItsLine() {
    assertThat(faults("[a]\nb = \n").get(0).line()).isEqualTo(2);
    assertThat(faults("")).extracting(ConfigurationError::key).contains("listener", "pool");
  }

  @Test
  void linesAreFoundInEveryShapeThatTomlHas() throws ConfigurationException {
    TomlTree l =
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
    assertThat(l.lineOf("top")).isEqualTo(2);
    assertThat(l.lineOf("a.b")).isEqualTo(3);
    assertThat(l.lineOf("a.b.c d")).isEqualTo(4);
    assertThat(l.lineOf("a.b.e")).isEqualTo(7);
    assertThat(l.lineOf("a.b.e[0].g")).isEqualTo(8);
    assertThat(l.lineOf("a.b.e[1].f")).isEqualTo(9);
    assertThat(l.lineOf("a.b.h.i")).isEqualTo(11);
    assertThat(l.lineOf("a.list[0].k")).isEqualTo(13);
    assertThat(l.lineOf("a.list[1].k")).isEqualTo(16);
    assertThat(l.lineOf("a.list[1].inner.m")).isEqualTo(18);
    assertThat(l.lineOf("a.list[1].nothing")).isEqualTo(15);
    assertThat(l.lineOf("nothing")).isZero();
  }

  /** Whatever is done to a file, reading it ends with a configuration or with faults. */
  @Test
  void aSpoiltFileIsFaultyAndNeverAnError() throws Exception {
    String good = Files.readString(SHIPPED);
    SplittableRandom random = new SplittableRandom(11);
    String noise = "[]{}=\"'#.,\n\\0a-";
    List<String> spoilt = new ArrayList<>();
    for (int i = 0; i < 600; i++) {
      StringBuilder s = new StringBuilder(good);
      for (int j = 1 + random.nextInt(4); j > 0; j--) {
        int at = random.nextInt(s.length());
        char c = noise.charAt(random.nextInt(noise.length()));
        switch (random.nextInt(3)) {
          case 0 -> s.setCharAt(at, c);
          case 1 -> s.insert(at, c);
          default -> s.delete(at, Math.min(s.length(), at + 1 + random.nextInt(20)));
        }
      }
      spoilt.add(s.toString());
    }
    spoilt.add("x = " + "[".repeat(200_000));
    spoilt.add("x = " + "{a=".repeat(50_000));
    for (int cut = 0; cut < good.length(); cut += 7) {
      spoilt.add(good.substring(0, cut));
    }
    int faulty = 0;
    for (String s : spoilt) {
      try {
        OperatorFile.parse("f", s);
      } catch (ConfigurationException e) {
        faulty++;
        assertThat(e.errors()).isNotEmpty();
      }
    }
    assertThat(faulty).isGreaterThan(spoilt.size() / 2);
  }
}
