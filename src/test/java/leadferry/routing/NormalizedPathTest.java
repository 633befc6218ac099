package leadferry.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class NormalizedPathTest {
  @ParameterizedTest
  @CsvSource({
    "/, /, /",
    "/a/b, /a/b, /a/b",
    "/a/, /a/, /a/",
    "/%61/b, /a/b, /%61/b",
    "/a%20b, '/a b', /a%20b",
    "/a%25b, /a%b, /a%25b",
    "/a%3fb, /a?b, /a%3fb",
    "/a.b/..c/...d, /a.b/..c/...d, /a.b/..c/...d",
  })
  void aPathOfOneReadingIsMatchedDecodedAndSentOnAsItCame(
      String raw, String match, String forward) {
    NormalizedPath f = NormalizedPath.normalize(raw, NormalizedPath.Mode.STRICT);
    assertThat(f.matchPath()).isEqualTo(match);
    assertThat(f.forwardPath()).isEqualTo(forward);
  }

  @ParameterizedTest
  @CsvSource({
    "/a/../b, /b",
    "/a/./b, /a/b",
    "//a///b, /a/b",
    "/a/b/.., /a/",
    "/a/b/., /a/b/",
    "/%2e%2E/, ",
    "/.., ",
    "/a/%2e%2e/%2e%2e/b, ",
    "/a//, /a/",
    "/a/%2e/b%20c, /a/b%20c",
  })
  void resolvingMatchesAndSendsTheResolvedPath(String raw, String forward) {
    assertThat(NormalizedPath.normalize(raw, NormalizedPath.Mode.STRICT)).isNull();
    NormalizedPath f = NormalizedPath.normalize(raw, NormalizedPath.Mode.RESOLVE);
    assertThat(f == null ? null : f.forwardPath()).isEqualTo(forward);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "a",
        "/%2f",
        "/%2F..",
        "/%5c",
        "/%00",
        "/%0a",
        "/%7f",
        "/%",
        "/%4",
        "/%gg",
        "/\\",
        "/a b",
        "/\u00e9",
        "/#",
        "/%252e",
        "/%2500",
        "/a/..;/b",
        "/.;x/b",
        "/%2e%2e;/b"
      })
  void whatHasNoSingleReadingIsNoPathInAnyMode(String raw) {
    for (NormalizedPath.Mode m : NormalizedPath.Mode.values()) {
      assertThat(NormalizedPath.normalize(raw, m)).as(m + " " + raw).isNull();
    }
  }

  /** Whatever is taken has no odd segment left, and decodes to the same again at the host. */
  @Test
  void whatIsTakenReadsTheSameAtTheHost() {
    SplittableRandom random = new SplittableRandom(20261201);
    String[] pieces = {
      "/", ".", "..", "%2e", "%2f", "%25", "a", "%61", ";", "%3b", "\\", "%00", "2e", "%41"
    };
    int taken = 0;
    for (int i = 0; i < 200_000; i++) {
      StringBuilder raw = new StringBuilder("/");
      for (int j = random.nextInt(8); j > 0; j--) {
        raw.append(pieces[random.nextInt(pieces.length)]);
      }
      for (NormalizedPath.Mode m : NormalizedPath.Mode.values()) {
        NormalizedPath f = NormalizedPath.normalize(raw.toString(), m);
        if (f != null) {
          taken++;
          NormalizedPath again =
              NormalizedPath.normalize(f.forwardPath(), NormalizedPath.Mode.STRICT);
          assertThat(again).as("%s as %s", raw, f.forwardPath()).isNotNull();
          assertThat(again.matchPath()).isEqualTo(f.matchPath());
          assertThat(f.matchPath())
              .doesNotContain("//")
              .doesNotContain("/../")
              .doesNotContain("/./");
        }
      }
    }
    assertThat(taken).isGreaterThan(20_000);
  }
}
