package leadferry.engine;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.ThreadAwareExecutor;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against an event loop that an error ends while its process lives on. */
class ErrorContainmentTest {
  private static final int TIMEOUT_SECONDS = 20;
  private static final Log LOG =
      new LineLog(
          new PrintStream(OutputStream.nullOutputStream(), true, StandardCharsets.UTF_8), false);

  private final AtomicInteger errorsLeft = new AtomicInteger();
  private MultiThreadIoEventLoopGroup group;

  @AfterEach
  void close() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }

  private EventLoop startLoop() {
    IoHandlerFactory failing =
        new IoHandlerFactory() {
          @Override
          public IoHandler newHandler(ThreadAwareExecutor loop) {
            return new FailingHandler(NioIoHandler.newFactory().newHandler(loop));
          }
        };
    group = new MultiThreadIoEventLoopGroup(1, ErrorContainment.wrap(failing, LOG));
    return (EventLoop) group.next();
  }

  /** Handler of a loop that throws as many errors as {@code errorsLeft} tells. */
  private final class FailingHandler extends DelegatingIoHandler {
    FailingHandler(IoHandler handler) {
      super(handler);
    }

    @Override
    public int run(IoHandlerContext context) {
      int processed = super.run(context);
      if (errorsLeft.getAndUpdate(left -> Math.max(0, left - 1)) > 0) {
        throw new OutOfMemoryError("thrown by the test");
      }
      return processed;
    }
  }

  @Test
  void loopGoesOnAfterSingleErrors() throws Exception {
    EventLoop loop = startLoop();
    for (int i = 0; i < 5; i++) {
      errorsLeft.set(1);
      loop.submit(() -> {}).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
    assertThat(loop.isShutdown()).isFalse();
  }

  @Test
  void loopThatOnlyFailsEndsAndTellsSo() throws Exception {
    EventLoop loop = startLoop();
    CountDownLatch told = new CountDownLatch(1);
    ErrorContainment.onLoopEnded(loop, () -> false, told::countDown);
    errorsLeft.set(Integer.MAX_VALUE);
    loop.execute(() -> {});
    for (int i = 0; i < 200 && told.getCount() > 0; i++) {
      wakeUp(loop);
    }
    assertThat(told.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
  }

  /** Makes the loop run its handler once more, unless it has ended. */
  private static void wakeUp(EventLoop loop) throws InterruptedException {
    try {
      loop.execute(() -> {});
    } catch (java.util.concurrent.RejectedExecutionException e) {
      // the loop has ended
    }
    Thread.sleep(1);
  }

  @Test
  void expectedEndIsNotTold() throws Exception {
    EventLoop loop = startLoop();
    CountDownLatch told = new CountDownLatch(1);
    ErrorContainment.onLoopEnded(loop, () -> true, told::countDown);
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync();
    assertThat(told.getCount()).isEqualTo(1);
  }
}
