package leadferry.cli;

import java.util.concurrent.Callable;
import leadferry.testbed.ExecutionLog;
import leadferry.testbed.FakeUpstream;
import leadferry.testbed.MinimalFakeUpstream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(
    name = "fake-upstream",
    aliases = "standin",
    mixinStandardHelpOptions = true,
    description = "Runs an HTTP host on loopback that can be made to misbehave, for trials.",
    footer = {"", "Exit status: 0 at its end, 2 for faulty arguments."})
final class FakeUpstreamCommand implements Callable<Integer> {
  private static final int LEDGER = 1_000_000;

  @Option(names = "--port", defaultValue = "0", description = "Port on 127.0.0.1; 0 takes any.")
  private int port;

  @Option(names = "--name", defaultValue = "standin", description = "The host's name.")
  private String name;

  @Option(
      names = "--service-ms",
      defaultValue = "5",
      description = "Mean time of a request (ms); 0 answers at once.")
  private double serviceMs;

  @Option(names = "--cores", defaultValue = "3", description = "Requests that run at once.")
  private int cores;

  @Option(names = "--queue", defaultValue = "100", description = "Requests that wait at most.")
  private int queue;

  @Option(names = "--warm-up-ms", defaultValue = "0", description = "Time to full speed (ms).")
  private double warmUpMs;

  @Option(
      names = "--start-capacity",
      defaultValue = "0.3",
      description = "Part of its speed at the start.")
  private double startCapacity;

  @Option(
      names = "--max-connections",
      defaultValue = "10000",
      description = "Connections it holds.")
  private int maxConnections;

  @Option(names = "--reports", description = "Tell its load in X-Server-Load.")
  private boolean reports;

  @Option(names = "--body-bytes", defaultValue = "64", description = "Length of an answer.")
  private int bodyBytes;

  @Option(names = "--fault", defaultValue = "none", description = "${COMPLETION-CANDIDATES}.")
  private FakeUpstream.Fault fault;

  @Option(
      names = "--fault-share",
      defaultValue = "1",
      description = "Part of requests that meet the fault.")
  private double share;

  @Option(
      names = "--seconds",
      defaultValue = "0",
      description = "Ends after so long; 0 with SIGTERM.")
  private double seconds;

  @Override
  public Integer call() throws InterruptedException {
    if (serviceMs <= 0 && fault == FakeUpstream.Fault.NONE && !reports) {
      // Nothing to imitate: as quick as sockets are, so that it is not what a measurement measures.
      try (MinimalFakeUpstream host = new MinimalFakeUpstream(name, port, bodyBytes)) {
        System.out.println(name + " at " + host.hostAndPort());
        Thread.sleep(seconds > 0 ? (long) (seconds * 1e3) : Long.MAX_VALUE);
        System.out.println(name + ": " + host.responsesSent() + " answered");
      }
      return 0;
    }
    ExecutionLog ledger = new ExecutionLog(LEDGER);
    FakeUpstream.Options o =
        new FakeUpstream.Options(
            name,
            "p1",
            port,
            serviceMs,
            cores,
            queue,
            warmUpMs,
            startCapacity,
            maxConnections,
            reports,
            bodyBytes,
            1);
    try (FakeUpstream host = new FakeUpstream(o, ledger)) {
      host.setFault(fault, share);
      System.out.println(host.name() + " at " + host.hostAndPort());
      Thread.sleep(seconds > 0 ? (long) (seconds * 1e3) : Long.MAX_VALUE);
      System.out.println(
          host.name()
              + ": "
              + ledger.executionCount()
              + " ran, "
              + ledger.repeatedIds().size()
              + " more than once");
    }
    return 0;
  }
}
