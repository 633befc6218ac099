package leadferry.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import leadferry.daemon.ConfigurationException;
import leadferry.daemon.Daemon;
import leadferry.daemon.DaemonLog;
import leadferry.engine.Signals;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs the daemon until SIGTERM, and reloads its configuration on SIGHUP. */
@Command(
    name = "daemon",
    mixinStandardHelpOptions = true,
    description =
        "Runs the daemon with a configuration file. SIGTERM drains the daemon and ends it.",
    footer = {
      "",
      "SIGHUP reloads the configuration file. A file with an error is rejected as a whole.",
      "Exit status: 0 after a drain, 2 for an invalid configuration file or a listener that cannot be bound, 70 after the end of an event loop."
    })
final class DaemonCommand implements Callable<Integer> {
  /** Exit status of a process one of whose event loops has ended. */
  private static final int EXIT_LOOP_ENDED = 70;

  @Option(
      names = "--config",
      required = true,
      paramLabel = "FILE",
      description = "Configuration file of the daemon.")
  private Path configFile;

  @Option(
      names = {"--new-replica", "--new-keeper"},
      description =
          "Initializes the log folder of a new replica that the file names; the folder must be empty.")
  private boolean newReplica;

  private DaemonLog log;

  @Override
  public Integer call() throws InterruptedException {
    Daemon daemon;
    try {
      daemon = new Daemon(configFile, newReplica, form -> log = DaemonLog.onStandardError(form));
    } catch (ConfigurationException e) {
      System.err.println(e.getMessage());
      return 2;
    }
    daemon.onLoopEnded(this::exitWithoutLoop);
    if (!Signals.onHangup(() -> reload(daemon))) {
      log.line(
          "SIGHUP handler not installed: the platform has no SIGHUP or the parent process ignores it; restart the daemon to change the configuration");
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
                  // The JVM exits with status 143 after SIGTERM. A completed drain is a
                  // success and must exit with status 0.
                  Runtime.getRuntime().halt(0);
                },
                "drain"));
    log.line("ready");
    daemon.awaitTermination();
    return 0;
  }

  /** Ends the process: part of its clients would be served no more. */
  private void exitWithoutLoop() {
    log.line("event loop ended: the process exits");
    log.close();
    Runtime.getRuntime().halt(EXIT_LOOP_ENDED);
  }

  /**
   * Reloads on a new thread, because the JVM's signal thread must stay free for the next signal.
   */
  private static void reload(Daemon daemon) {
    Thread thread = new Thread(daemon::reload, "reload");
    thread.setDaemon(true);
    thread.start();
  }
}
