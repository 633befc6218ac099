package leadferry.disruption;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against a proxy that counts as terminated although its process may still send requests.
 */
class MemberStateTest {
  @ParameterizedTest
  @EnumSource(MemberState.class)
  void aNewSessionDoesNotServeYet(MemberState state) {
    assertThat(state.afterJoin()).isEqualTo(MemberState.NOT_SERVING);
  }

  @ParameterizedTest
  @EnumSource(
      value = MemberState.class,
      names = {"NOT_SERVING", "SERVING"})
  void aLiveSessionReportsAndEnds(MemberState state) {
    assertThat(state.isLive()).isTrue();
    assertThat(state.afterReport(true)).isEqualTo(MemberState.SERVING);
    assertThat(state.afterReport(false)).isEqualTo(MemberState.NOT_SERVING);
    assertThat(state.afterSessionEnd(true)).isEqualTo(MemberState.LEFT);
    assertThat(state.afterSessionEnd(false)).isEqualTo(MemberState.LOST);
    assertThatThrownBy(state::afterFence).isInstanceOf(IllegalStateException.class);
  }

  @ParameterizedTest
  @EnumSource(
      value = MemberState.class,
      names = {"LEFT", "LEFT_FENCED", "LOST", "LOST_FENCED"})
  void anEndedSessionNeitherReportsNorEndsAgain(MemberState state) {
    assertThat(state.isLive()).isFalse();
    assertThatThrownBy(() -> state.afterReport(true)).isInstanceOf(IllegalStateException.class);
    assertThatThrownBy(() -> state.afterSessionEnd(true)).isInstanceOf(IllegalStateException.class);
  }

  @Test
  void fencingKeepsWhetherTheProxyHadLeft() {
    assertThat(MemberState.LEFT.afterFence()).isEqualTo(MemberState.LEFT_FENCED);
    assertThat(MemberState.LOST.afterFence()).isEqualTo(MemberState.LOST_FENCED);
    assertThat(MemberState.LEFT_FENCED.afterFence()).isEqualTo(MemberState.LEFT_FENCED);
    assertThat(MemberState.LOST_FENCED.afterFence()).isEqualTo(MemberState.LOST_FENCED);
  }

  @Test
  void onlyALostProxyWithoutFenceMayStillRun() {
    assertThat(MemberState.LOST.isTerminated()).isFalse();
    assertThat(MemberState.LOST_FENCED.isTerminated()).isTrue();
    assertThat(MemberState.LEFT.isTerminated()).isTrue();
    assertThat(MemberState.LEFT_FENCED.isTerminated()).isTrue();
  }
}
