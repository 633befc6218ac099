package leadferry.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import leadferry.engine.LineLog;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class WarmUpTest {
  /**
   * Aims far shorter than cold code takes, as a process on part of a core has them, refuse none of
   * it.
   */
  @ParameterizedTest
  @ValueSource(ints = {400, 1})
  void warmUpForwardsAllRequestsAndLogsNothing(int aim, @TempDir Path folder) throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(folder, 128)) {
      fixture.aimMillis = aim;
      fixture.deadlineMillis = 2 * aim;
      String file = fixture.writeConfig("127.0.0.1:9", "{}").toString();
      ByteArrayOutputStream lines = new ByteArrayOutputStream();
      int served =
          WarmUp.run(
              Config.load(Map.of("BALANCER_CONFIG", file)),
              false,
              new LineLog(new PrintStream(lines, true, StandardCharsets.UTF_8), false));
      assertThat(served).isEqualTo(WarmUp.REQUESTS);
      assertThat(lines.toString(StandardCharsets.UTF_8)).isEmpty();
    }
  }
}
