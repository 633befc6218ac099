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
 * Connection of the JDK that survives temporary failures of system calls. read(2) and write(2) may
 * be interrupted (EINTR) or find the kernel short of memory or buffers (ENOMEM, ENOBUFS) while the
 * connection itself is intact. Netty closes the connection in each of these cases, because the JDK
 * reports an interrupted read as a negative count, which Netty takes for the end of the stream.
 *
 * <p>A failed call is retried. Linux reports an error of the connection itself once (socket(7),
 * SO_ERROR), and a retry then sees the end of the connection; in that case the first error is
 * thrown. A dead connection is thus not kept, and an end caused by an error is not taken for an
 * orderly one. A reset is reported at once.
 */
public class RetryingSocketChannel extends NioSocketChannel {
  /**
   * Count that a JDK channel returns at the end of the stream; a lower count means an interrupted
   * call.
   */
  private static final int END_OF_STREAM = -1;

  private static final int MAX_READ_ATTEMPTS = 4;
  private static final int MAX_CONNECT_CHECKS = 8;

  /** A failure that persists for this time (ns) ends the connection. */
  private static final long PERSISTENT_FAILURE_NANOS = 50_000_000;

  private static final long WRITE_RETRY_MS = 2;

  private long readsFailSinceNanos;
  private long writesFailSinceNanos;
  private boolean isWriteRetryPending;

  /** Creates a channel that is to be connected. */
  public RetryingSocketChannel() {}

  /** Creates a channel that {@code parent} has accepted. */
  public RetryingSocketChannel(Channel parent, SocketChannel accepted) {
    super(parent, accepted);
  }

  private interface Read {
    int run() throws IOException;
  }

  /**
   * Runs a read, retrying interrupted and failed calls. Returns the number of bytes, 0 if nothing
   * can be read now, or -1 at the end of the stream.
   *
   * @throws IOException if the connection is broken
   */
  private int readWithRetries(Read read) throws IOException {
    IOException failure = null;
    for (int i = 0; i < MAX_READ_ATTEMPTS; i++) {
      try {
        int count = read.run();
        if (count >= 0) {
          readsFailSinceNanos = 0;
          return count;
        }
        if (count == END_OF_STREAM) {
          if (failure != null) {
            throw failure;
          }
          return count;
        }
      } catch (SocketException | ClosedChannelException e) {
        throw e; // the JDK remembers a reset
      } catch (IOException e) {
        failure = failure == null ? e : failure;
      }
    }
    long now = System.nanoTime();
    readsFailSinceNanos = readsFailSinceNanos == 0 ? now : readsFailSinceNanos;
    if (failure != null && now - readsFailSinceNanos > PERSISTENT_FAILURE_NANOS) {
      throw failure;
    }
    return 0; // the socket stays readable, and the next poll reports it again
  }

  /**
   * Reads the available bytes like {@link SocketChannel#read}, retrying interrupted and failed
   * calls.
   */
  protected final int readNow(ByteBuffer into) throws IOException {
    return readWithRetries(() -> javaChannel().read(into));
  }

  @Override
  protected int doReadBytes(ByteBuf into) throws Exception {
    return readWithRetries(
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
   * Retries the check whether the connection is established: the JDK uses poll(2), which may be
   * interrupted, and Netty treats an interrupted call as a failure.
   */
  @Override
  protected void doFinishConnect() throws Exception {
    for (int i = 0; i < MAX_CONNECT_CHECKS; i++) {
      if (javaChannel().finishConnect()) {
        return;
      }
    }
    throw new ConnectException("connect check interrupted " + MAX_CONNECT_CHECKS + " times");
  }

  @Override
  protected void doWrite(ChannelOutboundBuffer pending) throws Exception {
    try {
      super.doWrite(pending);
      writesFailSinceNanos = 0;
    } catch (ClosedChannelException e) {
      throw e;
    } catch (IOException e) {
      long now = System.nanoTime();
      writesFailSinceNanos = writesFailSinceNanos == 0 ? now : writesFailSinceNanos;
      if (isPeerGone(e) || now - writesFailSinceNanos > PERSISTENT_FAILURE_NANOS) {
        throw e;
      }
      retryWrite();
    }
  }

  /**
   * Schedules another flush. Bytes that a failed write did not take are still in the outbound
   * buffer, in order.
   */
  private void retryWrite() {
    if (!isWriteRetryPending) {
      isWriteRetryPending = true;
      eventLoop()
          .schedule(
              () -> {
                isWriteRetryPending = false;
                if (isOpen()) {
                  unsafe().flush();
                }
              },
              WRITE_RETRY_MS,
              TimeUnit.MILLISECONDS);
    }
  }

  /**
   * Whether the failure is EPIPE or ECONNRESET, for which the JDK has no exception type on a write.
   * The check matches the English message; with other message texts, the loss of the peer is
   * detected only after {@link #PERSISTENT_FAILURE_NANOS}.
   */
  private static boolean isPeerGone(IOException failure) {
    String message = String.valueOf(failure.getMessage());
    return message.startsWith("Broken pipe") || message.startsWith("Connection reset");
  }
}
