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

/** What a proxy says of silent endpoints, and on whose word it ejects or readmits one. */
class SuspicionProtocolTest {
  private static final long ENDPOINT = 77;
  private static final double AIM_MILLIS = 500;

  private static final class RecordedActions implements SuspicionProtocol.Actions {
    final List<Suspicion> told = new ArrayList<>();
    final List<String> commands = new ArrayList<>();
    final List<Double> delaysMillis = new ArrayList<>();

    @Override
    public void broadcast(byte[] message) {
      told.add(Suspicion.read(message));
    }

    @Override
    public void eject(long endpoint, double lengthMillis, boolean again) {
      commands.add((again ? "eject again " : "eject ") + endpoint);
      assertThat(lengthMillis).isBetween(AIM_MILLIS, 21 * AIM_MILLIS);
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
      new SuspicionProtocol("a", 100, AIM_MILLIS, 5, actions);

  SuspicionProtocolTest() {
    protocol.onEndpointList(
        EndpointListEvent.FULL, List.of(endpoint(0, EndpointUpdate.Condition.READY)));
  }

  private static EndpointUpdate endpoint(
      double onlineSinceMillis, EndpointUpdate.Condition condition) {
    return new EndpointUpdate(ENDPOINT, "a", "k", 1, condition, 1, onlineSinceMillis);
  }

  private static byte[] silence(String zone, int ageMillis) {
    return new Suspicion(Suspicion.zoneByte(zone), ENDPOINT, ageMillis, false).bytes();
  }

  private static byte[] answer(String zone, int ageMillis) {
    return new Suspicion(Suspicion.zoneByte(zone), ENDPOINT, ageMillis, true).bytes();
  }

  /** The time in which two witnesses could be refuted goes by. */
  private void decide(double fromMillis) {
    protocol.onTimer(fromMillis + 0.4 * AIM_MILLIS);
  }

  @Test
  void aMessageKeepsWhatItSays() {
    for (boolean answers : new boolean[] {true, false}) {
      Suspicion suspicion = new Suspicion((byte) -3, Long.MAX_VALUE - 5, 1_234, answers);
      assertThat(Suspicion.read(suspicion.bytes())).isEqualTo(suspicion);
      assertThat(suspicion.bytes()).hasSize(Suspicion.BYTES);
    }
    assertThat(Suspicion.read(new Suspicion((byte) 1, 2, 99_999, false).bytes()).ageMillis())
        .isEqualTo(Suspicion.MOST_AGE_MILLIS);
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 11, 13, 256})
  void whatIsNoMessageIsPassedOver(int length) {
    protocol.onMessage(1_000, 3, new byte[length]);
    protocol.onMessage(1_000, 4, new byte[length]);
    assertThat(actions.commands).isEmpty();
  }

  @Test
  void anOwnSilenceIsToldAndOneMoreWitnessIsEnough() {
    protocol.onNoResponse(1_000, ENDPOINT, 500);
    assertThat(actions.told)
        .containsExactly(new Suspicion(Suspicion.zoneByte("a"), ENDPOINT, 500, false));
    assertThat(actions.commands).isEmpty();
    protocol.onMessage(1_020, 3, silence("a", 450));
    assertThat(actions.commands).isEmpty();
    decide(1_020);
    assertThat(actions.commands).containsExactly("eject 77");
  }

  @Test
  void oneWitnessIsNotEnoughHoweverOftenItSaysSo() {
    for (int i = 0; i < 5; i++) {
      protocol.onMessage(1_000 + i, 3, silence("a", 450));
    }
    decide(1_005);
    assertThat(actions.commands).isEmpty();
  }

  @Test
  void twoLossesOfItsOwnAreOneWitness() {
    protocol.onNoResponse(1_000, ENDPOINT, 500);
    protocol.onNoResponse(1_100, ENDPOINT, 600);
    decide(1_100);
    assertThat(actions.commands).isEmpty();
  }

