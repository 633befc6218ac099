package leadferry.proxy;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.util.Map;
import leadferry.engine.BackgroundWriter;
import leadferry.engine.LineLog;
import leadferry.engine.Log;
import leadferry.engine.Signals;

/** The platform's process: one proxy, its log, its management address and its signals. */
public final class ProxyProcess {
  /** Logs each request and attempt that failed and each connection closed, where it is 1. */
  private static final String LOG_DETAILS_VARIABLE = "BALANCER_LOG_DETAILS";

  private static final String LOCK_FOLDER_VARIABLE = "TMPDIR";

  /** How long the end waits for the last lines of the log to be written. */
  private static final long LOG_FLUSH_TIMEOUT_MILLIS = 50;

  private ProxyProcess() {}

  /**
   * Runs a client proxy as the environment describes it, until SIGTERM has been carried out.
   *
   * @throws ConfigException if there is no configuration to run with
   */
  public static void run(Map<String, String> environment) throws ConfigException {
    useJdkLogger();
    BackgroundWriter writer = new BackgroundWriter(System.err);
    Log log = new LineLog(writer::write, "1".equals(environment.get(LOG_DETAILS_VARIABLE)));
    Config config = Config.load(environment);
    HotRestart hotRestart = HotRestart.join(environment.get(LOCK_FOLDER_VARIABLE));
    OperatorState operatorState = new OperatorState();
    if (config.management() != null) {
      // Before the warm-up: operators are answered while the process still starts.
      listenForOperators(config, operatorState, log);
    }
    WarmUp.run(config, hotRestart.readOtherProcesses() != null, log);
    Proxy proxy = new Proxy(config, operatorState, hotRestart, log);
    reloadOnHangup(proxy, environment.get(Config.FILE_VARIABLE), log);
    // Guards what is taken in the first moment: a SIGTERM without a hook ends the process at once.
    Runtime.getRuntime().addShutdownHook(new Thread(() -> terminate(proxy, writer), "drain"));
    proxy.start();
    proxy.awaitEnd();
  }

  /** Runs only what comes before a client proxy listens, with classes of its own. */
  public static void warmUp() {
    useJdkLogger();
    WarmUp.run(Config.example(), false, new LineLog(System.err, false));
  }

  /** Guards against the loading of the daemon's log, which Netty takes by itself. */
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
          "SIGHUP is ignored in this process: the configuration's time and size are looked at in its place");
      proxy.watch(file);
    }
  }

  /** Carries out SIGTERM; a drain that is done is a success, and not the JVM's status 143. */
  private static void terminate(Proxy proxy, BackgroundWriter writer) {
    if (proxy.awaitStart()) {
      proxy.drain();
      proxy.awaitEnd();
      writer.flush(LOG_FLUSH_TIMEOUT_MILLIS);
      Runtime.getRuntime().halt(0);
    }
  }
}
