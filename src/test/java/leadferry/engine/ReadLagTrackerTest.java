package leadferry.engine;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against a delay in this process that is taken for the peer's: a loop that was busy must
 * report how long ago it last read everything, and a loop that waited must report that its data is
 * new.
 */
class ReadLagTrackerTest {
  private static final long BUSY_MILLIS = 60;
  private final BlockingQueue<Long> lags = new LinkedBlockingQueue<>();
  private MultiThreadIoEventLoopGroup group;
  private Channel listener;
  private Socket peer;

  static Stream<Transport> transports() {
    return NativeTransport.EPOLL.unavailabilityCause() == null
        ? Stream.of(new NioTransport(), NativeTransport.EPOLL)
        : Stream.of(new NioTransport());
  }

  private void open(Transport transport) throws Exception {
    group = new MultiThreadIoEventLoopGroup(1, transport.ioHandlerFactory());
    listener =
        new ServerBootstrap()
            .group(group)
            .channel(transport.listenerType())
            .childHandler(
                new ChannelInboundHandlerAdapter() {
                  @Override
                  public boolean isSharable() {
                    return true;
                  }

                  @Override
                  public void channelRead(ChannelHandlerContext ctx, Object msg) {
                    lags.add(ReadLagTracker.lagNanos());
                    io.netty.util.ReferenceCountUtil.release(msg);
                  }
                })
            .bind(InetAddress.getLoopbackAddress(), 0)
            .sync()
            .channel();
    peer = new Socket();
    peer.connect((InetSocketAddress) listener.localAddress());
    peer.setTcpNoDelay(true);
  }

  @AfterEach
  void close() throws Exception {
    peer.close();
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync();
  }

  private long awaitReadLag() throws Exception {
    Long nanos = lags.poll(20, TimeUnit.SECONDS);
    assertThat(nanos).as("read lag").isNotNull();
    return nanos;
  }

  @ParameterizedTest
  @MethodSource("transports")
  void busyLoopDataIsReportedAsOldAsTheBusyTime(Transport transport) throws Exception {
    open(transport);
    peer.getOutputStream().write(1);
    awaitReadLag();
    EventLoop loop = group.next();
    CountDownLatch busy = new CountDownLatch(1);
    CountDownLatch sent = new CountDownLatch(1);
    loop.execute(
        () -> {
          busy.countDown();
          try {
            sent.await();
            Thread.sleep(BUSY_MILLIS);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
    busy.await();
    peer.getOutputStream().write(1);
    sent.countDown();
    assertThat(awaitReadLag()).isGreaterThanOrEqualTo(TimeUnit.MILLISECONDS.toNanos(BUSY_MILLIS));
  }

  @ParameterizedTest
  @MethodSource("transports")
  void dataThatEndsAWaitIsReportedAsNew(Transport transport) throws Exception {
    open(transport);
    long smallestLagNanos = Long.MAX_VALUE;
    for (int i = 0; i < 20 && smallestLagNanos > TimeUnit.MILLISECONDS.toNanos(10); i++) {
      Thread.sleep(30); // the loop waits in its poll
      peer.getOutputStream().write(1);
      smallestLagNanos = Math.min(smallestLagNanos, awaitReadLag());
    }
    assertThat(smallestLagNanos).isLessThan(TimeUnit.MILLISECONDS.toNanos(10));
  }

  @ParameterizedTest
  @MethodSource("transports")
  void outsideALoopLagIsZero(Transport transport) throws Exception {
    open(transport);
    assertThat(ReadLagTracker.lagNanos()).isZero();
  }
}
