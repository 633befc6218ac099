package leadferry.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import leadferry.engine.Addresses;
import leadferry.testbed.LoadGenerator;
import org.HdrHistogram.Histogram;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Sends load at a fixed rate with a {@link LoadGenerator} and prints the outcomes and latencies.
 */
@Command(
    name = "load",
    mixinStandardHelpOptions = true,
    description = {
      "Sends requests at a fixed rate, independent of earlier responses, and prints the outcomes.",
      "Latency is measured from the scheduled send time (corrected for coordinated omission)."
    },
    footer = {
      "",
      "Exit status: 0 for success, 1 if a request had no response or a wrong one, 2 for invalid arguments."
    })
final class LoadCommand implements Callable<Integer> {
  @Parameters(paramLabel = "IP:PORT", description = "Target address; loopback only.")
  private String target;

  @Option(
      names = "--rate",
      defaultValue = "100",
      description = "Requests per second, at most 1000000.")
  private double rate;

  @Option(
      names = "--seconds",
      defaultValue = "10",
      description = "Duration of the measurement in seconds, at most 3600.")
  private double seconds;

  @Option(
      names = "--warm-up",
      defaultValue = "0",
      description = "Duration of the load before the measurement in seconds, at most 3600.")
  private double warmUp;

  @Option(
      names = "--connections",
      defaultValue = "64",
      description = "Maximum number of connections.")
  private int connections;

  @Option(
      names = "--threads",
      defaultValue = "1",
      description = "Number of sending threads, at most 64.")
  private int threads;

  @Option(names = "--method", defaultValue = "GET", description = "HTTP method of the requests.")
  private String method;

  @Option(names = "--path", defaultValue = "/", description = "Path of the requests.")
  private String path;

  @Option(
      names = "--header",
      description = "Header line of the requests, as NAME: VALUE; may be repeated.")
  private List<String> headers = new ArrayList<>();

  @Option(
      names = "--body-bytes",
      defaultValue = "0",
      description = "Length of the request body in bytes.")
  private int bodyBytes;

  @Option(
      names = "--deadline-ms",
      defaultValue = "5000",
      description = "Timeout of a response in milliseconds.")
  private long deadlineMs;

  @Option(names = "--json", description = "Prints the result as JSON on standard output.")
  private boolean json;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() throws InterruptedException, JsonProcessingException {
    InetSocketAddress address = Addresses.parse(target);
    if (address == null || !address.getAddress().isLoopbackAddress()) {
      throw new CommandLine.ParameterException(
          spec.commandLine(), "target: " + target + " (expected: IP:PORT on loopback)");
    }
    if (!(rate > 0
        && rate <= 1e6
        && seconds > 0
        && seconds <= 3_600
        && warmUp >= 0
        && warmUp <= 3_600
        && connections > 0
        && threads > 0
        && threads <= 64)) {
      throw new CommandLine.ParameterException(
          spec.commandLine(),
          "--rate, --seconds, --connections, --threads (expected: above 0 and at most 1000000, 3600, any number, 64); "
              + "--warm-up (expected: 0 to 3600)");
    }
    StringBuilder headerLines = new StringBuilder();
    headers.forEach(h -> headerLines.append(h).append("\r\n"));
    LoadGenerator.RequestKind kind =
        new LoadGenerator.RequestKind(
            "all", 1, method, path, headerLines.toString(), bodyBytes, deadlineMs);
    LoadGenerator.Plan plan =
        new LoadGenerator.Plan(
            address,
            rate,
            warmUp,
            seconds,
            connections,
            threads,
            List.of(kind),
            "load-" + Long.toHexString(System.nanoTime()) + "-");
    try (LoadGenerator load = new LoadGenerator(plan, null)) {
      load.start();
      ProgressLine progress = new ProgressLine();
      Thread progressThread =
          progress.start(
              () ->
                  load.completed()
                      + " of "
                      + (long) (rate * (warmUp + seconds))
                      + " requests completed");
      load.await();
      progress.stop(progressThread);
      Map<String, Object> result = summarize(load);
      if (json) {
        System.out.println(new ObjectMapper().writeValueAsString(result));
      } else {
        result.forEach((k, v) -> System.out.printf(Locale.ROOT, "%-14s %s%n", k, v));
      }
      return load.count(LoadGenerator.Outcome.UNANSWERED) + load.count(LoadGenerator.Outcome.WRONG)
              > 0
          ? 1
          : 0;
    }
  }

  private Map<String, Object> summarize(LoadGenerator load) {
    Histogram latencies = load.served(0);
    Map<String, Object> result = new LinkedHashMap<>();
    result.put("sent", load.sent());
    for (LoadGenerator.Outcome outcome : LoadGenerator.Outcome.values()) {
      result.put(outcome.name().toLowerCase(Locale.ROOT), load.count(outcome));
    }
    result.put("per_second", Math.round(load.servedPerSecond()));
    result.put("p50_ms", percentileMillis(latencies, 50));
    result.put("p99_ms", percentileMillis(latencies, 99));
    result.put("p99_9_ms", percentileMillis(latencies, 99.9));
    result.put(
        "max_ms",
        latencies.getTotalCount() == 0 ? 0 : Math.round(latencies.getMaxValue() / 1e3) / 1e3);
    return result;
  }

  private static double percentileMillis(Histogram latencies, double percentile) {
    return latencies.getTotalCount() == 0
        ? 0
        : Math.round(latencies.getValueAtPercentile(percentile) / 1e3) / 1e3;
  }
}
