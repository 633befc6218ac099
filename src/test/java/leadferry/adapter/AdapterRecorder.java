package leadferry.adapter;

import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.zip.GZIPOutputStream;

/** Creates the recordings that {@link RecordedAdapterRunTest} compares with. */
final class AdapterRecorder {
  private AdapterRecorder() {}

  /** Writes the transcripts of seeds 1 to 5 to the folder in the first argument. */
  public static void main(String[] args) throws IOException {
    for (int seed = 1; seed <= 5; seed++) {
      StringBuilder input = new StringBuilder();
      StringBuilder output = new StringBuilder();
      new AdapterScenario(seed).run(input, output);
      write(args[0] + "/seed-" + seed + ".in.gz", input);
      write(args[0] + "/seed-" + seed + ".out.gz", output);
    }
  }

  private static void write(String file, StringBuilder text) throws IOException {
    try (OutputStream output = new GZIPOutputStream(new FileOutputStream(file))) {
      output.write(text.toString().getBytes(StandardCharsets.UTF_8));
    }
  }
}
