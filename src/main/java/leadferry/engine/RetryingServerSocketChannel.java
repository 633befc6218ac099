package leadferry.engine;

import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.SocketChannel;
import java.util.List;

/**
 * Listening socket of the JDK on which a failed accept(2) costs at most one connection, according
 * to {@link AcceptRetryPolicy}. A failure that persists is thrown and handled by {@link
 * AcceptBackoffHandler}.
 */
public class RetryingServerSocketChannel extends NioServerSocketChannel {
  /**
   * Accepts the next connection of the backlog; returns null where the backlog is empty.
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

  /** Creates the channel of an accepted connection. */
  protected Channel createChannel(SocketChannel accepted) {
    return new NioTransport.Connection(this, accepted);
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
      // Guards the listener: for an exception that is no IOException, Netty would close it.
      throw new IOException("accepted connection is unusable: " + e.getMessage(), e);
    }
  }
}
