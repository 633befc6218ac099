package leadferry.engine;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
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
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import leadferry.loadbalancer.AttemptOutcome;
import leadferry.loadbalancer.EndpointUpdate;
import leadferry.loadbalancer.LoadReport;
import leadferry.loadbalancer.RequestArrival;
import leadferry.loadbalancer.Settings;
import leadferry.proxy.ProxyFixture;

/**
 * Runs the engine against hosts on loopback sockets. In its protocol one byte is a request, and the
 * same byte is the response.
 */
final class EngineFixture {
  /** Time limit of a wait, well below the deadline of a request, which would fail it. */
  private static final long TIMEOUT_SECONDS = 20;

  private final MultiThreadIoEventLoopGroup group;
  private final EventLoop loop;
  private final List<ServerSocket> hosts = new ArrayList<>();
  private final Dispatcher dispatcher;
  final SocketBudget sockets = new SocketBudget(140);

  /** Final responses in order of arrival. */
  final BlockingQueue<String> finalResponses = new LinkedBlockingQueue<>();

  /** Connections that the hosts have accepted, and those of them that have ended. */
  final List<Socket> acceptedSockets = new CopyOnWriteArrayList<>();

  final List<Socket> endedSockets = new CopyOnWriteArrayList<>();

  /** Whether the hosts send back the bytes that they receive. */
  volatile boolean hostsRespond = true;

  /** Writes an attempt with the given number; by default writes its byte at once. */
  volatile BiFunction<Integer, Channel, ChannelFuture> attemptWriter =
      (number, channel) -> channel.writeAndFlush(Unpooled.wrappedBuffer(new byte[] {1}));

  private final Settings settings;

  EngineFixture(Transport transport, int size, Settings.RequestClass type) throws Exception {
    group = new MultiThreadIoEventLoopGroup(1, transport.ioHandlerFactory());
    loop = (EventLoop) group.next();
    List<UpstreamHosts.Member> members = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      ServerSocket host = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
      hosts.add(host);
      ProxyFixture.runInBackground(() -> accept(host));
      InetSocketAddress address = (InetSocketAddress) host.getLocalSocketAddress();
      members.add(
          new UpstreamHosts.Member(
              "h" + i, address, "z", "k", 1, EndpointUpdate.Condition.READY, 1, 0));
    }
    settings =
        new Settings(
            List.of(type),
            List.of(),
            new Settings.Limits(true, true, true, 3, 1_000, 1),
            new Settings.WarmUpRules(1_000, 1, 1_000, 3, 6_000),
            false,
            "z",
            0,
            1,
            1,
            false);
    Log log = new LineLog(new PrintStream(OutputStream.nullOutputStream()), false);
    UpstreamConnectionPool upstreams =
        new UpstreamConnectionPool(
            loop, transport, this::connection, PoolBounds.unbounded(10_000, 5_000), sockets, log);
    dispatcher =
        onLoop(
            () -> {
              Dispatcher started =
                  new Dispatcher(null, loop, settings, 7, upstreams, new BodyBudget(1 << 20), log);
              started.start(new UpstreamHosts.ListUpdate(1, true, members), () -> {});
              return started;
            });
  }

  private void accept(ServerSocket host) throws IOException {
    while (true) {
      Socket socket = host.accept();
      acceptedSockets.add(socket);
      ProxyFixture.runInBackground(
          () -> {
            int request;
            while ((request = socket.getInputStream().read()) >= 0) {
              if (hostsRespond) {
                socket.getOutputStream().write(request);
              }
            }
            endedSockets.add(socket);
          });
    }
  }

  <T> T onLoop(Callable<T> task) throws Exception {
    return loop.submit(task).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  /**
   * Submits a request with a deadline beyond the end of the test; its final response is added to
   * {@link #finalResponses}.
   */
  void submit() throws Exception {
    onLoop(
        () -> {
          dispatcher.submit(
              new OneByteCall(),
              new RequestArrival(0, settings.policies().get("c"), null, 60_000, Double.NaN, false),
              null);
          return null;
        });
  }

  /** Submits a request and returns its final response, or null where none arrives in time. */
  String request() throws Exception {
    submit();
    return finalResponses.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  int openRequests() throws Exception {
    return onLoop(dispatcher::openRequests);
  }

  /** Whether no request is open, no host has an attempt in flight, and no host is ejected. */
  boolean isIdle() throws Exception {
    return onLoop(
        () ->
            dispatcher.openRequests() == 0
                && dispatcher.busyHosts().isEmpty()
                && dispatcher.ejectedHosts().isEmpty());
  }

  void close() throws Exception {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync();
    for (ServerSocket h : hosts) {
      h.close();
    }
    for (Socket s : acceptedSockets) {
      s.close();
    }
  }

  /** A request of one byte. */
  private final class OneByteCall implements ClientCall {
    @Override
    public void onExchangeStarted(Exchange exchange) {}

    @Override
    public Attempt createAttempt(Exchange exchange, UpstreamHost host, int number, double now) {
      return new Attempt(exchange, host, number, now) {
        @Override
        protected ChannelFuture write(Channel channel) {
          return attemptWriter.apply(number, channel);
        }

        @Override
        protected LoadReport loadReport() {
          return null;
        }

        @Override
        protected void releaseResponse(AttemptOutcome outcome) {}
      };
    }

    @Override
    public void sendRejection(double coolDownMs) {
      finalResponses.add("refused");
    }

    @Override
    public void sendFailure(boolean timeUp) {
      finalResponses.add("failed");
    }

    @Override
    public void free() {}
  }

  private UpstreamConnection connection(
      UpstreamConnectionPool pool, UpstreamHost host, Channel channel) {
    UpstreamConnection opened = new EchoConnection(pool, host, channel);
    channel.pipeline().addLast(opened);
    return opened;
  }

  private final class EchoConnection extends UpstreamConnection {
    private EchoConnection(UpstreamConnectionPool pool, UpstreamHost host, Channel channel) {
      super(pool, host, channel);
    }

    @Override
    protected void prepareForAttempt() {}

    @Override
    protected boolean hasResponseBytes() {
      return false;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
      ReferenceCountUtil.release(msg);
      Attempt attempt = attempt();
      if (attempt.exchange.claim()) {
        finalResponses.add("served");
      }
      onResponseComplete(true);
      attempt.finish(AttemptOutcome.OK);
    }
  }
}
