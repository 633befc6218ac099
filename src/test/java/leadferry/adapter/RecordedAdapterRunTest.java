package leadferry.adapter;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.zip.GZIPInputStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against unintended changes of behavior. The adapter must reply to the events of a recorded
 * run with the recorded commands, byte for byte, which requires the same random draws from the same
 * seed. {@link AdapterRecorder} created the recordings with an earlier build.
 */
class RecordedAdapterRunTest {
  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 4, 5})
  void recordedEventsProduceRecordedCommands(int seed) throws IOException {
    byte[] events = recording("seed-" + seed + ".in.gz");
    String expected = new String(recording("seed-" + seed + ".out.gz"), StandardCharsets.UTF_8);
    ByteArrayOutputStream commands = new ByteArrayOutputStream();
    ByteArrayOutputStream errors = new ByteArrayOutputStream();

    new Adapter(
            new ByteArrayInputStream(events),
            commands,
            new PrintStream(errors, true, StandardCharsets.UTF_8))
        .run();

    assertThat(errors.toString(StandardCharsets.UTF_8)).isEmpty();
    assertThat(commands.toString(StandardCharsets.UTF_8).lines())
        .containsExactlyElementsOf(expected.lines().toList());
  }

  private static byte[] recording(String name) throws IOException {
    try (GZIPInputStream unzipped =
        new GZIPInputStream(
            RecordedAdapterRunTest.class.getResourceAsStream("/fixtures/adapter/" + name))) {
      return unzipped.readAllBytes();
    }
  }
}