  @Test
  void anAnswerSinceThenRefutesItAfterAMoment() {
    protocol.onResponse(1_000, ENDPOINT);
    protocol.onMessage(1_100, 3, silence("a", 450));
    protocol.onMessage(1_110, 4, silence("a", 450));
    assertThat(actions.commands).isEmpty();
    assertThat(actions.delaysMillis).hasSize(1);
    assertThat(actions.delaysMillis.get(0)).isBetween(0.0, AIM_MILLIS / 4);
    protocol.onTimer(1_100 + actions.delaysMillis.get(0));
    assertThat(actions.told).hasSize(1);
    assertThat(actions.told.get(0).answers()).isTrue();
  }

  @Test
  void whoeverHearsAnotherRefuteItStaysStill() {
    protocol.onResponse(1_000, ENDPOINT);
    protocol.onMessage(1_100, 3, silence("a", 450));
    protocol.onMessage(1_105, 4, answer("a", 20));
    protocol.onTimer(1_500);
    assertThat(actions.told).isEmpty();
  }

  @Test
  void anAnswerBeforeTheSilenceBeganRefutesNothing() {
    protocol.onResponse(1_000, ENDPOINT);
    protocol.onMessage(1_600, 3, silence("a", 500));
    protocol.onMessage(1_610, 4, silence("a", 500));
    decide(1_610);
    assertThat(actions.commands).containsExactly("eject 77");
  }

  @Test
  void aRefutationForgetsTheWitnesses() {
    protocol.onMessage(1_000, 3, silence("a", 450));
    protocol.onMessage(1_010, 5, answer("a", 5));
    protocol.onMessage(1_020, 4, silence("a", 450));
    decide(1_020);
    assertThat(actions.commands).isEmpty();
  }

  /**
   * What an overload looks like: two lost a request each, and the endpoint serves others all the
   * while.
   */
  @Test
  void twoWitnessesThatAreRefutedAMomentLaterMoveNothing() {
    protocol.onMessage(1_000, 3, silence("a", 450));
    protocol.onMessage(1_010, 4, silence("a", 450));
    protocol.onMessage(1_100, 5, answer("a", 5));
    decide(1_010);
    assertThat(actions.commands).isEmpty();
  }

  @Test
  void aZoneHearsItselfOnly() {
    protocol.onMessage(1_000, 3, silence("b", 450));
    protocol.onMessage(1_010, 4, silence(null, 450));
    decide(1_010);
    assertThat(actions.commands).isEmpty();
    protocol.onMessage(1_020, 5, silence("a", 450));
    protocol.onMessage(1_030, 6, silence("a", 450));
    decide(1_030);
    protocol.onMessage(1_200, 7, answer("b", 0)); // what the cut-off zone itself hears
    assertThat(actions.commands).containsExactly("eject 77");
  }

  @Test
  void witnessesOfLongAgoAreForgotten() {
    protocol.onMessage(1_000, 3, silence("a", 450));
    protocol.onMessage(1_000 + 5 * AIM_MILLIS, 4, silence("a", 450));
    decide(1_000 + 5 * AIM_MILLIS);
    assertThat(actions.commands).isEmpty();
  }

  @Test
  void aTrialThatIsLostIsToldAndTheOthersWaitOn() {
    protocol.onMessage(1_000, 3, silence("a", 450));
    protocol.onMessage(1_010, 4, silence("a", 450));
    decide(1_010);
    protocol.onNoResponse(1_300, ENDPOINT, 900); // was on its way before: news to nobody
    assertThat(actions.told).isEmpty();
    protocol.onNoResponse(2_300, ENDPOINT, 1_800);
    assertThat(actions.told).hasSize(1);
    protocol.onMessage(3_000, 9, silence("a", 500));
    assertThat(actions.commands).containsExactly("eject 77", "eject again 77", "eject again 77");
  }

