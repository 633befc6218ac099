package leadferry.engine;

import io.netty.channel.Channel;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.ServerChannel;

/**
 * Socket implementation of a process: the I/O handlers of its loops and the channel types that it
 * opens.
 */
public interface Transport {
  /** Result of {@link #unreadBytes} where the socket can't count them. */
  long UNKNOWN_BYTES = -1;

  /** Returns the factory of the I/O handlers with which event loops poll. */
  IoHandlerFactory ioHandlerFactory();

  /** Returns the channel type that listens for clients. */
  Class<? extends ServerChannel> listenerType();

  /** Returns the channel type that connects to hosts. */
  Class<? extends Channel> connectionType();

  /**
   * Checks whether a client has ended its side of a connection, even if the loop has not read the
   * end yet; checks the socket directly, on its loop. May be called only after a request has been
   * received in full. Some sockets can only be checked by a read: a byte that follows the request
   * is then lost, and the result is {@link ClientEnd#LOST_BYTE}.
   */
  ClientEnd checkClientEnd(Channel client);

  /**
   * Checks like {@link #checkClientEnd} where further input is irrelevant: discards a bounded
   * amount of input to see whether the end of the stream follows it.
   */
  default ClientEnd checkClientEndDiscarding(Channel client) {
    return checkClientEnd(client);
  }

  /**
   * Checks like {@link #checkClientEnd} and loses no byte: input that has to be read to find the
   * end of the stream is passed to the channel's handlers, at most {@code maxBytes} of it. An end
   * that stands behind more input is not found. May be called at any time.
   */
  default ClientEnd checkClientEndKeepingInput(Channel client, int maxBytes) {
    return checkClientEnd(client);
  }

  /**
   * Returns the number of bytes that have arrived on a client's connection and have not been read,
   * or {@link #UNKNOWN_BYTES} where the socket can't tell. The end of the stream counts as none.
   */
  default long unreadBytes(Channel client) {
    return UNKNOWN_BYTES;
  }

  /**
   * Writes pending output of a connection now, as far as the kernel takes it. A kernel with a full
   * send buffer takes more as soon as the peer has received some, but reports the socket as
   * writable only once a third of the buffer is free, which takes a slow reader many seconds. Must
   * be called on the channel's loop; has no effect where the transport can't do it.
   */
  default void flushNow(Channel connection) {}

  /** Result of a check of a client's socket. */
  enum ClientEnd {
    /** Nothing has arrived, or the socket can't tell. */
    NONE,
    /** The client has disconnected, or at least sends no more. */
    ENDED,
    /** A byte arrived and is lost; no further input of the connection can be read correctly. */
    LOST_BYTE
  }

  /**
   * Whether neither bytes nor the end of the stream have arrived on a connection to a host; checks
   * the socket directly and may be called on the channel's loop only. A byte that the check reads
   * is lost, so the connection is unusable after a result of false.
   */
  boolean isQuiet(Channel connection);
}
