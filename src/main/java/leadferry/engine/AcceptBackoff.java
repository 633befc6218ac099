package leadferry.engine;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Keeps a listener accepting while accept(2) fails. It stands ahead of netty's own acceptor, which
 * stops for a whole second at each failure: longer than many requests have.
 *
 * <pre>
 *   accepts | fails | 5 ms | fails | 10 ms | ... 100 ms at most | accepts, and the next wait is 5 ms again
 * </pre>
 */
public final class AcceptBackoff extends ChannelInboundHandlerAdapter {
  private static final long FIRST_WAIT_MS = 5;
  private static final long LONGEST_WAIT_MS = 100;
  private static final int LOGGED_EACH = 100;

  private final Consumer<String> log;
  private final Runnable resumed;
  private long nextWaitMs = FIRST_WAIT_MS;
  private long failures;

  /**
   * {@code log} gets a line now and then; {@code resumed} runs on the listener's loop each time
   * that it accepts again.
   */
  public AcceptBackoff(Consumer<String> log, Runnable resumed) {
    this.log = log;
    this.resumed = resumed;
  }

  /** One whose listener accepts whenever it can. */
  public AcceptBackoff(Consumer<String> log) {
    this(log, () -> {});
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object accepted) {
    nextWaitMs = FIRST_WAIT_MS;
    context.fireChannelRead(accepted);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (!(cause instanceof IOException)) {
      context.fireExceptionCaught(cause);
      return;
    }
    if (failures++ % LOGGED_EACH == 0) {
      log.accept("accept failed: " + cause.getMessage() + ", " + failures + " so far");
    }
    Channel listener = context.channel();
    listener.config().setAutoRead(false);
    listener
        .eventLoop()
        .schedule(
            () -> {
              if (listener.isOpen()) {
                listener.config().setAutoRead(true);
                resumed.run();
              }
            },
            nextWaitMs,
            TimeUnit.MILLISECONDS);
    nextWaitMs = Math.min(2 * nextWaitMs, LONGEST_WAIT_MS);
  }
}
