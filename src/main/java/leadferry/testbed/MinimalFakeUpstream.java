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
 * A host that does no work and never misbehaves, as quick as this machine's sockets let it be: one
 * write for each read, answers copied from bytes that stand ready. It is what the daemon is
 * measured against; {@link FakeUpstream} is what it is tested against.
 */
public final class MinimalFakeUpstream implements AutoCloseable {
  private static final byte[] ID = ascii("x-request-id");
  private static final byte[] LENGTH = ascii("content-length");
  private static final byte[] CHUNKED = ascii("transfer-encoding");

  private final MultiThreadIoEventLoopGroup group;
  private final Channel listener;
  private final byte[] head;
  private final byte[] body;
  private volatile long responsesSent;

  /** Starts a host on loopback, at any port for 0, that answers {@code bodyBytes} bytes. */
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
                  protected void initChannel(SocketChannel ch) {
                    ch.pipeline().addLast(new Connection());
                  }
                })
            .bind(InetAddress.getLoopbackAddress(), port)
            .syncUninterruptibly()
            .channel();
  }

  /** What Linux gives, else the JDK's sockets. */
  static Transport transport() {
    return NativeTransport.EPOLL.unavailabilityCause() == null
        ? NativeTransport.EPOLL
        : new NioTransport();
  }

  static byte[] ascii(String s) {
    return s.getBytes(StandardCharsets.US_ASCII);
  }

  /** {@code 127.0.0.1:port}. */
  public String hostAndPort() {
    return "127.0.0.1:" + ((InetSocketAddress) listener.localAddress()).getPort();
  }

  public long responsesSent() {
    return responsesSent;
  }

  private final class Connection extends ChannelInboundHandlerAdapter {
    private final HeadBuffer in = new HeadBuffer();
    private long skip;

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
      ByteBuf read = (ByteBuf) msg;
      ByteBuf out = null;
      boolean sound;
      try {
        sound = in.append(read);
      } finally {
        read.release();
      }
      int end;
      while (sound && skip() && (end = in.headEnd()) > 0) {
        out = out == null ? ctx.alloc().ioBuffer(512) : out;
        sound = answer(out, end);
      }
      if (out != null) {
        ctx.writeAndFlush(out, ctx.voidPromise());
      }
      if (!sound) {
        ctx.close();
      }
    }

    /** Passes over what is left of a body; whether that was all of it. */
    private boolean skip() {
      long n = Math.min(skip, in.end - in.start);
      in.start += (int) n;
      skip -= n;
      return skip == 0;
    }

    /** Answers the request whose head ends there; false if it is none for this host. */
    private boolean answer(ByteBuf out, int end) {
      int idFrom = 0;
      int idTo = 0;
      for (int line = in.nextLineStart(in.start); line < end - 2; line = in.nextLineStart(line)) {
        int at;
        if ((at = in.headerValueStart(line, ID)) > 0) {
          idFrom = at;
          idTo = in.lineEnd(at);
        } else if ((at = in.headerValueStart(line, LENGTH)) > 0) {
          skip = in.parseNumber(at, 10);
        } else if (in.headerValueStart(line, CHUNKED) > 0) {
          return false;
        }
      }
      out.writeBytes(head).writeBytes(in.bytes, idFrom, idTo - idFrom).writeBytes(body);
      in.start = end;
      responsesSent++;
      return true;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }

  @Override
  public void close() {
    group
        .shutdownGracefully(0, 0, java.util.concurrent.TimeUnit.MILLISECONDS)
        .syncUninterruptibly();
  }
}
