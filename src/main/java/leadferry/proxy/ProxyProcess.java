package leadferry.proxy;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.util.Map;
import leadferry.engine.BackgroundWriter;
import leadferry.engine.ErrorContainment;
import leadferry.engine.LineLog;
import leadferry.engine.Log;
import leadferry.engine.Signals;

/** Process of the platform: runs one proxy with its log, management server and signal handlers. */
public final class ProxyProcess {
  /**
   * Variable that, set to 1, enables log lines for each failed request, failed attempt and closed
   * connection.
   */
  private static final String LOG_DETAILS_VARIABLE = "BALANCER_LOG_DETAILS";

  private static final String LOCK_FOLDER_VARIABLE = "TMPDIR";

  /** Maximum time for which the exit waits for the last log lines to be written. */
  private static final long LOG_FLUSH_TIMEOUT_MILLIS = 50;

  /** Exit status of a process whose event loop has ended. */
  private static final int EXIT_LOOP_ENDED = 70;

  private ProxyProcess() {}

  /**
   * Runs a client proxy, configured by the environment, until SIGTERM has been handled.
   *
   * @throws ConfigException if there is no valid configuration, or the proxy can't start with it
   */
  public static void run(Map<String, String> environment) throws ConfigException {
    useJdkLogger();
    BackgroundWriter writer = new BackgroundWriter(System.err);
    Log log = new LineLog(writer::write, "1".equals(environment.get(LOG_DETAILS_VARIABLE)));
    Config config = Config.load(environment);
    HotRestart hotRestart = HotRestart.join(environment.get(LOCK_FOLDER_VARIABLE));
    OperatorState operatorState = new OperatorState();
    if (config.management() != null) {
      // Starts before the warm-up: operators get responses while the process is still starting.
      listenForOperators(config, operatorState, log);
    }
    WarmUp.run(config, hotRestart.readOtherProcesses() != null, log);
    Proxy proxy = new Proxy(config, operatorState, hotRestart, log);
    ErrorContainment.onLoopEnded(proxy.loop(), proxy::hasEnded, () -> exitWithoutLoop(log, writer));
    reloadOnHangup(proxy, environment.get(Config.FILE_VARIABLE), log);
    // Guards requests accepted right after the start: without a hook, SIGTERM ends the process at
    // once.
    Runtime.getRuntime().addShutdownHook(new Thread(() -> terminate(proxy, writer), "drain"));
    proxy.start();
    proxy.awaitEnd();
  }

  /** Runs only the warm-up that precedes a client proxy, with example classes. */
  public static void warmUp() {
    useJdkLogger();
    WarmUp.run(Config.example(), false, new LineLog(System.err, false));
  }

  /** Guards against loading the daemon's logging library, which Netty selects by default. */
  private static void useJdkLogger() {
    InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
  }

  private static void listenForOperators(Config config, OperatorState operatorState, Log log)
      throws ConfigException {
    ManagementServer management =
        new ManagementServer(
            operatorState::isReady, operatorState::drain, operatorState::activate, log);
    try {
      management.listen(config.management());
    } catch (Exception e) {
      throw new ConfigException("can't listen on " + config.management() + ": " + e.getMessage());
    }
  }

  private static void reloadOnHangup(Proxy proxy, String file, Log log) {
    if (!Signals.onHangup(() -> proxy.reload(file))) {
      log.line(
          "SIGHUP is ignored in this process: polling the time and size of the configuration file instead");
      proxy.watch(file);
    }
  }

  private static void exitWithoutLoop(Log log, BackgroundWriter writer) {
    log.line("event loop ended: nothing is served any more, the process exits");
    writer.flush(LOG_FLUSH_TIMEOUT_MILLIS);
    Runtime.getRuntime().halt(EXIT_LOOP_ENDED);
  }

  /** Handles SIGTERM. A completed drain exits with status 0, in place of the JVM's 143. */
  private static void terminate(Proxy proxy, BackgroundWriter writer) {
    if (proxy.awaitStart()) {
      proxy.drain();
      proxy.awaitEnd();
      writer.flush(LOG_FLUSH_TIMEOUT_MILLIS);
      Runtime.getRuntime().halt(0);
    }
  }
}
