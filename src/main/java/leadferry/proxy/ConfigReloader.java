package leadferry.proxy;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import leadferry.engine.Log;
import leadferry.loadbalancer.Settings;

/**
 * Holds the configuration in force and replaces it when its file changes. A reload applies the
 * settings, the limits of upstream connections and the address of discovery; any other change takes
 * a restart. Guards against a file that is invalid or still being written: the file is read again
 * for a while, and none of its values is applied unless the whole file is valid. Confined to the
 * event loop, except for {@link #reload} and {@link #watch}.
 */
final class ConfigReloader {
  /**
   * Number of attempts, {@link #RETRY_MILLIS} apart, to read an invalid file, which may be half
   * written.
   */
  private static final int MAX_ATTEMPTS = 10;

  private static final long RETRY_MILLIS = 150;

  private final EventLoop loop;
  private final PlatformRequestFilter requestFilter;
  private final Log log;
  private final Consumer<Config> onReload;
  private Config config;
  private Future<?> scheduledRetry;
  private volatile WatchedFile watchedFile;

  /**
   * Creates a reloader that passes the configuration in force to {@code onReload} after each
   * reload.
   */
  ConfigReloader(
      EventLoop loop,
      Config config,
      PlatformRequestFilter requestFilter,
      Log log,
      Consumer<Config> onReload) {
    this.loop = loop;
    this.config = config;
    this.requestFilter = requestFilter;
    this.log = log;
    this.onReload = onReload;
  }

  /** Returns the configuration in force. */
  Config config() {
    return config;
  }

  /** Reloads whenever the file changes from now on. */
  void watch(Path file) {
    watchedFile = new WatchedFile(file);
  }

  /** Reloads if a file is watched and has changed since the last call. */
  void reloadIfChanged() {
    WatchedFile watched = watchedFile;
    if (watched != null && watched.hasChanged()) {
      reload(watched.file());
    }
  }

  /** Reads the file and applies its changes. Cancels the pending retry of an earlier reload. */
  void reload(Path file) {
    loop.execute(
        () -> {
          if (scheduledRetry != null) {
            scheduledRetry.cancel(false);
          }
          attempt(file, MAX_ATTEMPTS);
        });
  }

  private void attempt(Path file, int attemptsLeft) {
    scheduledRetry = null;
    try {
      apply(config.loadReplacement(file));
    } catch (ConfigException | RuntimeException e) {
      if (attemptsLeft > 1) {
        scheduledRetry =
            loop.schedule(
                () -> attempt(file, attemptsLeft - 1), RETRY_MILLIS, TimeUnit.MILLISECONDS);
      } else {
        log.line("configuration not reloaded: " + e.getMessage());
      }
    }
  }

  private void apply(Config next) {
    if (!next.settings().equals(config.settings())) {
      apply(next.settings());
    }
    config = config.withReloadableSettings(next);
    onReload.accept(config);
  }

  /**
   * Applies new settings. Clients may not know them yet: the replaced settings are respected too
   * for {@link RequestPolicyResolver#TRANSITION_MILLIS}.
   */
  private void apply(Settings next) {
    requestFilter.applySettings(next);
    log.line("new settings in force");
    loop.schedule(
        requestFilter::endOldestSettingsTransition,
        RequestPolicyResolver.TRANSITION_MILLIS,
        TimeUnit.MILLISECONDS);
  }
}
