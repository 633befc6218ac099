package leadferry;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Text forms that the build of the recordings wrote: later builds must write the same. */
public final class RecordedText {
  private static final Path FIXTURES = Path.of("src", "test", "resources", "fixtures");

  private RecordedText() {}

  /** The path of a recording, relative to the root of the repository. */
  public static Path path(String recording) {
    return FIXTURES.resolve(recording);
  }

  /** The text of a recording. */
  public static String read(String recording) throws IOException {
    return Files.readString(path(recording), StandardCharsets.UTF_8);
  }

  /** Compares line by line, so that a failure names the first line that differs. */
  public static void assertSame(String recording, String actual) throws IOException {
    assertThat(actual.lines().toList())
        .as(recording)
        .containsExactlyElementsOf(read(recording).lines().toList());
  }

  /** Carriage returns made visible, so that a recording is a plain text file. */
  public static String escapeCarriageReturns(String message) {
    return message.replace("\r", "\\r");
  }

  /** Port numbers of loopback addresses masked: they differ from run to run. */
  public static String maskPorts(String text) {
    return text.replaceAll("127\\.0\\.0\\.1:\\d+", "127.0.0.1:PORT");
  }
}
