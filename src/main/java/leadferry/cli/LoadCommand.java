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

@Command(
    name = "load",
    mixinStandardHelpOptions = true,
    description = {
      "Sends requests at a set rate, whatever becomes of those before, and tells what came back.",
      "A request's time counts from when it was due (corrected for coordinated omission)."
    },
    footer = {
      "",
      "Exit status: 0 done, 1 some requests had no answer or a wrong one, 2 faulty arguments."
    })
final class LoadCommand implements Callable<Integer> {
  @Parameters(paramLabel = "IP:PORT", description = "Where to send; loopback only.")
  private String target;

  @Option(names = "--rate", defaultValue = "100", description = "Requests a second.")
  private double rate;

  @Option(names = "--seconds", defaultValue = "10", description = "How long, at most 3600.")
  private double seconds;

  @Option(
      names = "--warm-up",
      defaultValue = "0",
      description = "Seconds of load before any is counted.")
  private double warmUp;

  @Option(names = "--connections", defaultValue = "64", description = "Connections at most.")
  private int connections;

  @Option(names = "--threads", defaultValue = "1", description = "Threads that send.")
  private int threads;

  @Option(names = "--method", defaultValue = "GET", description = "The method.")
  private String method;

  @Option(names = "--path", defaultValue = "/", description = "The path.")
  private String path;

  @Option(names = "--header", description = "A header line, NAME: VALUE; may be repeated.")
  private List<String> headers = new ArrayList<>();

  @Option(names = "--body-bytes", defaultValue = "0", description = "Length of the body.")
  private int bodyBytes;

  @Option(
      names = "--deadline-ms",
      defaultValue = "5000",
      description = "How long an answer is waited for.")
  private long deadlineMs;

  @Option(names = "--json", description = "The result as JSON on standard output.")
  private boolean json;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() throws InterruptedException, JsonProcessingException {
    InetSocketAddress to = Addresses.parse(target);
    if (to == null || !to.getAddress().isLoopbackAddress()) {
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
          "rate, seconds, connections, threads (expected: above 0; at most 1000000, 3600, any, 64)");
    }
    StringBuilder lines = new StringBuilder();
    headers.forEach(h -> lines.append(h).append("\r\n"));
    LoadGenerator.RequestKind kind =
        new LoadGenerator.RequestKind(
            "all", 1, method, path, lines.toString(), bodyBytes, deadlineMs);
    LoadGenerator.Plan plan =
        new LoadGenerator.Plan(
            to,
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
      Thread shown =
          progress.start(
              () -> load.completed() + " of " + (long) (rate * (warmUp + seconds)) + " over");
      load.await();
      progress.stop(shown);
      Map<String, Object> result = result(load);
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

  private Map<String, Object> result(LoadGenerator load) {
    Histogram h = load.served(0);
    Map<String, Object> out = new LinkedHashMap<>();
    out.put("sent", load.sent());
    for (LoadGenerator.Outcome o : LoadGenerator.Outcome.values()) {
      out.put(o.name().toLowerCase(Locale.ROOT), load.count(o));
    }
    out.put("per_second", Math.round(load.servedPerSecond()));
    out.put("p50_ms", ms(h, 50));
    out.put("p99_ms", ms(h, 99));
    out.put("p99_9_ms", ms(h, 99.9));
    out.put("max_ms", h.getTotalCount() == 0 ? 0 : Math.round(h.getMaxValue() / 1e3) / 1e3);
    return out;
  }

  private static double ms(Histogram h, double percentile) {
    return h.getTotalCount() == 0 ? 0 : Math.round(h.getValueAtPercentile(percentile) / 1e3) / 1e3;
  }
}
