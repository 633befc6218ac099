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
 * A loop that was busy knows how old what it reads may be; one that waited knows that it is new.
 */
class ReadLagTrackerTest {
  private static final long BUSY_MS = 60;
  private final BlockingQueue<Long> behind = new LinkedBlockingQueue<>();
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
                    behind.add(ReadLagTracker.lagNanos());
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

  private long read() throws Exception {
    Long nanos = behind.poll(20, TimeUnit.SECONDS);
    assertThat(nanos).as("read").isNotNull();
    return nanos;
  }

  @ParameterizedTest
  @MethodSource("transports")
  void whatCameWhileTheLoopWasBusyIsAsOldAsThat(Transport transport) throws Exception {
    open(transport);
    peer.getOutputStream().write(1);
    read();
    EventLoop loop = group.next();
    CountDownLatch busy = new CountDownLatch(1);
    CountDownLatch sent = new CountDownLatch(1);
    loop.execute(
        () -> {
          busy.countDown();
          try {
            sent.await();
            Thread.sleep(BUSY_MS);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
    busy.await();
    peer.getOutputStream().write(1);
    sent.countDown();
    assertThat(read()).isGreaterThanOrEqualTo(TimeUnit.MILLISECONDS.toNanos(BUSY_MS));
  }

  @ParameterizedTest
  @MethodSource("transports")
  void whatEndsAWaitIsNew(Transport transport) throws Exception {
    open(transport);
    long least = Long.MAX_VALUE;
    for (int i = 0; i < 20 && least > TimeUnit.MILLISECONDS.toNanos(10); i++) {
      Thread.sleep(30); // the loop waits
      peer.getOutputStream().write(1);
      least = Math.min(least, read());
    }
    assertThat(least).isLessThan(TimeUnit.MILLISECONDS.toNanos(10));
  }

  @ParameterizedTest
  @MethodSource("transports")
  void offALoopNothingIsBehind(Transport transport) throws Exception {
    open(transport);
    assertThat(ReadLagTracker.lagNanos()).isZero();
  }
}
