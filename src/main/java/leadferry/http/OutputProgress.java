package leadferry.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import java.util.concurrent.TimeUnit;

/**
 * Progress of a connection's output: how much of it the kernel has not taken yet, and when the
 * kernel last took some. Once the kernel's send buffer is full, it takes more only after the peer
 * has received some of what it holds.
 *
 * <p>Used only on the connection's event loop.
 */
final class OutputProgress extends ChannelOutboundHandlerAdapter {
  private final Channel channel;
  private long submittedBytes;
  private long takenBytes;
  private long progressAtNanos = System.nanoTime();

  private OutputProgress(Channel channel) {
    this.channel = channel;
  }

  /** Starts to track a connection, whose encoder must stand behind this handler's place. */
  static OutputProgress install(Channel channel) {
    OutputProgress progress = new OutputProgress(channel);
    channel.pipeline().addFirst(progress);
    return progress;
  }

  @Override
  public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
    if (message instanceof ByteBuf bytes) {
      if (!isPending()) {
        progressAtNanos = System.nanoTime();
      }
      submittedBytes += bytes.readableBytes();
    }
    ctx.write(message, promise);
  }

  /** Whether the kernel has not taken all of the output. */
  boolean isPending() {
    ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
    return buffer != null && !buffer.isEmpty();
  }

  /** Returns the number of bytes that the kernel has not taken. */
  long unsentBytes() {
    ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
    if (buffer == null || buffer.isEmpty()) {
      return 0;
    }
    long[] unsentBytes = new long[1];
    try {
      buffer.forEachFlushedMessage(
          message -> {
            unsentBytes[0] += message instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
            return true;
          });
    } catch (Exception e) {
      throw new IllegalStateException("counting flushed messages failed", e);
    }
    return unsentBytes[0];
  }

  /** Records whether the kernel has taken part of the output since the last call. */
  void update() {
    long nowTakenBytes = submittedBytes - unsentBytes();
    if (nowTakenBytes > takenBytes) {
      takenBytes = nowTakenBytes;
      progressAtNanos = System.nanoTime();
    }
  }

  /** Returns the time (ms) since the kernel was last seen to take part of the output. */
  long quietMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - progressAtNanos);
  }
}