  @Test
  void theFirstTrialThatIsAnsweredBringsItBackEverywhere() {
    protocol.onMessage(1_000, 3, silence("a", 450));
    protocol.onMessage(1_010, 4, silence("a", 450));
    decide(1_010);
    protocol.onMessage(1_220, 5, answer("a", 400)); // from before: it was silent since
    assertThat(protocol.isEjected(ENDPOINT)).isTrue();
    protocol.onMessage(4_000, 5, answer("a", 0));
    assertThat(actions.commands).containsExactly("eject 77", "readmit 77");
    assertThat(protocol.isEjected(ENDPOINT)).isFalse();

    protocol.onMessage(5_000, 3, silence("a", 450));
    protocol.onMessage(5_010, 4, silence("a", 450));
    decide(5_010);
    protocol.onResponse(7_000, ENDPOINT);
    assertThat(actions.told)
        .containsExactly(new Suspicion(Suspicion.zoneByte("a"), ENDPOINT, 0, true));
  }

  @Test
  void anEndpointThatIsNotInTheListIsNoSubject() {
    protocol.forget(ENDPOINT);
    protocol.onMessage(1_000, 3, silence("a", 450));
    protocol.onMessage(1_010, 4, silence("a", 450));
    protocol.onNoResponse(1_020, ENDPOINT, 500);
    decide(1_020);
    assertThat(actions.commands).isEmpty();
    assertThat(actions.told).isEmpty();
  }

  @ParameterizedTest
  @EnumSource(Change.class)
  void whatIsKnownOfAnEndpointEndsWithItsProcess(Change change) {
    protocol.onMessage(1_000, 3, silence("a", 450));
    protocol.onMessage(1_010, 4, silence("a", 450));
    decide(1_010);
    protocol.onEndpointList(EndpointListEvent.FAILED, List.of());
    protocol.onEndpointList(EndpointListEvent.DELTA, List.of());
    protocol.onEndpointList(
        EndpointListEvent.DELTA, List.of(endpoint(0, EndpointUpdate.Condition.READY)));
    assertThat(protocol.isEjected(ENDPOINT)).isTrue();
    change.change.accept(protocol);
    assertThat(protocol.isEjected(ENDPOINT)).isFalse();
  }

  private enum Change {
    DRAINS(
        protocol ->
            protocol.onEndpointList(
                EndpointListEvent.DELTA,
                List.of(endpoint(0, EndpointUpdate.Condition.TERMINATING)))),
    STARTS_ANEW(
        protocol ->
            protocol.onEndpointList(
                EndpointListEvent.DELTA, List.of(endpoint(900, EndpointUpdate.Condition.READY)))),
    IS_NOT_IN_A_WHOLE_LIST(protocol -> protocol.onEndpointList(EndpointListEvent.FULL, List.of())),
    IS_ELSEWHERE(protocol -> protocol.forget(ENDPOINT));

    private final Consumer<SuspicionProtocol> change;

    Change(Consumer<SuspicionProtocol> change) {
      this.change = change;
    }
  }

  @Test
  void itSaysNoMoreThanItsAttemptsEarn() {
    for (int i = 0; i < 200; i++) {
      protocol.onNoResponse(10_000 + i * AIM_MILLIS, ENDPOINT, 10_000 + i * AIM_MILLIS - 400);
    }
    assertThat(actions.told.size()).isLessThanOrEqualTo(20);
    protocol.onAttempt();
    protocol.onNoResponse(1e6, ENDPOINT, 1e6 - 400);
    assertThat(actions.told.size()).isLessThanOrEqualTo(21);
  }

  @Test
  void whoIsRefutedEachTimeSaysLess() {
    int told = 0;
    for (int i = 0; i < 200; i++) {
      double nowMillis = 10_000 + i * 10 * AIM_MILLIS;
      protocol.onAttempt();
      protocol.onNoResponse(nowMillis, ENDPOINT, nowMillis - 400);
      protocol.onMessage(nowMillis + 50, 3, answer("a", 10));
    }
    told = actions.told.size();
    assertThat(told).isBetween(20, 100);
  }
}
