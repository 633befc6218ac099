package leadferry;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Recorded texts that an earlier build wrote; later builds must write the same texts. */
public final class RecordedText {
  private static final Path FIXTURES = Path.of("src", "test", "resources", "fixtures");

  private RecordedText() {}

  /** Returns the path of a recording, relative to the root of the repository. */
  public static Path path(String recording) {
    return FIXTURES.resolve(recording);
  }

  /** Returns the text of a recording. */
  public static String read(String recording) throws IOException {
    return Files.readString(path(recording), StandardCharsets.UTF_8);
  }

  /**
   * Asserts that the text equals the recording, line by line, so that a failure names the first
   * different line.
   */
  public static void assertSame(String recording, String actual) throws IOException {
    assertThat(actual.lines().toList())
        .as(recording)
        .containsExactlyElementsOf(read(recording).lines().toList());
  }

  /** Replaces carriage returns by {@code \r}, so that a recording is a plain text file. */
  public static String escapeCarriageReturns(String message) {
    return message.replace("\r", "\\r");
  }

  /** Masks the port numbers of loopback addresses, which differ from run to run. */
  public static String maskPorts(String text) {
    return text.replaceAll("127\\.0\\.0\\.1:\\d+", "127.0.0.1:PORT");
  }
}
