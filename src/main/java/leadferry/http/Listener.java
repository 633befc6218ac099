package leadferry.http;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import leadferry.engine.AcceptRetryPolicy;
import leadferry.engine.ReadLagTracker;
import leadferry.engine.RetryingServerSocketChannel;

/**
 * Listening socket on JDK sockets. Its connections can report whether their client has
 * disconnected, and it can be closed with as few connections as possible left in its backlog.
 */
public final class Listener extends RetryingServerSocketChannel {
  /** Maximum number of connections in the kernel's accept queue. */
  static final int BACKLOG = 1_024;

  private long lastIteration;
  private boolean queueMayBeNonEmpty;
  private int acceptedSinceQueueCheck;
  private long queueEmptyAtNanos = System.nanoTime();
  private long queueCheckStartNanos;
  private boolean closing;

  /**
   * Returns the earliest {@link System#nanoTime} at which the kernel can have queued the connection
   * that is accepted now, even if the event loop is late. This is the time at which the accept
   * queue was last known to be empty, or at which a full pass over the queue began. Pauses that the
   * server chose because sockets were scarce are excluded: the length of the queue during a pause
   * is unknown, and a burst of connections would look older with every pause.
   *
   * <pre>
   *   poll: none     poll: clients   poll: clients   poll: clients
   *   queue empty    accepts 4       accepts 4       accepts 2, queue empty
   * </pre>
   */
  long earliestAcceptNanos() {
    return queueEmptyAtNanos;
  }

  /** Starts a check of the accept queue, once per iteration of the event loop. */
  private void beginQueueCheck() {
    long iteration = ReadLagTracker.loopIterations();
    if (iteration == lastIteration && iteration != 0) {
      return;
    }
    if (!queueMayBeNonEmpty || iteration != lastIteration + 1 || iteration == 0) {
      queueEmptyAtNanos = System.nanoTime() - ReadLagTracker.lagNanos();
      queueCheckStartNanos = System.nanoTime();
      acceptedSinceQueueCheck = 0;
    } else if (acceptedSinceQueueCheck > BACKLOG) {
      queueEmptyAtNanos = queueCheckStartNanos; // all connections queued at that time were accepted
      queueCheckStartNanos = System.nanoTime();
      acceptedSinceQueueCheck = 0;
    }
    lastIteration = iteration;
    queueMayBeNonEmpty = true;
  }

  @Override
  protected SocketChannel acceptNext() throws IOException {
    beginQueueCheck();
    SocketChannel next = super.acceptNext();
    if (next == null) {
      queueMayBeNonEmpty = false;
    } else {
      acceptedSinceQueueCheck++;
    }
    return next;
  }

  /**
   * Accepts the connections in the backlog and closes the socket; called on its event loop. Guards
   * against clients that the kernel has connected and that were not accepted: a close resets their
   * connections. A connection that arrives between the last accept and the close is still lost. A
   * failed accept does not mean that the backlog is empty, so it is retried for 0.2 s.
   */
  void acceptBacklogAndClose() {
    if (!closing) {
      closing = true;
      acceptBacklog(0);
    }
  }

  private void acceptBacklog(int earlierFailures) {
    if (!isOpen()) {
      return;
    }
    List<Object> accepted = new ArrayList<>();
    boolean backlogEmpty = acceptAll(accepted);
    accepted.forEach(pipeline()::fireChannelRead);
    pipeline().fireChannelReadComplete();
    int failedAttempts = earlierFailures + 1;
    if (backlogEmpty || !AcceptRetryPolicy.shouldRetryBeforeClose(failedAttempts)) {
      close();
    } else {
      eventLoop()
          .schedule(
              () -> acceptBacklog(failedAttempts),
              AcceptRetryPolicy.CLOSE_RETRY_MILLIS,
              TimeUnit.MILLISECONDS);
    }
  }

  /**
   * Accepts all queued connections; returns false if an accept failed and the backlog may not be
   * empty.
   */
  private boolean acceptAll(List<Object> accepted) {
    try {
      while (doReadMessages(accepted) > 0) {
        // until the backlog is empty
      }
      return true;
    } catch (Exception e) {
      return false;
    }
  }
}
