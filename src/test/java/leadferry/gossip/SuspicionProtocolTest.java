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

/** What a proxy says of silent hosts, and on whose word it leaves one out or takes it back. */
class SuspicionProtocolTest {
  private static final long HOST = 77;
  private static final double AIM = 500;

  private static final class Ear implements SuspicionProtocol.Actions {
    final List<Suspicion> told = new ArrayList<>();
    final List<String> did = new ArrayList<>();
    final List<Double> waits = new ArrayList<>();

    @Override
    public void tell(byte[] message) {
      told.add(Suspicion.read(message));
    }

    @Override
    public void leaveOut(long host, double length, boolean again) {
      did.add((again ? "out again " : "out ") + host);
      assertThat(length).isBetween(AIM, 21 * AIM);
    }

    @Override
    public void takeBack(long host) {
      did.add("back " + host);
    }

    @Override
    public void later(double delay) {
      waits.add(delay);
    }
  }

  private final Ear ear = new Ear();
  private final SuspicionProtocol one = new SuspicionProtocol("a", 100, AIM, 5, ear);

  SuspicionProtocolTest() {
    one.members(EndpointListEvent.FULL, List.of(host(0, EndpointUpdate.Condition.READY)));
  }

  private static EndpointUpdate host(double since, EndpointUpdate.Condition condition) {
    return new EndpointUpdate(HOST, "a", "k", 1, condition, 1, since);
  }

  private static byte[] silence(String zone, int age) {
    return new Suspicion(Suspicion.zoneByte(zone), HOST, age, false).bytes();
  }

  private static byte[] answer(String zone, int age) {
    return new Suspicion(Suspicion.zoneByte(zone), HOST, age, true).bytes();
  }

  /** The time in which two witnesses could be refuted goes by. */
  private void decide(double from) {
    one.due(from + 0.4 * AIM);
  }

