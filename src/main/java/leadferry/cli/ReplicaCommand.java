package leadferry.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import leadferry.consensus.Replica;
import leadferry.consensus.ReplicaConfig;
import leadferry.daemon.ConfigurationException;
import leadferry.daemon.DaemonLog;
import leadferry.daemon.LogFormat;
import leadferry.daemon.ReplicaFile;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs one replica of the fleet's control state until SIGTERM. */
@Command(
    name = "replica",
    aliases = "keeper",
    mixinStandardHelpOptions = true,
    description =
        "Runs one replica of the control state of a fleet with a configuration file, until SIGTERM.",
    footer = {
      "",
      "Exit status: 0 after SIGTERM, 1 after a failure that the log describes, 2 for an invalid file or an unusable folder or address."
    })
final class ReplicaCommand implements Callable<Integer> {
  private static final int EXIT_STOPPED = 0;
  private static final int EXIT_FAILED = 1;
  private static final int EXIT_INVALID_CONFIG = 2;

  @Option(
      names = "--config",
      required = true,
      paramLabel = "FILE",
      description = "Configuration file of the replica.")
  private Path configFile;

  @Option(
      names = "--new",
      description = "Initializes the log folder of a new replica; the folder must be empty.")
  private boolean newReplica;

  @Option(
      names = "--log",
      defaultValue = "text",
      description = "Format of the log, one of ${COMPLETION-CANDIDATES}.")
  private LogFormat form;

  private final CountDownLatch failed = new CountDownLatch(1);

  @Override
  public Integer call() throws InterruptedException {
    ReplicaConfig config;
    try {
      config = ReplicaFile.read(configFile);
    } catch (ConfigurationException e) {
      System.err.println(e.getMessage());
      return EXIT_INVALID_CONFIG;
    }
    DaemonLog log = DaemonLog.onStandardError(form);
    Replica replica = start(config, log);
    if (replica == null) {
      return EXIT_INVALID_CONFIG;
    }
    Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(replica, log), "end"));
    log.line("ready");
    failed.await();
    return EXIT_FAILED;
  }

  /** Starts the replica. Returns null after a failure, which is printed on standard error. */
  private Replica start(ReplicaConfig config, DaemonLog log) {
    try {
      return new Replica(config, newReplica, log::line, failure -> onFailure(failure, log));
    } catch (NoClassDefFoundError e) {
      log.close();
      System.err.println(
          "replica: "
              + e.getMessage()
              + " (expected: -cp 'target/leadferry.jar:target/lib/*' leadferry.Main replica ...)");
    } catch (IOException | RuntimeException e) {
      log.close();
      System.err.println("replica " + config.name() + ": " + e.getMessage());
    }
    return null;
  }

  private void onFailure(Throwable failure, DaemonLog log) {
    log.failure("replica failed", failure);
    failed.countDown();
  }

  private void shutDown(Replica replica, DaemonLog log) {
    try {
      replica.close();
    } catch (IOException e) {
      log.failure("replica shutdown failed", e);
    }
    log.close();
    Runtime.getRuntime().halt(failed.getCount() == 0 ? EXIT_FAILED : EXIT_STOPPED);
  }
}
