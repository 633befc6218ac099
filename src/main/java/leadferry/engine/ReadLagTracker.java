package leadferry.engine;

import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.util.concurrent.FastThreadLocal;
import io.netty.util.concurrent.ThreadAwareExecutor;

/**
 * Tracks the time up to which an event loop has read everything that arrived on its sockets.
 * Separates a delay of this process (its loop was busy, was stopped, or ran code that was not yet
 * compiled) from a delay of a server or client.
 *
 * <pre>
 *   iteration k-1   poll |--- reads ---|--- tasks ---|
 *   iteration k                                      poll |--- reads ---|--- tasks ---|
 *   until                                (poll k-1)  . . . . (poll k-1)  (poll k)
 * </pre>
 *
 * <p>While iteration k reads, its data may have arrived at any time since the poll of iteration
 * k-1; everything that arrived before that poll has been read, so the tracked time is that of poll
 * k-1. Once iteration k has read everything, the tracked time is that of its own poll. A poll that
 * waited was ended by data that had just arrived, so its end counts. If it returned later than
 * requested, the process had no core, and the requested time counts instead. Known error: where a
 * poll is stopped in the middle and ends before the requested time, the stop is attributed to the
 * peers. Cost: two clock readings per iteration.
 */
public final class ReadLagTracker extends DelegatingIoHandler implements IoHandlerContext {
  /**
   * A poll that returned within this time (ns), or within half of the duration of the preceding
   * work, is taken to have found data that had already arrived. Without this tolerance, a poll
   * slowed by code not yet compiled, or by the loss of a core, would look as if it had waited.
   */
  private static final long IMMEDIATE_POLL_NANOS = 1_000_000;

  /**
   * Lateness (ns) of a poll, compared with the requested time, above which the process is taken to
   * have had no core.
   */
  private static final long LATE_POLL_NANOS = 2_000_000;

  private static final FastThreadLocal<ReadLagTracker> CURRENT = new FastThreadLocal<>();

  private IoHandlerContext context;
  private boolean mayWait;
  private long iterations;
  private long pollStartNanos;
  private long requestedEndNanos;
  private long polledAtNanos = System.nanoTime();
  private long readUntilNanos = polledAtNanos;

  private ReadLagTracker(IoHandler handler) {
    super(handler);
  }

  /** Wraps a factory so that its loops track their read lag. */
  static IoHandlerFactory wrap(IoHandlerFactory loops) {
    return new IoHandlerFactory() {
      @Override
      public IoHandler newHandler(ThreadAwareExecutor loop) {
        return new ReadLagTracker(loops.newHandler(loop));
      }

      @Override
      public boolean isChangingThreadSupported() {
        return false;
      }
    };
  }

  /**
   * Returns the age (ns) of the time up to which the current loop has read everything; 0 outside a
   * loop.
   */
  public static long lagNanos() {
    ReadLagTracker tracker = CURRENT.get();
    return tracker == null ? 0 : Math.max(0, System.nanoTime() - tracker.readUntilNanos);
  }

  /**
   * Returns the number of iterations that the current loop has started, including their polls; 0
   * outside a loop.
   */
  public static long loopIterations() {
    ReadLagTracker tracker = CURRENT.get();
    return tracker == null ? 0 : tracker.iterations;
  }

  @Override
  public void initialize() {
    CURRENT.set(this);
    super.initialize();
  }

  @Override
  public int run(IoHandlerContext loopContext) {
    context = loopContext;
    iterations++;
    pollStartNanos = System.nanoTime();
    mayWait = loopContext.canBlock();
    requestedEndNanos = pollStartNanos + (mayWait ? loopContext.delayNanos(pollStartNanos) : 0);
    try {
      return super.run(this);
    } finally {
      // Covers a handler that did not report the poll.
      polledAtNanos = Math.max(polledAtNanos, pollStartNanos);
      readUntilNanos = polledAtNanos;
    }
  }

  /**
   * Marks the end of the poll: the handler calls this between its poll and the processing of the
   * results.
   */
  @Override
  public boolean shouldReportActiveIoTime() {
    onPollEnded(System.nanoTime());
    return context.shouldReportActiveIoTime();
  }

  private void onPollEnded(long now) {
    long workNanos = pollStartNanos - polledAtNanos;
    if (!mayWait || now - pollStartNanos < Math.max(IMMEDIATE_POLL_NANOS, workNanos / 2)) {
      readUntilNanos = polledAtNanos;
    } else {
      readUntilNanos = now - requestedEndNanos > LATE_POLL_NANOS ? requestedEndNanos : now;
    }
    polledAtNanos = now;
  }

  @Override
  public void reportActiveIoTime(long nanos) {
    context.reportActiveIoTime(nanos);
  }

  @Override
  public boolean canBlock() {
    return context.canBlock();
  }

  @Override
  public long delayNanos(long now) {
    return context.delayNanos(now);
  }

  @Override
  public long deadlineNanos() {
    return context.deadlineNanos();
  }
}
