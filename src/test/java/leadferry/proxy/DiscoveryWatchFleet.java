package leadferry.proxy;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.util.concurrent.Future;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import leadferry.engine.BodyBudget;
import leadferry.engine.Dispatcher;
import leadferry.engine.Log;
import leadferry.engine.NioTransport;
import leadferry.engine.SocketBudget;
import leadferry.engine.UpstreamConnectionPool;
import leadferry.http.HttpProtocol;

/** Many discovery watches in one process, each with a load balancer of its own. */
final class DiscoveryWatchFleet implements AutoCloseable {
  private static final int DESCRIPTORS = 128;
  private static final int CHECK_MILLIS = 200;

  private record Member(EventLoop loop, Dispatcher dispatcher, Future<?> checks) {}

  private final MultiThreadIoEventLoopGroup group;
  private final List<Member> members = new ArrayList<>();

  /** Starts {@code size} watches with this configuration file. */
  DiscoveryWatchFleet(int size, int loops, Path configFile, Log log) throws Exception {
    Config config = Config.load(Map.of("BALANCER_CONFIG", configFile.toString()));
    NioTransport transport = new NioTransport();
    group = new MultiThreadIoEventLoopGroup(loops, transport.ioHandlerFactory());
    for (int i = 0; i < size; i++) {
      EventLoop loop = (EventLoop) group.next();
      int seed = i;
      members.add(loop.submit(() -> start(loop, transport, config, seed, log)).get());
    }
  }

  private Member start(EventLoop loop, NioTransport transport, Config config, int seed, Log log) {
    UpstreamConnectionPool upstreams =
        new UpstreamConnectionPool(
            loop,
            transport,
            HttpProtocol.PLATFORM,
            config.bounds(),
            new SocketBudget(DESCRIPTORS),
            log);
    Dispatcher dispatcher =
        new Dispatcher(
            null, loop, config.settings(), seed, upstreams, new BodyBudget(1 << 20), log);
    DiscoveryWatch watch = new DiscoveryWatch(loop, config, dispatcher, log);
    watch.start(config.knownList());
    // Each process checks at times of its own.
    Future<?> checks =
        loop.scheduleAtFixedRate(
            watch::checkTimeouts, seed % CHECK_MILLIS, CHECK_MILLIS, TimeUnit.MILLISECONDS);
    return new Member(loop, dispatcher, checks);
  }

  /** Returns the number of watches whose load balancer may send to this host. */
  int countSendable(String host) {
    int count = 0;
    for (Member member : members) {
      count +=
          member
                  .loop()
                  .submit(() -> member.dispatcher().isSendable(host))
                  .syncUninterruptibly()
                  .getNow()
              ? 1
              : 0;
    }
    return count;
  }

  @Override
  public void close() {
    members.forEach(member -> member.checks().cancel(false));
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
  }
}
