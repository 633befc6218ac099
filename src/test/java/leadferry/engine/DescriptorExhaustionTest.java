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
 * Guards against requests that hang or are charged to a host when no descriptor is left for a
 * connection to a host, because of the process's own limit or of the system's.
 */
class DescriptorExhaustionTest {
  private static volatile boolean isSystemExhausted;

  /** A socket whose creation fails while the simulated system has no free descriptor. */
  public static final class LimitedSocketChannel extends NioSocketChannel {
    public LimitedSocketChannel() {
      if (isSystemExhausted) {
        throw new ChannelException("Too many open files");
      }
    }
  }

  private static final class LimitedTransport implements Transport {
    private final NioTransport delegate = new NioTransport();

    @Override
    public IoHandlerFactory ioHandlerFactory() {
      return delegate.ioHandlerFactory();
    }

    @Override
    public Class<? extends ServerChannel> listenerType() {
      return delegate.listenerType();
    }

    @Override
    public Class<? extends Channel> connectionType() {
      return LimitedSocketChannel.class;
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

  private EngineFixture engine;

  @BeforeEach
  void open() throws Exception {
    isSystemExhausted = false;
    engine =
        new EngineFixture(
            new LimitedTransport(),
            4,
            new Settings.RequestClass(
                "c", 400, 60_000, Settings.Semantics.AT_MOST_ONCE, Settings.KeyScope.ALL, 0, 1, 0));
  }

  @AfterEach
  void close() throws Exception {
    engine.close();
  }

  @Test
  void systemLimitReachedRequestIsRejectedAndNoHostIsCharged() throws Exception {
    isSystemExhausted = true;
    for (int i = 0; i < 40; i++) {
      assertThat(engine.request()).isEqualTo("refused");
    }
    assertThat(engine.onLoop(engine.sockets::upstreamCount)).isZero();
    assertThat(engine.isIdle()).isTrue();
    isSystemExhausted = false;
    assertThat(engine.request()).isEqualTo("served");
    assertThat(engine.finalResponses).isEmpty();
  }

  @Test
  void ownLimitReachedRequestIsRejectedAndNoHostIsCharged() throws Exception {
    int openUpstreams =
        engine.onLoop(
            () -> {
              int opened = 0;
              while (engine.sockets.makeRoomForUpstream()) {
                engine.sockets.onUpstreamOpened();
                opened++;
              }
              return opened;
            });
    for (int i = 0; i < 40; i++) {
      assertThat(engine.request()).isEqualTo("refused");
    }
    assertThat(engine.onLoop(engine.sockets::upstreamCount)).isEqualTo(openUpstreams);
    assertThat(engine.isIdle()).isTrue();
    engine.onLoop(
        () -> {
          engine.sockets.onUpstreamClosed();
          return null;
        });
    assertThat(engine.request()).isEqualTo("served");
    assertThat(engine.finalResponses).isEmpty();
  }
}
