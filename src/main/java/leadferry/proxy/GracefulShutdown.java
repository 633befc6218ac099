package leadferry.proxy;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import leadferry.engine.Log;
import leadferry.engine.SocketSlack;
import leadferry.http.HttpServer;
import leadferry.loadbalancer.Settings;

/**
 * The drain after SIGTERM: all that was taken is answered, then the process may end.
 *
 * <pre>
 *   SIGTERM           new connections end         longest deadline       given up   cut short   SIGKILL
 *   |-- accepts, answers ask to leave --|-- nobody may stay; -----------------|---------|----------|
 *   0                                 0.8 s   once all are gone, ends      + 0.5 s   + 0.6 s    + 0.7 s
 * </pre>
 *
 * <p>It ends with no connection open. Guards against a request that is written to one between the
 * last check and the end. Confined to the event loop.
 */
final class GracefulShutdown {
  /** After SIGTERM new connections come for 0.4 s at most; they are accepted for longer. */
  private static final long ACCEPT_MILLIS = 800;

  /** SIGKILL comes 0.7 s after the longest deadline, of which no more than this counts. */
  private static final double MAX_COUNTED_DEADLINE_MILLIS = 3_000;

  /** Past the longest deadline, requests are given up: their answers are out before SIGKILL. */
  private static final long TERMINATE_AFTER_DEADLINE_MILLIS = 500;

  /** Past the longest deadline, what is not written has nobody who reads it. */
  private static final long EXIT_AFTER_DEADLINE_MILLIS = 600;

  private static final long POLL_MILLIS = 10;
  private static final double NANOS_PER_MILLI = 1e6;

  private final EventLoop loop;
  private final HttpServer httpServer;
  private final Log log;
  private final Runnable onFinished;
  private final long terminateAtNanos;
  private final long exitAtNanos;
  private long acceptUntilNanos;
  private boolean anotherProcessListens;

  /** Its time counts from now on; {@code onEnd} runs once the drain is over. */
  GracefulShutdown(
      EventLoop loop, HttpServer httpServer, Settings settings, Log log, Runnable onFinished) {
    this.loop = loop;
    this.httpServer = httpServer;
    this.log = log;
    this.onFinished = onFinished;
    double longestMillis = longestDeadlineMillis(settings);
    long now = System.nanoTime();
    terminateAtNanos =
        now + (long) ((longestMillis + TERMINATE_AFTER_DEADLINE_MILLIS) * NANOS_PER_MILLI);
    exitAtNanos = now + (long) ((longestMillis + EXIT_AFTER_DEADLINE_MILLIS) * NANOS_PER_MILLI);
    acceptUntilNanos = now + TimeUnit.MILLISECONDS.toNanos(ACCEPT_MILLIS);
  }

  /** Waits for the last client; where another process listens, this one no longer has to. */
  void startPolling(boolean anotherListens) {
    anotherProcessListens = anotherListens;
    if (anotherProcessListens) {
      acceptUntilNanos = System.nanoTime();
    }
    poll();
  }

  private static double longestDeadlineMillis(Settings settings) {
    double longest = 0;
    for (Settings.RequestClass requestClass : settings.classes()) {
      longest = Math.max(longest, requestClass.deadlineMillis());
    }
    return Math.min(longest, MAX_COUNTED_DEADLINE_MILLIS);
  }

  /** Guards against an end that never comes, as one step of it failed. */
  private void poll() {
    try {
      checkProgress(System.nanoTime());
    } catch (RuntimeException e) {
      log.failure("a step of the drain failed", e);
      if (System.nanoTime() < exitAtNanos) {
        schedulePoll();
      } else {
        onFinished.run();
      }
    }
  }

  private void checkProgress(long now) {
    if (now >= terminateAtNanos) {
      // A class may have a longer deadline than SIGKILL leaves, or be one that a reload dropped.
      httpServer.terminateConnections();
    }
    if (!anotherProcessListens && now >= acceptUntilNanos) {
      stopListeningOnceIdle(now);
    }
    boolean drained = now >= acceptUntilNanos && httpServer.hasNoClients() && !isListening();
    if (drained || now >= exitAtNanos) {
      log.line(drained ? "drained" : "drain cut short by its time");
      httpServer.listener().close();
      onFinished.run();
    } else {
      schedulePoll();
    }
  }

  private void stopListeningOnceIdle(long now) {
    if (httpServer.closeIdleConnections()) {
      // Guards a request that crossed such a close: its client sends it again, on a new connection.
      acceptUntilNanos = Math.min(terminateAtNanos, now + SocketSlack.NANOS);
    }
    boolean idle = httpServer.hasNoClients() && now >= acceptUntilNanos;
    if (isListening() && (idle || now >= terminateAtNanos)) {
      httpServer.stopListening(); // clients in its backlog are waited for, too
    }
  }

  private boolean isListening() {
    return httpServer.listener().isOpen();
  }

  private void schedulePoll() {
    loop.schedule(this::poll, POLL_MILLIS, TimeUnit.MILLISECONDS);
  }
}
