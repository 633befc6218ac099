package leadferry.engine;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import leadferry.loadbalancer.Settings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a request that runs twice because a host reads only part of it: the last byte may
 * be sent much later, and a host counts the request from that byte. Every body that is held fits
 * into the kernel's loopback buffers, so the protocol of this test delays the write instead.
 */
class UnfinishedWritesTest {
  private static final int REPEAT_WINDOW_MILLIS = 600;
  private EngineFixture engine;

  @AfterEach
  void close() throws Exception {
    engine.close();
  }

  /** Either attempt may be the stuck one, the first or the repeat. */
  @ParameterizedTest
  @ValueSource(ints = {0, 1})
  void stuckWriteEndsWhenTheRepeatWindowOfTheOtherAttemptEnds(int stuck) throws Exception {
    engine =
        new EngineFixture(
            new NioTransport(),
            2,
            new Settings.RequestClass(
                "c",
                100,
                60_000,
                Settings.Semantics.DEDUPLICATED,
                Settings.KeyScope.ALL,
                REPEAT_WINDOW_MILLIS,
                1,
                0));
    engine.hostsRespond = false;
    engine.attemptWriter =
        (number, channel) ->
            number == stuck
                ? channel.newPromise()
                : channel.writeAndFlush(Unpooled.wrappedBuffer(new byte[] {1}));
    long begun = System.nanoTime();
    engine.submit();
    long until = System.nanoTime() + 20_000_000_000L;
    while (engine.endedSockets.isEmpty() && System.nanoTime() < until) {
      Thread.sleep(1);
    }
    assertThat(engine.acceptedSockets).hasSize(2);
    assertThat(engine.endedSockets).hasSize(1);
    assertThat(System.nanoTime() - begun)
        .isGreaterThan((REPEAT_WINDOW_MILLIS - 100) * 1_000_000L); // not earlier than required
    assertThat(engine.openRequests()).isEqualTo(1); // the other attempt may still get a response
    assertThat(engine.finalResponses).isEmpty();
  }
}
