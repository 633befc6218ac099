package corkproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import corkproxy.engine.LineLog;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class RehearsalTest {
  @Test
  void aRehearsalCarriesItsRequestsAndSaysNothing(@TempDir Path folder) throws Exception {
    try (World world = new World(folder, 128)) {
      String file = world.configure("127.0.0.1:9", "{}").toString();
      ByteArrayOutputStream lines = new ByteArrayOutputStream();
      int answered =
          Rehearsal.run(
              Config.load(Map.of("BALANCER_CONFIG", file)),
              false,
              new LineLog(new PrintStream(lines, true, StandardCharsets.UTF_8), false));
      assertThat(answered).isEqualTo(Rehearsal.REQUESTS);
      assertThat(lines.toString(StandardCharsets.UTF_8)).isEmpty();
    }
  }
}
