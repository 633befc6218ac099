package leadferry.engine;

import io.netty.channel.Channel;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.ServerChannel;

/** The kind of sockets that a process uses: how its loops wait, and what they open. */
public interface Transport {
  /** Makes what an event loop waits with. */
  IoHandlerFactory ioHandlerFactory();

  /** What listens for clients. */
  Class<? extends ServerChannel> listenerType();

  /** What connects to hosts. */
  Class<? extends Channel> connectionType();

  /**
   * Whether a client has ended its side of a connection, though that has not been read yet; asks
   * the socket itself, on its loop. Only after a request has come whole: where the socket can't
   * tell otherwise, a byte that came behind the request is lost, and the answer is {@link
   * ClientEnd#LOST_BYTE}.
   */
  ClientEnd checkClientEnd(Channel client);

  /**
   * The same where what still comes is of no account: it is thrown away, in bounds, to see whether
   * its end stands behind it.
   */
  default ClientEnd checkClientEndDiscarding(Channel client) {
    return checkClientEnd(client);
  }

  /** Whether {@link #checkClientEnd} never loses a byte, so that it may be asked at any time. */
  default boolean canCheckWithoutLoss() {
    return false;
  }

  /** What a look at a client's socket tells. */
  enum ClientEnd {
    /** Nothing has come, or it can't be told. */
    NONE,
    /** The client has gone, or at least sends no more. */
    ENDED,
    /** A byte came and is lost: nothing that comes on the connection can be read any more. */
    LOST_BYTE
  }

  /**
   * Whether nothing has come and nothing has ended on a connection to a host; asks the socket
   * itself and may be asked on the channel's loop only. What it reads to find out is lost, so false
   * means that the connection is of no further use.
   */
  boolean isQuiet(Channel connection);
}
