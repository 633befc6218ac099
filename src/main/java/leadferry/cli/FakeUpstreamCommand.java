package leadferry.cli;

import java.util.concurrent.Callable;
import leadferry.testbed.ExecutionLog;
import leadferry.testbed.FakeUpstream;
import leadferry.testbed.MinimalFakeUpstream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a {@link FakeUpstream} until a time limit or SIGTERM. */
@Command(
    name = "fake-upstream",
    aliases = "standin",
    mixinStandardHelpOptions = true,
    description = "Runs a fake upstream HTTP server on loopback that can inject faults, for tests.",
    footer = {"", "Exit status: 0 after the time limit, 2 for invalid arguments."})
final class FakeUpstreamCommand implements Callable<Integer> {
  private static final int MAX_RECORDED_EXECUTIONS = 1_000_000;

  @Option(
      names = "--port",
      defaultValue = "0",
      description = "Port on 127.0.0.1; 0 selects a free port.")
  private int port;

  @Option(names = "--name", defaultValue = "standin", description = "Name of the upstream.")
  private String name;

  @Option(
      names = "--service-ms",
      defaultValue = "5",
      description = "Mean service time of a request in milliseconds; 0 responds immediately.")
  private double serviceMs;

  @Option(
      names = "--cores",
      defaultValue = "3",
      description = "Maximum number of requests that run concurrently.")
  private int cores;

  @Option(
      names = "--queue",
      defaultValue = "100",
      description = "Maximum number of queued requests.")
  private int queue;

  @Option(
      names = "--warm-up-ms",
      defaultValue = "0",
      description = "Time from the start to full capacity in milliseconds.")
  private double warmUpMs;

  @Option(
      names = "--start-capacity",
      defaultValue = "0.3",
      description = "Share of full capacity at the start, 0 to 1.")
  private double startCapacity;

  @Option(
      names = "--max-connections",
      defaultValue = "10000",
      description = "Maximum number of open connections.")
  private int maxConnections;

  @Option(
      names = "--reports",
      description = "Reports the load in the response header X-Server-Load.")
  private boolean reportsLoad;

  @Option(
      names = "--body-bytes",
      defaultValue = "64",
      description = "Length of a response body in bytes.")
  private int bodyBytes;

  @Option(
      names = "--fault",
      defaultValue = "none",
      description = "Injected fault, one of ${COMPLETION-CANDIDATES}.")
  private FakeUpstream.Fault fault;

  @Option(
      names = "--fault-share",
      defaultValue = "1",
      description = "Share of requests that the fault affects, 0 to 1.")
  private double share;

  @Option(
      names = "--seconds",
      defaultValue = "0",
      description = "Time limit in seconds; 0 runs until SIGTERM.")
  private double seconds;

  @Override
  public Integer call() throws InterruptedException {
    if (serviceMs <= 0 && fault == FakeUpstream.Fault.NONE && !reportsLoad) {
      // No service time, fault or load report to simulate: the minimal server is as fast as its
      // sockets, which keeps the upstream from limiting a measurement.
      try (MinimalFakeUpstream upstream = new MinimalFakeUpstream(name, port, bodyBytes)) {
        System.out.println(name + " at " + upstream.hostAndPort());
        Thread.sleep(seconds > 0 ? (long) (seconds * 1e3) : Long.MAX_VALUE);
        System.out.println(name + ": " + upstream.responsesSent() + " responses sent");
      }
      return 0;
    }
    ExecutionLog executionLog = new ExecutionLog(MAX_RECORDED_EXECUTIONS);
    FakeUpstream.Options options =
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
            reportsLoad,
            bodyBytes,
            1);
    try (FakeUpstream upstream = new FakeUpstream(options, executionLog)) {
      upstream.setFault(fault, share);
      System.out.println(upstream.name() + " at " + upstream.hostAndPort());
      Thread.sleep(seconds > 0 ? (long) (seconds * 1e3) : Long.MAX_VALUE);
      System.out.println(
          upstream.name()
              + ": "
              + executionLog.executionCount()
              + " executions, "
              + executionLog.repeatedIds().size()
              + " requests executed more than once");
    }
    return 0;
  }
}
