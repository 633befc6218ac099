package leadferry.proxy;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import leadferry.engine.Log;
import leadferry.engine.SocketSlack;
import leadferry.http.HttpServer;
import leadferry.loadbalancer.Settings;

/**
 * Drains the proxy after SIGTERM: serves every accepted request, then lets the process exit.
 *
 * <pre>
 *   SIGTERM                  accepting ends           longest deadline terminate  exit  SIGKILL
 *   |-- accepts; responses close --|-- closes idle connections --|--------|--------|--------|
 *   0                            0.8 s  exits once none is left  D     + 0.5 s  + 0.6 s  + 0.7 s
 * </pre>
 *
 * <p>Before its time limit, the drain ends only when no connection is open. Guards against a
 * request that is written to an open connection between the last check and the exit. Confined to
 * the event loop.
 */
final class GracefulShutdown {
  /** New connections arrive for at most 0.4 s after SIGTERM; the proxy accepts them for longer. */
  private static final long ACCEPT_MILLIS = 800;

  /** SIGKILL arrives 0.7 s after the longest deadline, of which at most this much counts. */
  private static final double MAX_COUNTED_DEADLINE_MILLIS = 3_000;

  /**
   * Time after the longest deadline at which open requests are terminated, early enough for their
   * responses to be sent before SIGKILL.
   */
  private static final long TERMINATE_AFTER_DEADLINE_MILLIS = 500;

  /**
   * Time after the longest deadline at which the process exits: no client reads unsent bytes any
   * more.
   */
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

  /**
   * Creates a shutdown whose time limits start now; {@code onFinished} runs once the drain is over.
   */
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

  /**
   * Starts polling for the end of the drain. If another process listens, this one stops waiting for
   * new connections.
   */
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

  /**
   * Checks the progress and schedules the next check. Guards against a drain that never ends
   * because one check has failed.
   */
  private void poll() {
    try {
      checkProgress(System.nanoTime());
    } catch (RuntimeException | Error e) {
      log.failure("drain check failed", e);
      if (System.nanoTime() < exitAtNanos) {
        schedulePoll();
      } else {
        onFinished.run();
      }
    }
  }

  private void checkProgress(long now) {
    if (now >= terminateAtNanos) {
      // A class may have a longer deadline than SIGKILL allows, or may have been removed by a
      // reload.
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
      // Guards a request that crossed such a close: its client sends the request again on a new
      // connection.
      acceptUntilNanos = Math.min(terminateAtNanos, now + SocketSlack.NANOS);
    }
    boolean idle = httpServer.hasNoClients() && now >= acceptUntilNanos;
    if (isListening() && (idle || now >= terminateAtNanos)) {
      httpServer.stopListening(); // The drain waits for clients in the backlog, too.
    }
  }

  private boolean isListening() {
    return httpServer.listener().isOpen();
  }

  private void schedulePoll() {
    loop.schedule(this::poll, POLL_MILLIS, TimeUnit.MILLISECONDS);
  }
}
