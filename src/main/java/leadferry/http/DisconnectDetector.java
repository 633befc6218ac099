package leadferry.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.socket.SocketChannel;
import leadferry.engine.Transport;

/**
 * Notices that a client has disconnected while its request is still unanswered, also behind bytes
 * that it sent ahead of the response.
 *
 * <p>Used on the connection's event loop alone.
 */
final class DisconnectDetector {
  /** What is thrown away (bytes) between two sweeps of what a client sends ahead. */
  private static final int MAX_DISCARDED_BYTES_PER_SWEEP = 1 << 20;

  private final ClientConnection connection;
  private final SocketChannel channel;
  private final Transport transport;

  /** Whether a look between two requests of one connection may be made at all. */
  private final boolean canProbeBetweenRequests;

  private boolean discardingPipelined;
  private int discardedBytes;

  DisconnectDetector(ClientConnection connection, HttpServer server, SocketChannel channel) {
    this.connection = connection;
    this.channel = channel;
    this.transport = server.transport();
    this.canProbeBetweenRequests = !server.settings().daemon() || transport.canCheckWithoutLoss();
  }

  /** Whether what is sent ahead of the response is thrown away. */
  boolean isDiscardingPipelined() {
    return discardingPipelined;
  }

  /**
   * More has come than the present request. Guards against floods of requests sent at once: clients
   * send one at a time, so what comes ahead of a response is thrown away, and the connection ends
   * with that response. It is read all the same, at a bounded rate: where nobody reads, nobody sees
   * that the client has gone, and its request would be forwarded.
   */
  void startDiscardingPipelined() {
    connection.closeAfterCurrentResponse();
    discardingPipelined = true;
    connection.removeDecoder();
  }

  /** Throws away what was sent ahead; past the bound, reading stops until the next sweep. */
  void discard(Object message) {
    discardedBytes += message instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
    if (discardedBytes > MAX_DISCARDED_BYTES_PER_SWEEP) {
      discardedBytes = 0;
      channel.config().setAutoRead(false);
    }
  }

  /**
   * Closes the connection if its client, of whom a whole request has come, has gone already; true
   * if it has. Guards against a queue of requests that nobody waits for any more: after a pause, or
   * in a crowd, they stand ahead of those that can still be answered, and make them late. It costs
   * a look at the socket.
   */
  boolean closeIfDisconnected() {
    Transport.ClientEnd end =
        discardingPipelined
            ? transport.checkClientEndDiscarding(channel)
            : transport.checkClientEnd(channel);
    if (end == Transport.ClientEnd.LOST_BYTE) {
      startDiscardingPipelined();
      end = transport.checkClientEndDiscarding(channel); // it may have sent much at once and gone
    }
    if (end != Transport.ClientEnd.ENDED) {
      return false;
    }
    connection.logOutcome("client-gone", null);
    channel.close();
    return true;
  }

  /**
   * The same, at any time: where requests may be sent ahead, only if the look can't lose a byte of
   * the next.
   */
  boolean closeIfDisconnectedBetweenRequests() {
    return canProbeBetweenRequests && closeIfDisconnected();
  }
}
