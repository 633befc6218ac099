package leadferry.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import leadferry.consensus.Replica;
import leadferry.consensus.ReplicaConfig;
import leadferry.daemon.ConfigurationException;
import leadferry.daemon.DaemonLog;
import leadferry.daemon.LogForm;
import leadferry.daemon.ReplicaFile;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(
    name = "replica",
    aliases = "keeper",
    mixinStandardHelpOptions = true,
    description = "Runs one of the keepers of the fleet's ledger by its file, until SIGTERM.",
    footer = {
      "",
      "Exit status: 0 ended, 1 it could not go on (the log says why), 2 the file is faulty, or a folder or address can't be had."
    })
final class ReplicaCommand implements Callable<Integer> {
  @Option(
      names = "--config",
      required = true,
      paramLabel = "FILE",
      description = "The keeper's file.")
  private Path file;

  @Option(
      names = "--new",
      description = "This keeper never had a log: an empty folder becomes its own.")
  private boolean fresh;

  @Option(names = "--log", defaultValue = "text", description = "${COMPLETION-CANDIDATES}.")
  private LogForm form;

  @Override
  public Integer call() throws InterruptedException {
    ReplicaConfig config;
    try {
      config = ReplicaFile.read(file);
    } catch (ConfigurationException e) {
      System.err.println(e.getMessage());
      return 2;
    }
    DaemonLog log = DaemonLog.onStandardError(form);
    CountDownLatch broken = new CountDownLatch(1);
    Replica keeper;
    try {
      keeper =
          new Replica(
              config,
              fresh,
              log::line,
              t -> {
                log.failure("this keeper can't go on", t);
                broken.countDown();
              });
    } catch (NoClassDefFoundError e) {
      log.close();
      System.err.println(
          "replica: "
              + e.getMessage()
              + " (expected: -cp 'target/leadferry.jar:target/lib/*' leadferry.Main replica ...)");
      return 2;
    } catch (IOException | RuntimeException e) {
      log.close();
      System.err.println("replica " + config.name() + ": " + e.getMessage());
      return 2;
    }
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  try {
                    keeper.close();
                  } catch (IOException e) {
                    log.failure("the end of the keeper", e);
                  }
                  log.close();
                  Runtime.getRuntime().halt(broken.getCount() == 0 ? 1 : 0);
                },
                "end"));
    log.line("ready");
    broken.await();
    return 1;
  }
}
