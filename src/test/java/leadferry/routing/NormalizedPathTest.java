package leadferry.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a path that bypasses its route because the upstream host reads it differently. */
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
  void unambiguousPathIsMatchedDecodedAndForwardedUnchanged(
      String rawPath, String matchPath, String forwardPath) {
    NormalizedPath path = NormalizedPath.normalize(rawPath, NormalizedPath.Mode.STRICT);
    assertThat(path.matchPath()).isEqualTo(matchPath);
    assertThat(path.forwardPath()).isEqualTo(forwardPath);
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
  void resolveModeMatchesAndForwardsTheResolvedPath(String rawPath, String forwardPath) {
    assertThat(NormalizedPath.normalize(rawPath, NormalizedPath.Mode.STRICT)).isNull();
    NormalizedPath path = NormalizedPath.normalize(rawPath, NormalizedPath.Mode.RESOLVE);
    assertThat(path == null ? null : path.forwardPath()).isEqualTo(forwardPath);
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
  void ambiguousPathIsRejectedInEveryMode(String rawPath) {
    for (NormalizedPath.Mode mode : NormalizedPath.Mode.values()) {
      assertThat(NormalizedPath.normalize(rawPath, mode)).as(mode + " " + rawPath).isNull();
    }
  }

  /**
   * Guards against a path that the upstream host reads differently from the routes: an accepted
   * path has no dot or empty segment left, and normalizes to itself again.
   */
  @Test
  void acceptedPathReadsTheSameAtTheUpstreamHost() {
    SplittableRandom random = new SplittableRandom(20261201);
    String[] pieces = {
      "/", ".", "..", "%2e", "%2f", "%25", "a", "%61", ";", "%3b", "\\", "%00", "2e", "%41"
    };
    int acceptedCount = 0;
    for (int i = 0; i < 200_000; i++) {
      StringBuilder rawPath = new StringBuilder("/");
      for (int j = random.nextInt(8); j > 0; j--) {
        rawPath.append(pieces[random.nextInt(pieces.length)]);
      }
      for (NormalizedPath.Mode mode : NormalizedPath.Mode.values()) {
        NormalizedPath path = NormalizedPath.normalize(rawPath.toString(), mode);
        if (path != null) {
          acceptedCount++;
          NormalizedPath normalizedAgain =
              NormalizedPath.normalize(path.forwardPath(), NormalizedPath.Mode.STRICT);
          assertThat(normalizedAgain).as("%s as %s", rawPath, path.forwardPath()).isNotNull();
          assertThat(normalizedAgain.matchPath()).isEqualTo(path.matchPath());
          assertThat(path.matchPath())
              .doesNotContain("//")
              .doesNotContain("/../")
              .doesNotContain("/./");
        }
      }
    }
    assertThat(acceptedCount).isGreaterThan(20_000);
  }
}