  @Test
  void aMessageKeepsWhatItSays() {
    for (boolean answers : new boolean[] {true, false}) {
      Suspicion s = new Suspicion((byte) -3, Long.MAX_VALUE - 5, 1_234, answers);
      assertThat(Suspicion.read(s.bytes())).isEqualTo(s);
      assertThat(s.bytes()).hasSize(Suspicion.BYTES);
    }
    assertThat(Suspicion.read(new Suspicion((byte) 1, 2, 99_999, false).bytes()).age())
        .isEqualTo(Suspicion.MOST_AGE);
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 11, 13, 256})
  void whatIsNoMessageIsPassedOver(int length) {
    one.heard(1_000, 3, new byte[length]);
    one.heard(1_000, 4, new byte[length]);
    assertThat(ear.did).isEmpty();
  }

  @Test
  void anOwnSilenceIsToldAndOneMoreWitnessIsEnough() {
    one.silent(1_000, HOST, 500);
    assertThat(ear.told).containsExactly(new Suspicion(Suspicion.zoneByte("a"), HOST, 500, false));
    assertThat(ear.did).isEmpty();
    one.heard(1_020, 3, silence("a", 450));
    assertThat(ear.did).isEmpty();
    decide(1_020);
    assertThat(ear.did).containsExactly("out 77");
  }

  @Test
  void oneWitnessIsNotEnoughHoweverOftenItSaysSo() {
    for (int i = 0; i < 5; i++) {
      one.heard(1_000 + i, 3, silence("a", 450));
    }
    decide(1_005);
    assertThat(ear.did).isEmpty();
  }

  @Test
  void twoLossesOfItsOwnAreOneWitness() {
    one.silent(1_000, HOST, 500);
    one.silent(1_100, HOST, 600);
    decide(1_100);
    assertThat(ear.did).isEmpty();
  }

  @Test
  void anAnswerSinceThenRefutesItAfterAMoment() {
    one.answered(1_000, HOST);
    one.heard(1_100, 3, silence("a", 450));
    one.heard(1_110, 4, silence("a", 450));
    assertThat(ear.did).isEmpty();
    assertThat(ear.waits).hasSize(1);
    assertThat(ear.waits.get(0)).isBetween(0.0, AIM / 4);
    one.due(1_100 + ear.waits.get(0));
    assertThat(ear.told).hasSize(1);
    assertThat(ear.told.get(0).answers()).isTrue();
  }

  @Test
  void whoeverHearsAnotherRefuteItStaysStill() {
    one.answered(1_000, HOST);
    one.heard(1_100, 3, silence("a", 450));
    one.heard(1_105, 4, answer("a", 20));
    one.due(1_500);
    assertThat(ear.told).isEmpty();
  }

  @Test
  void anAnswerBeforeTheSilenceBeganRefutesNothing() {
    one.answered(1_000, HOST);
    one.heard(1_600, 3, silence("a", 500));
    one.heard(1_610, 4, silence("a", 500));
    decide(1_610);
    assertThat(ear.did).containsExactly("out 77");
  }

  @Test
  void aRefutationForgetsTheWitnesses() {
    one.heard(1_000, 3, silence("a", 450));
    one.heard(1_010, 5, answer("a", 5));
    one.heard(1_020, 4, silence("a", 450));
    decide(1_020);
    assertThat(ear.did).isEmpty();
  }

  /**
   * What an overload looks like: two lost a request each, and the host serves others all the while.
   */
  @Test
  void twoWitnessesThatAreRefutedAMomentLaterMoveNothing() {
    one.heard(1_000, 3, silence("a", 450));
    one.heard(1_010, 4, silence("a", 450));
    one.heard(1_100, 5, answer("a", 5));
    decide(1_010);
    assertThat(ear.did).isEmpty();
  }

  @Test
  void aZoneHearsItselfOnly() {
    one.heard(1_000, 3, silence("b", 450));
    one.heard(1_010, 4, silence(null, 450));
    decide(1_010);
    assertThat(ear.did).isEmpty();
    one.heard(1_020, 5, silence("a", 450));
    one.heard(1_030, 6, silence("a", 450));
    decide(1_030);
    one.heard(1_200, 7, answer("b", 0)); // what the cut-off zone itself hears
    assertThat(ear.did).containsExactly("out 77");
  }

  @Test
  void witnessesOfLongAgoAreForgotten() {
    one.heard(1_000, 3, silence("a", 450));
    one.heard(1_000 + 5 * AIM, 4, silence("a", 450));
    decide(1_000 + 5 * AIM);
    assertThat(ear.did).isEmpty();
  }

  @Test
  void aTrialThatIsLostIsToldAndTheOthersWaitOn() {
    one.heard(1_000, 3, silence("a", 450));
    one.heard(1_010, 4, silence("a", 450));
    decide(1_010);
    one.silent(1_300, HOST, 900); // was on its way before: news to nobody
    assertThat(ear.told).isEmpty();
    one.silent(2_300, HOST, 1_800);
    assertThat(ear.told).hasSize(1);
    one.heard(3_000, 9, silence("a", 500));
    assertThat(ear.did).containsExactly("out 77", "out again 77", "out again 77");
  }

  @Test
  void theFirstTrialThatIsAnsweredBringsItBackEverywhere() {
    one.heard(1_000, 3, silence("a", 450));
    one.heard(1_010, 4, silence("a", 450));
    decide(1_010);
    one.heard(1_220, 5, answer("a", 400)); // from before: it was silent since
    assertThat(one.leavesOut(HOST)).isTrue();
    one.heard(4_000, 5, answer("a", 0));
    assertThat(ear.did).containsExactly("out 77", "back 77");
    assertThat(one.leavesOut(HOST)).isFalse();

    one.heard(5_000, 3, silence("a", 450));
    one.heard(5_010, 4, silence("a", 450));
    decide(5_010);
    one.answered(7_000, HOST);
    assertThat(ear.told).containsExactly(new Suspicion(Suspicion.zoneByte("a"), HOST, 0, true));
  }

  @Test
  void aHostThatIsNotInTheListIsNoSubject() {
    one.forget(HOST);
    one.heard(1_000, 3, silence("a", 450));
    one.heard(1_010, 4, silence("a", 450));
    one.silent(1_020, HOST, 500);
    decide(1_020);
    assertThat(ear.did).isEmpty();
    assertThat(ear.told).isEmpty();
  }

  @ParameterizedTest
  @EnumSource(Change.class)
  void whatIsKnownOfAHostEndsWithItsProcess(Change change) {
    one.heard(1_000, 3, silence("a", 450));
    one.heard(1_010, 4, silence("a", 450));
    decide(1_010);
    one.members(EndpointListEvent.FAILED, List.of());
    one.members(EndpointListEvent.DELTA, List.of());
    one.members(EndpointListEvent.DELTA, List.of(host(0, EndpointUpdate.Condition.READY)));
    assertThat(one.leavesOut(HOST)).isTrue();
    change.to.accept(one);
    assertThat(one.leavesOut(HOST)).isFalse();
  }

  private enum Change {
    DRAINS(
        s ->
            s.members(
                EndpointListEvent.DELTA, List.of(host(0, EndpointUpdate.Condition.TERMINATING)))),
    STARTS_ANEW(
        s ->
            s.members(EndpointListEvent.DELTA, List.of(host(900, EndpointUpdate.Condition.READY)))),
    IS_NOT_IN_A_WHOLE_LIST(s -> s.members(EndpointListEvent.FULL, List.of())),
    IS_ELSEWHERE(s -> s.forget(HOST));

    private final Consumer<SuspicionProtocol> to;

    Change(Consumer<SuspicionProtocol> to) {
      this.to = to;
    }
  }

  @Test
  void itSaysNoMoreThanItsAttemptsEarn() {
    for (int i = 0; i < 200; i++) {
      one.silent(10_000 + i * AIM, HOST, 10_000 + i * AIM - 400);
    }
    assertThat(ear.told.size()).isLessThanOrEqualTo(20);
    one.attempted();
    one.silent(1e6, HOST, 1e6 - 400);
    assertThat(ear.told.size()).isLessThanOrEqualTo(21);
  }

  @Test
  void whoIsRefutedEachTimeSaysLess() {
    int told = 0;
    for (int i = 0; i < 200; i++) {
      double now = 10_000 + i * 10 * AIM;
      one.attempted();
      one.silent(now, HOST, now - 400);
      one.heard(now + 50, 3, answer("a", 10));
    }
    told = ear.told.size();
    assertThat(told).isBetween(20, 100);
  }
}
