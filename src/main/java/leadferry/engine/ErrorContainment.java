package leadferry.engine;

import io.netty.channel.EventLoop;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.util.concurrent.ThreadAwareExecutor;
import java.util.function.BooleanSupplier;

/**
 * Keeps an event loop running after an {@link Error} of its I/O handler, such as the end of the
 * memory for one connection. Netty ends a loop at such an error. Guards against a process that
 * lives on and serves nothing: a loop whose errors don't stop is ended, and {@link #onLoopEnded}
 * tells so that the process can end, too.
 */
public final class ErrorContainment extends DelegatingIoHandler {
  /** Maximum number of errors of one loop within {@link #WINDOW_NANOS}. */
  private static final int MAX_ERRORS = 50;

  private static final long WINDOW_NANOS = 1_000_000_000L;

  private final Log log;
  private long windowStartNanos = System.nanoTime();
  private int errors;

  private ErrorContainment(IoHandler handler, Log log) {
    super(handler);
    this.log = log;
  }

  /** Wraps a factory so that its loops survive single errors. */
  public static IoHandlerFactory wrap(IoHandlerFactory loops, Log log) {
    return new IoHandlerFactory() {
      @Override
      public IoHandler newHandler(ThreadAwareExecutor loop) {
        return new ErrorContainment(loops.newHandler(loop), log);
      }

      @Override
      public boolean isChangingThreadSupported() {
        return loops.isChangingThreadSupported();
      }
    };
  }

  /**
   * Runs {@code task} once the loop has ended, unless {@code isExpected} is true by then: nothing
   * that belongs to the loop is served any more.
   */
  public static void onLoopEnded(EventLoop loop, BooleanSupplier isExpected, Runnable task) {
    loop.terminationFuture()
        .addListener(
            f -> {
              if (!isExpected.getAsBoolean()) {
                task.run();
              }
            });
  }

  @Override
  public int run(IoHandlerContext context) {
    try {
      return super.run(context);
    } catch (Error e) {
      if (isOverLimit(System.nanoTime())) {
        throw e;
      }
      log.failure("event loop goes on after an error", e);
      return 0;
    }
  }

  private boolean isOverLimit(long nowNanos) {
    if (nowNanos - windowStartNanos > WINDOW_NANOS) {
      windowStartNanos = nowNanos;
      errors = 0;
    }
    return ++errors > MAX_ERRORS;
  }
}
