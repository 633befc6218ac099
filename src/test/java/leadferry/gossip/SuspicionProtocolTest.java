package leadferry.gossip;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import leadferry.loadbalancer.EndpointListEvent;
import leadferry.loadbalancer.EndpointUpdate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests when a proxy broadcasts suspicions and refutations, and when it ejects or readmits an
 * endpoint.
 */
class SuspicionProtocolTest {
  private static final long ENDPOINT_ID = 77;
  private static final double OBJECTIVE_MILLIS = 500;

  private static final class RecordedActions implements SuspicionProtocol.Actions {
    final List<SuspicionMessage> messages = new ArrayList<>();
    final List<String> commands = new ArrayList<>();
    final List<Double> delaysMillis = new ArrayList<>();

    @Override
    public void broadcast(byte[] message) {
      messages.add(SuspicionMessage.decode(message));
    }

    @Override
    public void eject(long endpoint, double lengthMillis, boolean isRepeated) {
      commands.add((isRepeated ? "eject again " : "eject ") + endpoint);
      assertThat(lengthMillis).isBetween(OBJECTIVE_MILLIS, 21 * OBJECTIVE_MILLIS);
    }

    @Override
    public void readmit(long endpoint) {
      commands.add("readmit " + endpoint);
    }

    @Override
    public void scheduleTimer(double delayMillis) {
      delaysMillis.add(delayMillis);
    }
  }

  private final RecordedActions actions = new RecordedActions();
  private final SuspicionProtocol protocol =
      new SuspicionProtocol("a", 100, OBJECTIVE_MILLIS, 5, actions);

  SuspicionProtocolTest() {
    protocol.onEndpointList(
        EndpointListEvent.FULL, List.of(endpoint(0, EndpointUpdate.Condition.READY)));
  }

  private static EndpointUpdate endpoint(
      double onlineSinceMillis, EndpointUpdate.Condition condition) {
    return new EndpointUpdate(ENDPOINT_ID, "a", "k", 1, condition, 1, onlineSinceMillis);
  }

  private static byte[] suspicion(String zone, int ageMillis) {
    return new SuspicionMessage(SuspicionMessage.zoneByte(zone), ENDPOINT_ID, ageMillis, false)
        .encode();
  }

  private static byte[] refutation(String zone, int ageMillis) {
    return new SuspicionMessage(SuspicionMessage.zoneByte(zone), ENDPOINT_ID, ageMillis, true)
        .encode();
  }

  /** Advances the time past the point at which unrefuted witnesses cause an ejection. */
  private void passDecisionTime(double fromMillis) {
    protocol.onTimer(fromMillis + 0.4 * OBJECTIVE_MILLIS);
  }

