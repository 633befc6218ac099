package leadferry.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class PathNormalizerTest {
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
    PathNormalizer f = PathNormalizer.of(raw, PathNormalizer.Mode.STRICT);
    assertThat(f.match()).isEqualTo(match);
    assertThat(f.forward()).isEqualTo(forward);
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
    assertThat(PathNormalizer.of(raw, PathNormalizer.Mode.STRICT)).isNull();
    PathNormalizer f = PathNormalizer.of(raw, PathNormalizer.Mode.RESOLVE);
    assertThat(f == null ? null : f.forward()).isEqualTo(forward);
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
    for (PathNormalizer.Mode m : PathNormalizer.Mode.values()) {
      assertThat(PathNormalizer.of(raw, m)).as(m + " " + raw).isNull();
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
      for (PathNormalizer.Mode m : PathNormalizer.Mode.values()) {
        PathNormalizer f = PathNormalizer.of(raw.toString(), m);
        if (f != null) {
          taken++;
          PathNormalizer again = PathNormalizer.of(f.forward(), PathNormalizer.Mode.STRICT);
          assertThat(again).as("%s as %s", raw, f.forward()).isNotNull();
          assertThat(again.match()).isEqualTo(f.match());
          assertThat(f.match()).doesNotContain("//").doesNotContain("/../").doesNotContain("/./");
        }
      }
    }
    assertThat(taken).isGreaterThan(20_000);
  }
}
