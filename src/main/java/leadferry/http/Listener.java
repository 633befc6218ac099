package leadferry.http;

import io.netty.channel.Channel;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import leadferry.engine.AcceptRetryPolicy;
import leadferry.engine.NioTransport;
import leadferry.engine.ReadLagTracker;
import leadferry.engine.RetryingServerSocketChannel;

/**
 * A listening socket of the JDK's whose connections can be asked whether their client has gone, and
 * that can be closed with as little as possible left in its backlog.
 */
public final class Listener extends RetryingServerSocketChannel {
  /** Clients that may stand in the kernel's queue at once. */
  static final int BACKLOG = 1_024;

  private long lastTurn;
  private boolean queueMayBeNonEmpty;
  private int acceptedSinceQueueCheck;
  private long queueEmptyAtNanos = System.nanoTime();
  private long queueCheckStartNanos;
  private boolean closing;

  /**
   * The earliest (ns) at which the kernel can have let in what is accepted now, where the loop came
   * late to it: when its queue was last known to be empty, or had been taken once over since. A
   * rest that this side chose, for want of room, is not counted: how long the queue was then is not
   * known, and a crowd would look ever older.
   *
   * <pre>
   *   poll: nobody   poll: clients   poll: clients   poll: clients
   *   queue empty         accepts 4       accepts 4       accepts 2, none left
   * </pre>
   */
  long earliestAcceptNanos() {
    return queueEmptyAtNanos;
  }

  /** Begins a look at the queue, unless this turn has begun one. */
  private void beginQueueCheck() {
    long turn = ReadLagTracker.loopIterations();
    if (turn == lastTurn && turn != 0) {
      return;
    }
    if (!queueMayBeNonEmpty || turn != lastTurn + 1 || turn == 0) {
      queueEmptyAtNanos = System.nanoTime() - ReadLagTracker.lagNanos();
      queueCheckStartNanos = System.nanoTime();
      acceptedSinceQueueCheck = 0;
    } else if (acceptedSinceQueueCheck > BACKLOG) {
      queueEmptyAtNanos = queueCheckStartNanos; // all that stood there then have been taken
      queueCheckStartNanos = System.nanoTime();
      acceptedSinceQueueCheck = 0;
    }
    lastTurn = turn;
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

  @Override
  protected Channel createChannel(SocketChannel accepted) {
    return new NioTransport.Connection(this, accepted);
  }

  /**
   * Takes what stands in the backlog and closes the socket; on its loop. Guards against clients
   * that the kernel has let in and that nobody has accepted: a close resets them. What is let in
   * between the last look and the close is lost still. A failed accept says nothing of those who
   * wait, so it is tried again, for 0.2 s.
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

  /** Whether nobody waits any more, as far as can be told. */
  private boolean acceptAll(List<Object> accepted) {
    try {
      while (doReadMessages(accepted) > 0) {
        // until nobody waits
      }
      return true;
    } catch (Exception e) {
      return false;
    }
  }
}