  @Test
  void messageSurvivesEncodingAndDecoding() {
    for (boolean isAlive : new boolean[] {true, false}) {
      SuspicionMessage suspicion =
          new SuspicionMessage((byte) -3, Long.MAX_VALUE - 5, 1_234, isAlive);
      assertThat(SuspicionMessage.decode(suspicion.encode())).isEqualTo(suspicion);
      assertThat(suspicion.encode()).hasSize(SuspicionMessage.SIZE_BYTES);
    }
    assertThat(
            SuspicionMessage.decode(new SuspicionMessage((byte) 1, 2, 99_999, false).encode())
                .ageMillis())
        .isEqualTo(SuspicionMessage.MAX_AGE_MILLIS);
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 11, 13, 256})
  void malformedMessageIsIgnored(int length) {
    protocol.onMessage(1_000, 3, new byte[length]);
    protocol.onMessage(1_000, 4, new byte[length]);
    assertThat(actions.commands).isEmpty();
  }

  @Test
  void ownLossIsBroadcastAndSecondWitnessEjects() {
    protocol.onNoResponse(1_000, ENDPOINT_ID, 500);
    assertThat(actions.messages)
        .containsExactly(
            new SuspicionMessage(SuspicionMessage.zoneByte("a"), ENDPOINT_ID, 500, false));
    assertThat(actions.commands).isEmpty();
    protocol.onMessage(1_020, 3, suspicion("a", 450));
    assertThat(actions.commands).isEmpty();
    passDecisionTime(1_020);
    assertThat(actions.commands).containsExactly("eject 77");
  }

  @Test
  void repeatedMessagesOfOneWitnessDoNotEject() {
    for (int i = 0; i < 5; i++) {
      protocol.onMessage(1_000 + i, 3, suspicion("a", 450));
    }
    passDecisionTime(1_005);
    assertThat(actions.commands).isEmpty();
  }

  @Test
  void twoOwnLossesCountAsOneWitness() {
    protocol.onNoResponse(1_000, ENDPOINT_ID, 500);
    protocol.onNoResponse(1_100, ENDPOINT_ID, 600);
    passDecisionTime(1_100);
    assertThat(actions.commands).isEmpty();
  }

  @Test
  void laterResponseRefutesSuspicionAfterDelay() {
    protocol.onResponse(1_000, ENDPOINT_ID);
    protocol.onMessage(1_100, 3, suspicion("a", 450));
    protocol.onMessage(1_110, 4, suspicion("a", 450));
    assertThat(actions.commands).isEmpty();
    assertThat(actions.delaysMillis).hasSize(1);
    assertThat(actions.delaysMillis.get(0)).isBetween(0.0, OBJECTIVE_MILLIS / 4);
    protocol.onTimer(1_100 + actions.delaysMillis.get(0));
    assertThat(actions.messages).hasSize(1);
    assertThat(actions.messages.get(0).isAlive()).isTrue();
  }

  @Test
  void refutationOfAnotherProxySuppressesOwn() {
    protocol.onResponse(1_000, ENDPOINT_ID);
    protocol.onMessage(1_100, 3, suspicion("a", 450));
    protocol.onMessage(1_105, 4, refutation("a", 20));
    protocol.onTimer(1_500);
    assertThat(actions.messages).isEmpty();
  }

  @Test
  void responseBeforeSilenceDoesNotRefute() {
    protocol.onResponse(1_000, ENDPOINT_ID);
    protocol.onMessage(1_600, 3, suspicion("a", 500));
    protocol.onMessage(1_610, 4, suspicion("a", 500));
    passDecisionTime(1_610);
    assertThat(actions.commands).containsExactly("eject 77");
  }

  @Test
  void refutationRemovesWitnesses() {
    protocol.onMessage(1_000, 3, suspicion("a", 450));
    protocol.onMessage(1_010, 5, refutation("a", 5));
    protocol.onMessage(1_020, 4, suspicion("a", 450));
    passDecisionTime(1_020);
    assertThat(actions.commands).isEmpty();
  }

  /**
   * Guards against ejections during an overload: two proxies lose one request each while the
   * endpoint keeps serving other requests.
   */
  @Test
  void refutationBeforeDecisionPreventsEjection() {
    protocol.onMessage(1_000, 3, suspicion("a", 450));
    protocol.onMessage(1_010, 4, suspicion("a", 450));
    protocol.onMessage(1_100, 5, refutation("a", 5));
    passDecisionTime(1_010);
    assertThat(actions.commands).isEmpty();
  }

  @Test
  void messagesOfOtherZonesAreIgnored() {
    protocol.onMessage(1_000, 3, suspicion("b", 450));
    protocol.onMessage(1_010, 4, suspicion(null, 450));
    passDecisionTime(1_010);
    assertThat(actions.commands).isEmpty();
    protocol.onMessage(1_020, 5, suspicion("a", 450));
    protocol.onMessage(1_030, 6, suspicion("a", 450));
    passDecisionTime(1_030);
    // a response received in the zone that is cut off
    protocol.onMessage(1_200, 7, refutation("b", 0));
    assertThat(actions.commands).containsExactly("eject 77");
  }

  @Test
  void oldWitnessesExpire() {
    protocol.onMessage(1_000, 3, suspicion("a", 450));
    protocol.onMessage(1_000 + 5 * OBJECTIVE_MILLIS, 4, suspicion("a", 450));
    passDecisionTime(1_000 + 5 * OBJECTIVE_MILLIS);
    assertThat(actions.commands).isEmpty();
  }

  @Test
  void lostTrialIsBroadcastAndExtendsEjection() {
    protocol.onMessage(1_000, 3, suspicion("a", 450));
    protocol.onMessage(1_010, 4, suspicion("a", 450));
    passDecisionTime(1_010);
    // sent before the ejection, so not reported again
    protocol.onNoResponse(1_300, ENDPOINT_ID, 900);
    assertThat(actions.messages).isEmpty();
    protocol.onNoResponse(2_300, ENDPOINT_ID, 1_800);
    assertThat(actions.messages).hasSize(1);
    protocol.onMessage(3_000, 9, suspicion("a", 500));
    assertThat(actions.commands).containsExactly("eject 77", "eject again 77", "eject again 77");
  }

  @Test
  void firstSuccessfulTrialReadmitsEndpoint() {
    protocol.onMessage(1_000, 3, suspicion("a", 450));
    protocol.onMessage(1_010, 4, suspicion("a", 450));
    passDecisionTime(1_010);
    // sent before the ejection, so it does not readmit the endpoint
    protocol.onMessage(1_220, 5, refutation("a", 400));
    assertThat(protocol.isEjected(ENDPOINT_ID)).isTrue();
    protocol.onMessage(4_000, 5, refutation("a", 0));
    assertThat(actions.commands).containsExactly("eject 77", "readmit 77");
    assertThat(protocol.isEjected(ENDPOINT_ID)).isFalse();

    protocol.onMessage(5_000, 3, suspicion("a", 450));
    protocol.onMessage(5_010, 4, suspicion("a", 450));
    passDecisionTime(5_010);
    protocol.onResponse(7_000, ENDPOINT_ID);
    assertThat(actions.messages)
        .containsExactly(
            new SuspicionMessage(SuspicionMessage.zoneByte("a"), ENDPOINT_ID, 0, true));
  }

  @Test
  void unknownEndpointIsIgnored() {
    protocol.forget(ENDPOINT_ID);
    protocol.onMessage(1_000, 3, suspicion("a", 450));
    protocol.onMessage(1_010, 4, suspicion("a", 450));
    protocol.onNoResponse(1_020, ENDPOINT_ID, 500);
    passDecisionTime(1_020);
    assertThat(actions.commands).isEmpty();
    assertThat(actions.messages).isEmpty();
  }

  @ParameterizedTest
  @EnumSource(Change.class)
  void suspicionEndsWithEndpointProcess(Change change) {
    protocol.onMessage(1_000, 3, suspicion("a", 450));
    protocol.onMessage(1_010, 4, suspicion("a", 450));
    passDecisionTime(1_010);
    protocol.onEndpointList(EndpointListEvent.FAILED, List.of());
    protocol.onEndpointList(EndpointListEvent.DELTA, List.of());
    protocol.onEndpointList(
        EndpointListEvent.DELTA, List.of(endpoint(0, EndpointUpdate.Condition.READY)));
    assertThat(protocol.isEjected(ENDPOINT_ID)).isTrue();
    change.change.accept(protocol);
    assertThat(protocol.isEjected(ENDPOINT_ID)).isFalse();
  }

  private enum Change {
    DRAINS(
        protocol ->
            protocol.onEndpointList(
                EndpointListEvent.DELTA,
                List.of(endpoint(0, EndpointUpdate.Condition.TERMINATING)))),
    RESTARTS(
        protocol ->
            protocol.onEndpointList(
                EndpointListEvent.DELTA, List.of(endpoint(900, EndpointUpdate.Condition.READY)))),
    IS_MISSING_FROM_FULL_LIST(
        protocol -> protocol.onEndpointList(EndpointListEvent.FULL, List.of())),
    IS_FORGOTTEN(protocol -> protocol.forget(ENDPOINT_ID));

    private final Consumer<SuspicionProtocol> change;

    Change(Consumer<SuspicionProtocol> change) {
      this.change = change;
    }
  }

  @Test
  void broadcastsAreLimitedByAttempts() {
    for (int i = 0; i < 200; i++) {
      protocol.onNoResponse(
          10_000 + i * OBJECTIVE_MILLIS, ENDPOINT_ID, 10_000 + i * OBJECTIVE_MILLIS - 400);
    }
    assertThat(actions.messages.size()).isLessThanOrEqualTo(20);
    protocol.onAttempt();
    protocol.onNoResponse(1e6, ENDPOINT_ID, 1e6 - 400);
    assertThat(actions.messages.size()).isLessThanOrEqualTo(21);
  }

  @Test
  void repeatedRefutationsReduceBroadcasts() {
    int messageCount = 0;
    for (int i = 0; i < 200; i++) {
      double nowMillis = 10_000 + i * 10 * OBJECTIVE_MILLIS;
      protocol.onAttempt();
      protocol.onNoResponse(nowMillis, ENDPOINT_ID, nowMillis - 400);
      protocol.onMessage(nowMillis + 50, 3, refutation("a", 10));
    }
    messageCount = actions.messages.size();
    assertThat(messageCount).isBetween(20, 100);
  }
}
