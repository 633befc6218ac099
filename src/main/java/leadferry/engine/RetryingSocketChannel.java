package leadferry.engine;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.ConnectException;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.SocketChannel;
import java.util.concurrent.TimeUnit;

/**
 * A connection of the JDK's that outlives system calls which fail for the moment. read(2) and
 * write(2) may be interrupted (EINTR) or find the kernel short of memory or buffers (ENOMEM,
 * ENOBUFS) while the connection itself is sound; netty closes it for any of these, since the JDK
 * tells an interrupted read by a negative count that is taken for the end of the stream.
 *
 * <p>A failed call is made again. Linux hands an error of the connection itself out once
 * (socket(7), SO_ERROR), and whoever asks again learns that the connection has ended; then the
 * first error stands. So a dead connection is not kept, and no end that an error made is taken for
 * an orderly one. A reset is known at once.
 */
public class RetryingSocketChannel extends NioSocketChannel {
  /** What the JDK's channels return for an interrupted call, below -1 for the end of the stream. */
  private static final int END_OF_STREAM = -1;

  private static final int READ_TRIES = 4;
  private static final int CONNECT_TRIES = 8;

  /** A failure that lasts so long (ns) is the connection's end. */
  private static final long LASTING_NANOS = 50_000_000;

  private static final long WRITE_RETRY_MS = 2;

  private long readsFailSince;
  private long writesFailSince;
  private boolean writeRetryPending;

  /** One that is to be connected. */
  public RetryingSocketChannel() {}

  /** One that {@code parent} has accepted. */
  public RetryingSocketChannel(Channel parent, SocketChannel accepted) {
    super(parent, accepted);
  }

  private interface Read {
    int run() throws IOException;
  }

  /**
   * The result of a read: bytes, 0 if nothing can be read now, -1 at the end of the stream.
   *
   * @throws IOException if the connection is broken
   */
  private int retried(Read read) throws IOException {
    IOException failure = null;
    for (int i = 0; i < READ_TRIES; i++) {
      try {
        int count = read.run();
        if (count >= 0) {
          readsFailSince = 0;
          return count;
        }
        if (count == END_OF_STREAM) {
          if (failure != null) {
            throw failure;
          }
          return count;
        }
      } catch (SocketException | ClosedChannelException e) {
        throw e; // reset, which the JDK remembers
      } catch (IOException e) {
        failure = failure == null ? e : failure;
      }
    }
    long now = System.nanoTime();
    readsFailSince = readsFailSince == 0 ? now : readsFailSince;
    if (failure != null && now - readsFailSince > LASTING_NANOS) {
      throw failure;
    }
    return 0; // the socket is still readable, so the next poll tells of it
  }

  /**
   * Reads what can be read now, as {@link SocketChannel#read}; interrupted and failed calls are
   * made again.
   */
  protected final int readNow(ByteBuffer into) throws IOException {
    return retried(() -> javaChannel().read(into));
  }

  @Override
  protected int doReadBytes(ByteBuf into) throws Exception {
    return retried(
        () -> {
          try {
            return super.doReadBytes(into);
          } catch (IOException | RuntimeException e) {
            throw e;
          } catch (Exception e) {
            throw new IOException(e);
          }
        });
  }

  /**
   * poll(2), by which the JDK asks whether a connection is up, may be interrupted as well: netty
   * takes that for a failure.
   */
  @Override
  protected void doFinishConnect() throws Exception {
    for (int i = 0; i < CONNECT_TRIES; i++) {
      if (javaChannel().finishConnect()) {
        return;
      }
    }
    throw new ConnectException("interrupted " + CONNECT_TRIES + " times");
  }

  @Override
  protected void doWrite(ChannelOutboundBuffer pending) throws Exception {
    try {
      super.doWrite(pending);
      writesFailSince = 0;
    } catch (ClosedChannelException e) {
      throw e;
    } catch (IOException e) {
      long now = System.nanoTime();
      writesFailSince = writesFailSince == 0 ? now : writesFailSince;
      if (peerGone(e) || now - writesFailSince > LASTING_NANOS) {
        throw e;
      }
      retryWrite();
    }
  }

  /** What a failed write has not taken is still in the outbound buffer, in order. */
  private void retryWrite() {
    if (!writeRetryPending) {
      writeRetryPending = true;
      eventLoop()
          .schedule(
              () -> {
                writeRetryPending = false;
                if (isOpen()) {
                  unsafe().flush();
                }
              },
              WRITE_RETRY_MS,
              TimeUnit.MILLISECONDS);
    }
  }

  /**
   * EPIPE and ECONNRESET, for which the JDK has no type of their own in a write; in another
   * language it takes longer.
   */
  private static boolean peerGone(IOException failure) {
    String message = String.valueOf(failure.getMessage());
    return message.startsWith("Broken pipe") || message.startsWith("Connection reset");
  }
}
