package leadferry.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.socket.SocketChannel;
import java.util.concurrent.TimeUnit;
import leadferry.engine.Transport;

/**
 * Detects that a client has disconnected before its response was written, even if pipelined input
 * precedes the end of the stream.
 *
 * <p>Used only on the connection's event loop.
 */
final class DisconnectDetector {
  /** Maximum pipelined input (bytes) that is discarded before reading pauses. */
  private static final int MAX_DISCARDED_BYTES_BEFORE_PAUSE = 1 << 20;

  /**
   * Length (ms) of the pause. The end of the stream has to be read within 100 ms, even if it stands
   * behind as much input as the kernel buffers.
   */
  private static final long DISCARD_PAUSE_MILLIS = 10;

  private final ClientConnection connection;
  private final SocketChannel channel;
  private final Transport transport;

  /** Whether input behind the current request belongs to a pipelined request, and is kept. */
  private final boolean keepsPipelined;

  private boolean discardingPipelined;
  private int discardedBytes;

  DisconnectDetector(ClientConnection connection, HttpServer server, SocketChannel channel) {
    this.connection = connection;
    this.channel = channel;
    this.transport = server.transport();
    this.keepsPipelined = server.settings().daemon();
  }

  /** Whether input that arrives before the response is discarded. */
  boolean isDiscardingPipelined() {
    return discardingPipelined;
  }

  /**
   * Starts to discard input behind the current request; the connection closes after its response.
   * Guards against floods of pipelined requests from clients that should send one request at a
   * time. The input is still read, at a bounded rate: otherwise a disconnect of the client would go
   * undetected and its request would be forwarded.
   */
  void startDiscardingPipelined() {
    connection.closeAfterCurrentResponse();
    discardingPipelined = true;
    connection.removeDecoder();
  }

  /** Discards pipelined input; beyond the limit, reading pauses. */
  void discard(Object message) {
    discardedBytes += message instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
    if (discardedBytes > MAX_DISCARDED_BYTES_BEFORE_PAUSE) {
      discardedBytes = 0;
      channel.config().setAutoRead(false);
      channel
          .eventLoop()
          .schedule(this::resumeDiscarding, DISCARD_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void resumeDiscarding() {
    if (connection.acceptsRequests()) {
      channel.config().setAutoRead(true);
    }
  }

  /**
   * Closes the connection if its client has already disconnected; called after a complete request.
   * Returns true if the connection was closed. Guards against a backlog of requests whose clients
   * no longer wait: after a pause or in a burst of connections they delay the requests that can
   * still be served in time. Cost: one check of the socket.
   */
  boolean closeIfDisconnected() {
    if (findClientEnd() != Transport.ClientEnd.ENDED) {
      return false;
    }
    connection.logOutcome("client-gone", null);
    channel.close();
    return true;
  }

  private Transport.ClientEnd findClientEnd() {
    if (keepsPipelined) {
      return connection.pipeline().checkClientEnd(transport);
    }
    Transport.ClientEnd end =
        discardingPipelined
            ? transport.checkClientEndDiscarding(channel)
            : transport.checkClientEnd(channel);
    if (end == Transport.ClientEnd.LOST_BYTE) {
      startDiscardingPipelined();
      // The client may have sent more and then disconnected.
      end = transport.checkClientEndDiscarding(channel);
    }
    return end;
  }
}
