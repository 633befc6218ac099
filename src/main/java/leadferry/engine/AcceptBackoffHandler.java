package leadferry.engine;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Keeps a listener accepting while accept(2) fails. It stands ahead of netty's own acceptor, which
 * stops for a whole second at each failure: longer than many requests have. How long it waits says
 * {@link AcceptRetryPolicy}.
 */
public final class AcceptBackoffHandler extends ChannelInboundHandlerAdapter {
  /** Of failures one in so many has a line in the log. */
  private static final int FAILURES_PER_LINE = 100;

  private final Consumer<String> log;
  private final Runnable resumed;
  private final AcceptRetryPolicy retryPolicy = new AcceptRetryPolicy();
  private long failures;

  /**
   * {@code log} gets a line now and then; {@code resumed} runs on the listener's loop each time
   * that it accepts again.
   */
  public AcceptBackoffHandler(Consumer<String> log, Runnable resumed) {
    this.log = log;
    this.resumed = resumed;
  }

  /** One whose listener accepts whenever it can. */
  public AcceptBackoffHandler(Consumer<String> log) {
    this(log, () -> {});
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object accepted) {
    retryPolicy.onAccepted();
    context.fireChannelRead(accepted);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (!(cause instanceof IOException)) {
      context.fireExceptionCaught(cause);
      return;
    }
    if (failures++ % FAILURES_PER_LINE == 0) {
      log.accept("accept failed: " + cause.getMessage() + ", " + failures + " so far");
    }
    pause(context.channel());
  }

  private void pause(Channel listener) {
    listener.config().setAutoRead(false);
    listener
        .eventLoop()
        .schedule(() -> resume(listener), retryPolicy.nextBackoffMillis(), TimeUnit.MILLISECONDS);
  }

  private void resume(Channel listener) {
    if (listener.isOpen()) {
      listener.config().setAutoRead(true);
      resumed.run();
    }
  }
}
