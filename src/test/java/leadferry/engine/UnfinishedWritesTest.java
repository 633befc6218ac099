package leadferry.engine;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import leadferry.loadbalancer.Settings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A host that takes only part of a request: its last byte may go out much later, and a host counts
 * from that one. No body that is held is longer than what the kernel takes on loopback, so the
 * write that waits is the protocol's here.
 */
class UnfinishedWritesTest {
  private static final int WINDOW = 600;
  private EngineFixture pool;

  @AfterEach
  void close() throws Exception {
    pool.close();
  }

  /** Whichever of the two is stuck, the first one or the copy. */
  @ParameterizedTest
  @ValueSource(ints = {0, 1})
  void whatIsStuckInItsWriteIsWithdrawnWhenTheWindowOfTheOtherEnds(int stuck) throws Exception {
    pool =
        new EngineFixture(
            new NioTransport(),
            2,
            new Settings.RequestClass(
                "c",
                100,
                60_000,
                Settings.Semantics.DEDUPLICATED,
                Settings.KeyScope.ALL,
                WINDOW,
                1,
                0));
    pool.hostsRespond = false;
    pool.attemptWriter =
        (number, channel) ->
            number == stuck
                ? channel.newPromise()
                : channel.writeAndFlush(Unpooled.wrappedBuffer(new byte[] {1}));
    long begun = System.nanoTime();
    pool.submit();
    long until = System.nanoTime() + 20_000_000_000L;
    while (pool.endedSockets.isEmpty() && System.nanoTime() < until) {
      Thread.sleep(1);
    }
    assertThat(pool.acceptedSockets).hasSize(2);
    assertThat(pool.endedSockets).hasSize(1);
    assertThat(System.nanoTime() - begun)
        .isGreaterThan((WINDOW - 100) * 1_000_000L); // not before it has to be
    assertThat(pool.openRequests()).isEqualTo(1); // the other one may answer still
    assertThat(pool.finalResponses).isEmpty();
  }
}
