package leadferry.engine;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Keeps a listener accepting while accept(2) fails. Precedes Netty's acceptor in the pipeline. That
 * acceptor would pause for a whole second at each failure, which is longer than the deadline of
 * many requests. {@link AcceptRetryPolicy} determines the pause.
 */
public final class AcceptBackoffHandler extends ChannelInboundHandlerAdapter {
  /** Failures per log line: one in this many is logged. */
  private static final int FAILURES_PER_LINE = 100;

  private final Consumer<String> log;
  private final Runnable onResumed;
  private final AcceptRetryPolicy retryPolicy = new AcceptRetryPolicy();
  private long failures;

  /**
   * Creates a handler; {@code log} receives a line for the first and then every hundredth failure,
   * and {@code onResumed} runs on the listener's loop each time that the listener resumes
   * accepting.
   */
  public AcceptBackoffHandler(Consumer<String> log, Runnable onResumed) {
    this.log = log;
    this.onResumed = onResumed;
  }

  /** Creates a handler that notifies nobody when its listener resumes accepting. */
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
      onResumed.run();
    }
  }
}
