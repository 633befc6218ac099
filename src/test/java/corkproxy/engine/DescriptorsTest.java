package corkproxy.engine;

import static org.assertj.core.api.Assertions.assertThat;

import corkproxy.balancer.Arrival;
import corkproxy.balancer.HostEntry;
import corkproxy.balancer.LoadReport;
import corkproxy.balancer.Settings;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.ServerChannel;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Descriptors run out when a connection to a host is to be opened: by our own bound, or by the system's. */
class DescriptorsTest {
  private static volatile boolean systemIsFull;

  /** A socket as the system gives it, or does not. */
  public static final class Scarce extends io.netty.channel.socket.nio.NioSocketChannel {
    public Scarce() {
      if (systemIsFull) {
        throw new ChannelException("Too many open files");
      }
    }
  }

  private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, new NioTransport().loops());
  private final EventLoop loop = (EventLoop) group.next();
  private final Log log = new LineLog(new PrintStream(OutputStream.nullOutputStream()), false);
  private final Sockets sockets = new Sockets(140);
  private final BlockingQueue<String> answers = new LinkedBlockingQueue<>();
  private final List<ServerSocket> hosts = new ArrayList<>();
  private Dispatcher pool;

  @BeforeEach
  void open() throws Exception {
    systemIsFull = false;
    List<Hosts.Member> members = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      ServerSocket host = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
      hosts.add(host);
      Thread t = new Thread(() -> answer(host));
      t.setDaemon(true);
      t.start();
      members.add(
          new Hosts.Member(
              "h" + i, (InetSocketAddress) host.getLocalSocketAddress(), "z", "k", 1, HostEntry.Condition.READY, 1, 0));
    }
    Settings settings =
        new Settings(
            List.of(new Settings.RequestClass("c", 400, 60_000, Settings.Semantics.AT_MOST_ONCE, Settings.Scope.ALL, 0, 1, 0)),
            List.of(),
            new Settings.Limits(true, true, true, 3, 1_000, 1),
            new Settings.Rules(1_000, 1, 1_000, 3, 6_000),
            false, "z", 0, 1, 1, false);
    Upstreams upstreams =
        new Upstreams(loop, new ScarceTransport(), Wire::open, PoolBounds.unbounded(10_000, 5_000), sockets, log);
    onLoop(
        () -> {
          pool = new Dispatcher(null, loop, settings, 7, upstreams, new BodyBudget(1 << 20), log);
          pool.start(new Hosts.News(1, true, members), () -> {});
          return null;
        });
  }

  @AfterEach
  void close() throws Exception {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync();
    for (ServerSocket h : hosts) {
      h.close();
    }
  }

  /** One byte is a request, and is sent back. */
  private static void answer(ServerSocket host) {
    try {
      while (true) {
        try (Socket s = host.accept()) {
          s.getOutputStream().write(s.getInputStream().read());
        }
      }
    } catch (IOException e) {
      // the test has ended
    }
  }

  private <T> T onLoop(Callable<T> what) throws Exception {
    return loop.submit(what).get(20, TimeUnit.SECONDS);
  }

  private String ask() throws Exception {
    onLoop(
        () -> {
          pool.take(new OneByte(), new Arrival(0, "c", null, 60_000, Double.NaN, false), null);
          return null;
        });
    return answers.poll(20, TimeUnit.SECONDS); // far within its time, in which it would fail of itself
  }

  private void isAtRest() throws Exception {
    assertThat(onLoop(() -> pool.open())).isZero();
    assertThat(onLoop(() -> pool.busyHosts())).isEmpty();
    assertThat(onLoop(() -> pool.ejectedHosts())).isEmpty();
    assertThat(answers).isEmpty();
  }

  @Test
  void whatTheSystemHasNoDescriptorForIsRefusedAtOnceAndNoHostPays() throws Exception {
    systemIsFull = true;
    for (int i = 0; i < 40; i++) {
      assertThat(ask()).isEqualTo("refused");
    }
    assertThat(onLoop(sockets::upstreams)).isZero();
    isAtRest();
    systemIsFull = false;
    assertThat(ask()).isEqualTo("served");
  }

  @Test
  void whatIsPastOurOwnBoundIsRefusedAtOnceAndNoHostPays() throws Exception {
    int held =
        onLoop(
            () -> {
              int n = 0;
              while (sockets.roomForUpstream()) {
                sockets.upstreamOpened();
                n++;
              }
              return n;
            });
    for (int i = 0; i < 40; i++) {
      assertThat(ask()).isEqualTo("refused");
    }
    assertThat(onLoop(sockets::upstreams)).isEqualTo(held);
    isAtRest();
    onLoop(
        () -> {
          sockets.upstreamClosed();
          return null;
        });
    assertThat(ask()).isEqualTo("served");
  }

  private static final class ScarceTransport implements Transport {
    private final NioTransport usual = new NioTransport();

    @Override
    public IoHandlerFactory loops() {
      return usual.loops();
    }

    @Override
    public Class<? extends ServerChannel> listener() {
      return usual.listener();
    }

    @Override
    public Class<? extends Channel> connection() {
      return Scarce.class;
    }

    @Override
    public End end(Channel client) {
      return End.NONE;
    }

    @Override
    public boolean quiet(Channel connection) {
      return true;
    }
  }

  /** A request of one byte, and its answer. */
  private final class OneByte implements Call {
    @Override
    public void carriedBy(Exchange exchange) {}

    @Override
    public Attempt attempt(Exchange exchange, Host host, int number, double now) {
      return new Attempt(exchange, host, number, now) {
        @Override
        protected ChannelFuture write(Channel channel) {
          return channel.writeAndFlush(Unpooled.wrappedBuffer(new byte[] {1}));
        }

        @Override
        protected LoadReport report() {
          return null;
        }

        @Override
        protected void release() {
          if (mayHaveRun() && exchange.claim()) {
            answers.add("served");
          }
        }
      };
    }

    @Override
    public void refused(double coolDownMs) {
      answers.add("refused");
    }

    @Override
    public void failed(boolean timeUp) {
      answers.add("failed");
    }

    @Override
    public void free() {}
  }

  private static final class Wire extends UpstreamConnection {
    private Wire(Upstreams pool, Host host, Channel channel) {
      super(pool, host, channel);
    }

    static UpstreamConnection open(Upstreams pool, Host host, Channel channel) {
      Wire w = new Wire(pool, host, channel);
      channel.pipeline().addLast(w);
      return w;
    }

    @Override
    protected void begin() {}

    @Override
    protected boolean heard() {
      return false;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
      ReferenceCountUtil.release((ByteBuf) msg);
      attempt().finish(corkproxy.balancer.Result.OK);
    }
  }
}
