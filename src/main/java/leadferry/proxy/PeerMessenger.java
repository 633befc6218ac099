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
 * Sends and receives the datagrams between client proxies; a received message comes with the index
 * of its sender. A message is a hint: one that can't be sent is dropped, and one from an unknown
 * address is ignored. Confined to the event loop of its proxy.
 */
final class PeerMessenger extends SimpleChannelInboundHandler<DatagramPacket> {
  /** Maximum size of a datagram on the platform. */
  private static final int MAX_MESSAGE_BYTES = 256;

  private static final long RETRY_MILLIS = 500;

  private final PeerAddresses addresses;
  private final ObjIntConsumer<byte[]> onMessage;
  private final Log log;
  private Channel channel;
  private boolean bindFailureLogged;

  /**
   * Creates a messenger that passes each message to {@code onMessage}, with the index of its
   * sender.
   */
  PeerMessenger(PeerAddresses addresses, ObjIntConsumer<byte[]> onMessage, Log log) {
    this.addresses = addresses;
    this.onMessage = onMessage;
    this.log = log;
  }

  /**
   * Binds the peer address. Logs a failed bind once and retries: the proxy works without its peers.
   */
  void start(EventLoop loop) {
    new Bootstrap()
        .group(loop)
        .channel(NioDatagramChannel.class)
        // During an upgrade, two processes bind the same address.
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
      log.line("peer messages: can't listen on " + addresses.listen() + ": " + cause.getMessage());
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
   * Opens the socket again: Netty closes a datagram socket at any read error that it does not know.
   */
  @Override
  public void channelInactive(ChannelHandlerContext context) {
    channel = null;
    scheduleStart(context.channel().eventLoop());
  }

  @Override
  public boolean isSharable() {
    return true; // each new socket gets the same handler
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
    // Guards against closing the socket because a peer is unreachable; only a hint is lost.
  }
}
