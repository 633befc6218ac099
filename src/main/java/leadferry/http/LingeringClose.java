package leadferry.http;

import io.netty.channel.socket.SocketChannel;
import java.util.concurrent.TimeUnit;

/**
 * Closes a client connection in two steps (RFC 9112, 9.6): the output is shut down first, and input
 * goes on being read and discarded. Guards against a TCP reset that cuts off the last response: a
 * close of a socket with unread or later input sends a reset, which drops what the kernel still
 * holds of the response.
 *
 * <p>The second step comes when the client closes the connection, or once it has had {@link
 * #LINGER_MILLIS} and the time to receive its response (see {@link OutputProgress#mayBeUnread}).
 *
 * <p>Used only on the connection's event loop.
 */
final class LingeringClose {
  private static final long LINGER_MILLIS = 500;

  private final SocketChannel channel;
  private final OutputProgress output;

  LingeringClose(SocketChannel channel, OutputProgress output) {
    this.channel = channel;
    this.output = output;
  }

  /** Begins the close; all output has been written, and the caller discards further input. */
  void begin() {
    channel.shutdownOutput();
    scheduleEnd();
  }

  private void scheduleEnd() {
    channel.eventLoop().schedule(this::endIfRead, LINGER_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void endIfRead() {
    if (channel.isOpen() && output.mayBeUnread(System.nanoTime())) {
      scheduleEnd();
    } else {
      channel.close();
    }
  }
}
