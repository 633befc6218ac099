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

/** Runs one replica of the fleet's agreed state until SIGTERM. */
@Command(
    name = "replica",
    aliases = "keeper",
    mixinStandardHelpOptions = true,
    description = "Runs one replica of the fleet's agreed state by its file, until SIGTERM.",
    footer = {
      "",
      "Exit status: 0 ended, 1 it could not go on (the log says why), 2 the file is faulty, or a folder or address can't be had."
    })
final class ReplicaCommand implements Callable<Integer> {
  private static final int ENDED = 0;
  private static final int COULD_NOT_GO_ON = 1;
  private static final int FAULTY_FILE_OR_PLACE = 2;

  @Option(
      names = "--config",
      required = true,
      paramLabel = "FILE",
      description = "The replica's file.")
  private Path file;

  @Option(
      names = "--new",
      description = "This replica never had a log: an empty folder becomes its own.")
  private boolean fresh;

  @Option(names = "--log", defaultValue = "text", description = "${COMPLETION-CANDIDATES}.")
  private LogFormat form;

  private final CountDownLatch broken = new CountDownLatch(1);

  @Override
  public Integer call() throws InterruptedException {
    ReplicaConfig config;
    try {
      config = ReplicaFile.read(file);
    } catch (ConfigurationException e) {
      System.err.println(e.getMessage());
      return FAULTY_FILE_OR_PLACE;
    }
    DaemonLog log = DaemonLog.onStandardError(form);
    Replica replica = start(config, log);
    if (replica == null) {
      return FAULTY_FILE_OR_PLACE;
    }
    Runtime.getRuntime().addShutdownHook(new Thread(() -> end(replica, log), "end"));
    log.line("ready");
    broken.await();
    return COULD_NOT_GO_ON;
  }

  /** The replica, or null where standard error tells why it can't start. */
  private Replica start(ReplicaConfig config, DaemonLog log) {
    try {
      return new Replica(config, fresh, log::line, failure -> giveUp(failure, log));
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

  private void giveUp(Throwable failure, DaemonLog log) {
    log.failure("this replica can't go on", failure);
    broken.countDown();
  }

  private void end(Replica replica, DaemonLog log) {
    try {
      replica.close();
    } catch (IOException e) {
      log.failure("the end of the replica", e);
    }
    log.close();
    Runtime.getRuntime().halt(broken.getCount() == 0 ? COULD_NOT_GO_ON : ENDED);
  }
}
