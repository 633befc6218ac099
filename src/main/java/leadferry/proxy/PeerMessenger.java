package leadferry.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.util.concurrent.TimeUnit;
import java.util.function.ObjIntConsumer;
import leadferry.engine.Log;

/**
 * The datagrams between client proxies: bytes out, bytes and their sender's number in. A message is
 * a hint, so one that can't be sent is dropped, and one from an address that is no peer's is passed
 * over. On one loop, its proxy's.
 */
final class PeerMessenger extends SimpleChannelInboundHandler<DatagramPacket> {
  /** The platform's bound on a datagram. */
  private static final int MAX_MESSAGE_BYTES = 256;

  private static final long RETRY_MILLIS = 500;

  private final PeerAddresses addresses;
  private final ObjIntConsumer<byte[]> onMessage;
  private final Log log;
  private Channel channel;
  private boolean bindFailureLogged;

  /** {@code onMessage} gets each message with its sender's number. */
  PeerMessenger(PeerAddresses addresses, ObjIntConsumer<byte[]> onMessage, Log log) {
    this.addresses = addresses;
    this.onMessage = onMessage;
    this.log = log;
  }

  /**
   * Listens. A port that can't be had is one line in the log, and tried again: the proxy works
   * without its peers.
   */
  void start(EventLoop loop) {
    new Bootstrap()
        .group(loop)
        .channel(NioDatagramChannel.class)
        // During an upgrade two processes have the same address.
        .option(ChannelOption.SO_REUSEADDR, true)
        .handler(this)
        .bind(addresses.listen())
        .addListener(
            bound -> {
              if (!bound.isSuccess()) {
                onBindFailure(loop, bound.cause());
              }
            });
  }

  private void onBindFailure(EventLoop loop, Throwable cause) {
    if (!bindFailureLogged) {
      log.line("peers can't be heard at " + addresses.listen() + ": " + cause.getMessage());
    }
    bindFailureLogged = true;
    scheduleStart(loop);
  }

  private void scheduleStart(EventLoop loop) {
    if (!loop.isShuttingDown()) {
      loop.schedule(() -> start(loop), RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /** Sends a message to every other client proxy. */
  void broadcast(byte[] message) {
    if (channel != null) {
      channel.writeAndFlush(
          new DatagramPacket(Unpooled.wrappedBuffer(message), addresses.broadcast()));
    }
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    channel = context.channel();
    bindFailureLogged = false;
  }

  /**
   * A socket that a read error has closed is opened anew: netty closes it for any that it does not
   * know.
   */
  @Override
  public void channelInactive(ChannelHandlerContext context) {
    channel = null;
    scheduleStart(context.channel().eventLoop());
  }

  @Override
  public boolean isSharable() {
    return true; // it is added to one socket after the other
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
    Integer sender = addresses.indexByAddress().get(packet.sender());
    ByteBuf bytes = packet.content();
    if (sender != null && bytes.readableBytes() <= MAX_MESSAGE_BYTES) {
      onMessage.accept(ByteBufUtil.getBytes(bytes), sender);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    // Guards against the close of the socket by an unreachable peer: only a hint is lost.
  }
}
