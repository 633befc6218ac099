package leadferry.proxy;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import leadferry.engine.Log;
import leadferry.loadbalancer.Settings;

/**
 * The configuration in force, and its replacement by what its file says anew: settings, bounds of
 * connections, and the address of discovery; all else takes a restart. Guards against a file that
 * is faulty or still being written: it is read again for a while, and nothing of it is taken if it
 * never becomes sound. Confined to the event loop, but for {@link #reload} and {@link #watch}.
 */
final class ConfigReloader {
  /** A file that can't be read may be half written: it is read so often, so far apart. */
  private static final int MAX_ATTEMPTS = 10;

  private static final long RETRY_MILLIS = 150;

  private final EventLoop loop;
  private final PlatformRequestFilter requestFilter;
  private final Log log;
  private final Consumer<Config> onReload;
  private Config config;
  private Future<?> scheduledRetry;
  private Future<?> scheduledTransitionEnd;
  private volatile WatchedFile watchedFile;

  /** {@code onReload} gets the configuration that is in force after each reload. */
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

  /** The configuration in force. */
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

  /** Reads the file and takes what is new, in place of a reload that is being retried. */
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
        log.line("configuration kept as it was: " + e.getMessage());
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

  /** Other settings from now on; for a while, clients may not know it. */
  private void apply(Settings next) {
    requestFilter.applySettings(next);
    log.line("other settings in force");
    if (scheduledTransitionEnd != null) {
      scheduledTransitionEnd.cancel(false);
    }
    scheduledTransitionEnd =
        loop.schedule(
            requestFilter::endSettingsTransition,
            RequestClassResolver.TRANSITION_MILLIS,
            TimeUnit.MILLISECONDS);
  }
}
