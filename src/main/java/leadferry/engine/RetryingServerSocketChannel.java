package leadferry.engine;

import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.SocketChannel;
import java.util.List;

/**
 * A listening socket of the JDK's on which a failed accept(2) costs one connection at most, by
 * {@link AcceptRetryPolicy}. A failure that lasts is thrown, for {@link AcceptBackoffHandler}.
 */
public class RetryingServerSocketChannel extends NioServerSocketChannel {
  /**
   * The next connection of the backlog, or null if nobody waits there.
   *
   * @throws IOException if accept fails {@value AcceptRetryPolicy#IMMEDIATE_ATTEMPTS} times in a
   *     row
   */
  protected SocketChannel acceptNext() throws IOException {
    IOException failure = null;
    for (int failures = 0; AcceptRetryPolicy.shouldRetryImmediately(failures); failures++) {
      try {
        return javaChannel().accept();
      } catch (ClosedChannelException closed) {
        throw closed;
      } catch (IOException failed) {
        failure = failed;
      }
    }
    throw failure;
  }

  /** The channel of a connection that was accepted. */
  protected Channel createChannel(SocketChannel accepted) {
    return new RetryingSocketChannel(this, accepted);
  }

  @Override
  protected int doReadMessages(List<Object> accepted) throws Exception {
    SocketChannel next = acceptNext();
    if (next == null) {
      return 0;
    }
    try {
      accepted.add(createChannel(next));
      return 1;
    } catch (RuntimeException e) {
      next.close();
      // Guards the listener: netty closes it for any other exception.
      throw new IOException("an accepted connection can't be used: " + e.getMessage(), e);
    }
  }
}
