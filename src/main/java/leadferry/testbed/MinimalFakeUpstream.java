package leadferry.testbed;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import leadferry.engine.NativeTransport;
import leadferry.engine.NioTransport;
import leadferry.engine.Transport;

/**
 * A fake upstream without service time or faults, as fast as the machine's sockets allow: one write
 * for each read, with responses copied from prepared bytes. Benchmarks of the daemon use it; tests
 * use {@link FakeUpstream}.
 */
public final class MinimalFakeUpstream implements AutoCloseable {
  private static final byte[] REQUEST_ID = ascii("x-request-id");
  private static final byte[] CONTENT_LENGTH = ascii("content-length");
  private static final byte[] TRANSFER_ENCODING = ascii("transfer-encoding");

  private final MultiThreadIoEventLoopGroup group;
  private final Channel listener;
  private final byte[] head;
  private final byte[] body;
  private volatile long responsesSent;

  /**
   * Starts an upstream on loopback whose responses have a body of {@code bodyBytes}. Port 0 stands
   * for any port.
   */
  public MinimalFakeUpstream(String name, int port, int bodyBytes) {
    this.head =
        ascii(
            "HTTP/1.1 200 OK\r\ncontent-length: "
                + bodyBytes
                + "\r\nx-served-by: "
                + name
                + "\r\nx-request-id: ");
    this.body = ascii("\r\n\r\n" + " ".repeat(bodyBytes));
    Transport transport = transport();
    this.group =
        new MultiThreadIoEventLoopGroup(
            1, new DefaultThreadFactory("quick", true), transport.ioHandlerFactory());
    this.listener =
        new ServerBootstrap()
            .group(group)
            .channel(transport.listenerType())
            .option(ChannelOption.SO_BACKLOG, 1_024)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    channel.pipeline().addLast(new Connection());
                  }
                })
            .bind(InetAddress.getLoopbackAddress(), port)
            .syncUninterruptibly()
            .channel();
  }

  /** Returns the epoll transport where it is available, and the JDK's NIO transport otherwise. */
  static Transport transport() {
    return NativeTransport.EPOLL.unavailabilityCause() == null
        ? NativeTransport.EPOLL
        : new NioTransport();
  }

  static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  /** Returns the address as {@code 127.0.0.1:port}. */
  public String hostAndPort() {
    return "127.0.0.1:" + ((InetSocketAddress) listener.localAddress()).getPort();
  }

  /** Returns the number of responses written so far. */
  public long responsesSent() {
    return responsesSent;
  }

  private final class Connection extends ChannelInboundHandlerAdapter {
    private final HeadBuffer buffer = new HeadBuffer();
    private long bodyBytesLeft;

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      ByteBuf read = (ByteBuf) message;
      ByteBuf responses = null;
      boolean isSupported;
      try {
        isSupported = buffer.append(read);
      } finally {
        read.release();
      }
      int headEnd;
      while (isSupported && skipBody() && (headEnd = buffer.headEnd()) > 0) {
        responses = responses == null ? context.alloc().ioBuffer(512) : responses;
        isSupported = respond(responses, headEnd);
      }
      if (responses != null) {
        context.writeAndFlush(responses, context.voidPromise());
      }
      if (!isSupported) {
        context.close();
      }
    }

    /**
     * Skips buffered bytes of a request body. Returns whether the complete body has been skipped.
     */
    private boolean skipBody() {
      long skipped = Math.min(bodyBytesLeft, buffer.end - buffer.start);
      buffer.start += (int) skipped;
      bodyBytesLeft -= skipped;
      return bodyBytesLeft == 0;
    }

    /**
     * Writes the response to the request whose head ends at {@code headEnd}. Returns false if the
     * request has a transfer encoding, which this upstream does not support.
     */
    private boolean respond(ByteBuf out, int headEnd) {
      int idStart = 0;
      int idEnd = 0;
      for (int line = buffer.nextLineStart(buffer.start);
          line < headEnd - 2;
          line = buffer.nextLineStart(line)) {
        int valueStart;
        if ((valueStart = buffer.headerValueStart(line, REQUEST_ID)) > 0) {
          idStart = valueStart;
          idEnd = buffer.lineEnd(valueStart);
        } else if ((valueStart = buffer.headerValueStart(line, CONTENT_LENGTH)) > 0) {
          bodyBytesLeft = buffer.parseNumber(valueStart, 10);
        } else if (buffer.headerValueStart(line, TRANSFER_ENCODING) > 0) {
          return false;
        }
      }
      out.writeBytes(head).writeBytes(buffer.bytes, idStart, idEnd - idStart).writeBytes(body);
      buffer.start = headEnd;
      responsesSent++;
      return true;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }

  @Override
  public void close() {
    group
        .shutdownGracefully(0, 0, java.util.concurrent.TimeUnit.MILLISECONDS)
        .syncUninterruptibly();
  }
}
