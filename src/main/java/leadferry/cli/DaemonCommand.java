package leadferry.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import leadferry.daemon.ConfigurationException;
import leadferry.daemon.Daemon;
import leadferry.daemon.DaemonLog;
import leadferry.engine.Signals;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(
    name = "daemon",
    mixinStandardHelpOptions = true,
    description = "Runs the daemon by the operator's file, until SIGTERM has been carried out.",
    footer = {
      "",
      "SIGHUP reads the file again: the whole of it comes into force, or nothing.",
      "Exit status: 0 drained, 2 the file is faulty or a listener can't be had."
    })
final class DaemonCommand implements Callable<Integer> {
  @Option(
      names = "--config",
      required = true,
      paramLabel = "FILE",
      description = "The operator's file.")
  private Path file;

  @Option(
      names = {"--new-replica", "--new-keeper"},
      description =
          "The replica that the file names never had a log: an empty folder becomes its own.")
  private boolean freshKeeper;

  private DaemonLog log;

  @Override
  public Integer call() throws InterruptedException {
    Daemon daemon;
    try {
      daemon = new Daemon(file, freshKeeper, form -> log = DaemonLog.onStandardError(form));
    } catch (ConfigurationException e) {
      System.err.println(e.getMessage());
      return 2;
    }
    if (!Signals.onHangup(() -> reload(daemon))) {
      log.line("SIGHUP can't be handled here: a new file needs a restart");
    }
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  daemon.drain();
                  try {
                    daemon.awaitTermination();
                  } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                  }
                  log.close();
                  // An exit by SIGTERM is status 143 to the JVM, and a drain that is done is a
                  // success.
                  Runtime.getRuntime().halt(0);
                },
                "drain"));
    log.line("ready");
    daemon.awaitTermination();
    return 0;
  }

  /** On a thread of its own: the JVM's signal thread must stay free for the next signal. */
  private static void reload(Daemon daemon) {
    Thread t = new Thread(daemon::reload, "reload");
    t.setDaemon(true);
    t.start();
  }
}
