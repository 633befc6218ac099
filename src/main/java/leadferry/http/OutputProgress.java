package leadferry.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import java.util.concurrent.TimeUnit;
import leadferry.engine.Transport;

/**
 * Progress of a connection's output, and whether its peer has stopped receiving it.
 *
 * <p>The time since output was passed to the channel or to the kernel says nothing about the peer:
 * buffers hold megabytes, which a slow reader takes minutes to receive. But once the kernel's send
 * buffer is full, it takes more output only after the peer has received some of what it holds. So
 * the peer has stalled when the kernel has taken nothing for {@link #STALLED_NANOS}. Since the
 * kernel reports a socket as writable only in large steps, a write is tried again in between.
 *
 * <p>What the kernel has taken can't be followed any further. After a long output the peer is
 * assumed to be receiving for as long as it may pause, see {@link #mayBeUnread}.
 *
 * <p>Used only on the connection's event loop.
 */
final class OutputProgress extends ChannelOutboundHandlerAdapter {
  /**
   * Time (ns) without progress after which the peer of a connection counts as gone. A steady reader
   * has shorter pauses: its kernel opens the receive window in steps of a sixteenth of its receive
   * buffer.
   */
  private static final long STALLED_NANOS = 30_000_000_000L;

  /** Time (ns) without progress after which a write is tried before the socket is writable. */
  private static final long TRY_WRITE_NANOS = 500_000_000L;

  /**
   * Output (bytes) that a peer is taken to receive at once: less than an empty receive buffer holds
   * by default.
   */
  private static final int SHORT_OUTPUT_BYTES = 64 * 1024;

  private final Channel channel;
  private final Transport transport;
  private long submittedBytes;
  private long takenBytes;
  private long receivedBytes;
  private long progressAtNanos = System.nanoTime();
  private long pendingAtNanos = progressAtNanos;

  private OutputProgress(Channel channel, Transport transport) {
    this.channel = channel;
    this.transport = transport;
  }

  /** Returns the progress of a connection, which is tracked from the first call on. */
  static OutputProgress of(Channel channel, Transport transport) {
    OutputProgress progress = channel.pipeline().get(OutputProgress.class);
    if (progress == null) {
      progress = new OutputProgress(channel, transport);
      channel.pipeline().addFirst(progress); // behind the encoder, so that it sees bytes
    }
    return progress;
  }

  @Override
  public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
    if (message instanceof ByteBuf bytes) {
      pendingAtNanos = System.nanoTime();
      progressAtNanos = isPending() ? progressAtNanos : pendingAtNanos;
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

  /** Records the progress since the last call; must be called several times a second. */
  void update() {
    recordProgress();
    if (isPending() && System.nanoTime() - progressAtNanos > TRY_WRITE_NANOS) {
      transport.flushNow(channel);
      recordProgress();
    }
  }

  private void recordProgress() {
    if (isPending()) {
      pendingAtNanos = System.nanoTime();
    }
    long nowTakenBytes = submittedBytes - unsentBytes();
    if (nowTakenBytes > takenBytes) {
      takenBytes = nowTakenBytes;
      progressAtNanos = System.nanoTime();
    }
  }

  /** Returns the {@link System#nanoTime} at which the kernel was last seen to take output. */
  long progressAtNanos() {
    return progressAtNanos;
  }

  /** Returns the {@link System#nanoTime} at which output was last submitted or seen pending. */
  long pendingAtNanos() {
    return pendingAtNanos;
  }

  /** Whether output is pending of which the peer has received nothing for too long. */
  boolean isStalled(long nowNanos) {
    return isPending() && nowNanos - progressAtNanos > STALLED_NANOS;
  }

  /**
   * Whether the peer may still have output to receive, as far as that can be known: output is
   * pending, or was pending within {@link #STALLED_NANOS} and is long.
   */
  boolean mayBeUnread(long nowNanos) {
    boolean isLong = submittedBytes - receivedBytes > SHORT_OUTPUT_BYTES;
    return isPending() || (isLong && nowNanos - pendingAtNanos < STALLED_NANOS);
  }

  /** Records that the peer has received all output: it has reacted to its end. */
  void markReceived() {
    receivedBytes = submittedBytes;
  }

  /** Returns the time (ms) since the kernel was last seen to take part of the output. */
  long quietMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - progressAtNanos);
  }
}
