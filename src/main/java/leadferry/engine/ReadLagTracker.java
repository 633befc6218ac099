package leadferry.engine;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.util.concurrent.FastThreadLocal;
import io.netty.util.concurrent.ThreadAwareExecutor;

/**
 * Until when a loop has read all that came to its sockets. What a loop reads late, since it was
 * busy, cold or stopped, is no time of a server's or a client's; this tells the two apart.
 *
 * <pre>
 *   turn k-1   poll |--- reads ---|--- tasks ---|
 *   turn k                                      poll |--- reads ---|--- tasks ---|
 *   until                           (poll k-1)  . . . . (poll k-1)  (poll k)
 * </pre>
 *
 * While turn k reads, what it reads came after the poll of turn k-1 at the earliest, so that is
 * what can be sworn to; once it has read all, the poll of turn k is. A poll that waited was ended
 * by what it found, which has come just then, unless it returned later than it was asked to: then
 * the process had no core, and the time asked for is what counts. Error: where a poll is stopped in
 * the middle and ends before that time, the stop is taken for the peers'. Cost: two readings of the
 * clock a turn.
 */
public final class ReadLagTracker implements IoHandler, IoHandlerContext {
  /**
   * A poll that returned as fast as this (ns), or in less than half of the time of the work before
   * it, is taken to have found what came meanwhile: cold code and a lost core make it look as if it
   * had waited.
   */
  private static final long AT_ONCE_NANOS = 1_000_000;

  /** A poll that returned so much later (ns) than it was asked to was kept from its core. */
  private static final long LATE_NANOS = 2_000_000;

  private static final FastThreadLocal<ReadLagTracker> HERE = new FastThreadLocal<>();

  private final IoHandler handler;
  private IoHandlerContext turn;
  private boolean waits;
  private long turns;
  private long pollAt;
  private long askedFor;
  private long polled = System.nanoTime();
  private long until = polled;

  private ReadLagTracker(IoHandler handler) {
    this.handler = handler;
  }

  /** The same loops, which can be asked. */
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

  /** How long (ns) ago the present loop had read all that had come; 0 off a loop. */
  public static long lagNanos() {
    ReadLagTracker horizon = HERE.get();
    return horizon == null ? 0 : Math.max(0, System.nanoTime() - horizon.until);
  }

  /** How many turns the present loop has begun, its polls included; 0 off a loop. */
  public static long loopIterations() {
    ReadLagTracker horizon = HERE.get();
    return horizon == null ? 0 : horizon.turns;
  }

  @Override
  public void initialize() {
    HERE.set(this);
    handler.initialize();
  }

  @Override
  public int run(IoHandlerContext context) {
    turn = context;
    turns++;
    pollAt = System.nanoTime();
    waits = context.canBlock();
    askedFor = pollAt + (waits ? context.delayNanos(pollAt) : 0);
    try {
      return handler.run(this);
    } finally {
      polled = Math.max(polled, pollAt); // where the poll was not told of
      until = polled;
    }
  }

  /** The handler asks this between its poll and what it does with what was found. */
  @Override
  public boolean shouldReportActiveIoTime() {
    polled(System.nanoTime());
    return turn.shouldReportActiveIoTime();
  }

  private void polled(long now) {
    long work = pollAt - polled;
    if (!waits || now - pollAt < Math.max(AT_ONCE_NANOS, work / 2)) {
      until = polled;
    } else {
      until = now - askedFor > LATE_NANOS ? askedFor : now;
    }
    polled = now;
  }

  @Override
  public void reportActiveIoTime(long nanos) {
    turn.reportActiveIoTime(nanos);
  }

  @Override
  public boolean canBlock() {
    return turn.canBlock();
  }

  @Override
  public long delayNanos(long now) {
    return turn.delayNanos(now);
  }

  @Override
  public long deadlineNanos() {
    return turn.deadlineNanos();
  }

  @Override
  public void prepareToDestroy() {
    handler.prepareToDestroy();
  }

  @Override
  public void destroy() {
    handler.destroy();
  }

  @Override
  public IoRegistration register(IoHandle handle) throws Exception {
    return handler.register(handle);
  }

  @Override
  public void wakeup() {
    handler.wakeup();
  }

  @Override
  public boolean isCompatible(Class<? extends IoHandle> type) {
    return handler.isCompatible(type);
  }
}
