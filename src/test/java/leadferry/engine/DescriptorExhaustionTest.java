package leadferry.engine;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import leadferry.loadbalancer.Settings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Descriptors run out when a connection to a host is to be opened: by our own bound, or by the
 * system's.
 */
class DescriptorExhaustionTest {
  private static volatile boolean systemIsFull;

  /** A socket as the system gives it, or does not. */
  public static final class Scarce extends NioSocketChannel {
    public Scarce() {
      if (systemIsFull) {
        throw new ChannelException("Too many open files");
      }
    }
  }

  private static final class ScarceTransport implements Transport {
    private final NioTransport usual = new NioTransport();

    @Override
    public IoHandlerFactory ioHandlerFactory() {
      return usual.ioHandlerFactory();
    }

    @Override
    public Class<? extends ServerChannel> listenerType() {
      return usual.listenerType();
    }

    @Override
    public Class<? extends Channel> connectionType() {
      return Scarce.class;
    }

    @Override
    public ClientEnd checkClientEnd(Channel client) {
      return ClientEnd.NONE;
    }

    @Override
    public boolean isQuiet(Channel connection) {
      return true;
    }
  }

  private EngineFixture pool;

  @BeforeEach
  void open() throws Exception {
    systemIsFull = false;
    pool =
        new EngineFixture(
            new ScarceTransport(),
            4,
            new Settings.RequestClass(
                "c", 400, 60_000, Settings.Semantics.AT_MOST_ONCE, Settings.KeyScope.ALL, 0, 1, 0));
  }

  @AfterEach
  void close() throws Exception {
    pool.close();
  }

  @Test
  void whatTheSystemHasNoDescriptorForIsRefusedAtOnceAndNoHostPays() throws Exception {
    systemIsFull = true;
    for (int i = 0; i < 40; i++) {
      assertThat(pool.request()).isEqualTo("refused");
    }
    assertThat(pool.onLoop(pool.sockets::upstreamCount)).isZero();
    assertThat(pool.isIdle()).isTrue();
    systemIsFull = false;
    assertThat(pool.request()).isEqualTo("served");
    assertThat(pool.finalResponses).isEmpty();
  }

  @Test
  void whatIsPastOurOwnBoundIsRefusedAtOnceAndNoHostPays() throws Exception {
    int held =
        pool.onLoop(
            () -> {
              int opened = 0;
              while (pool.sockets.makeRoomForUpstream()) {
                pool.sockets.onUpstreamOpened();
                opened++;
              }
              return opened;
            });
    for (int i = 0; i < 40; i++) {
      assertThat(pool.request()).isEqualTo("refused");
    }
    assertThat(pool.onLoop(pool.sockets::upstreamCount)).isEqualTo(held);
    assertThat(pool.isIdle()).isTrue();
    pool.onLoop(
        () -> {
          pool.sockets.onUpstreamClosed();
          return null;
        });
    assertThat(pool.request()).isEqualTo("served");
    assertThat(pool.finalResponses).isEmpty();
  }
}
