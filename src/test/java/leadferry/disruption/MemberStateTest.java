package leadferry.disruption;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class MemberStateTest {
  @ParameterizedTest
  @EnumSource(MemberState.class)
  void aNewSessionIsLiveAndDoesNotServeYet(MemberState state) {
    assertThat(state.joined()).isEqualTo(MemberState.NOT_SERVING);
  }

  @ParameterizedTest
  @EnumSource(
      value = MemberState.class,
      names = {"NOT_SERVING", "SERVING"})
  void aLiveSessionReportsAndEnds(MemberState state) {
    assertThat(state.isLive()).isTrue();
    assertThat(state.reported(true)).isEqualTo(MemberState.SERVING);
    assertThat(state.reported(false)).isEqualTo(MemberState.NOT_SERVING);
    assertThat(state.sessionEnded(true)).isEqualTo(MemberState.LEFT);
    assertThat(state.sessionEnded(false)).isEqualTo(MemberState.LOST);
    assertThatThrownBy(state::fenced).isInstanceOf(IllegalStateException.class);
  }

  @ParameterizedTest
  @EnumSource(
      value = MemberState.class,
      names = {"LEFT", "LEFT_FENCED", "LOST", "LOST_FENCED"})
  void aSessionThatHasEndedNeitherReportsNorEndsAgain(MemberState state) {
    assertThat(state.isLive()).isFalse();
    assertThatThrownBy(() -> state.reported(true)).isInstanceOf(IllegalStateException.class);
    assertThatThrownBy(() -> state.sessionEnded(true)).isInstanceOf(IllegalStateException.class);
  }

  @Test
  void fencingKeepsWhetherTheProxyHadLeft() {
    assertThat(MemberState.LEFT.fenced()).isEqualTo(MemberState.LEFT_FENCED);
    assertThat(MemberState.LOST.fenced()).isEqualTo(MemberState.LOST_FENCED);
    assertThat(MemberState.LEFT_FENCED.fenced()).isEqualTo(MemberState.LEFT_FENCED);
    assertThat(MemberState.LOST_FENCED.fenced()).isEqualTo(MemberState.LOST_FENCED);
  }

  @Test
  void onlyALostProxyThatIsNotFencedMayStillRun() {
    assertThat(MemberState.LOST.isGone()).isFalse();
    assertThat(MemberState.LOST_FENCED.isGone()).isTrue();
    assertThat(MemberState.LEFT.isGone()).isTrue();
    assertThat(MemberState.LEFT_FENCED.isGone()).isTrue();
  }
}
