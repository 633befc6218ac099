package leadferry.disruption;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against a returned proxy that counts as available before it has stabilized, and against
 * acknowledged versions that decrease or exceed the version of the replicated state.
 */
class ProxyMemberTest {
  private static final ProxyMember FIRST =
      ProxyMember.newMember("a", new ProxyMember.Session("z", "v1", 3));

  private static ProxyReport report(long number, long acknowledgedVersion) {
    return new ProxyReport(number, acknowledgedVersion, Set.of("h1"), Set.of("h2"));
  }

  private static ProxyMember rejoinedAt(long change) {
    return FIRST.withSessionEnded(false).withNewSession(new ProxyMember.Session("z", "v2", change));
  }

  @Test
  void aNewProxyDoesNotStabilize() {
    assertThat(FIRST.withReport(report(1, 0), true, 5).isStabilizing()).isFalse();
  }

  @Test
  void aReturnedProxyStabilizesFromWhenItServes() {
    ProxyMember back = rejoinedAt(10);

    assertThat(back.stabilizingSinceChange()).isEqualTo(10);
    assertThat(back.withReport(report(1, 0), false, 11).stabilizingSinceChange()).isEqualTo(10);
    assertThat(back.withReport(report(1, 0), true, 12).stabilizingSinceChange()).isEqualTo(12);
  }

  @Test
  void aFurtherServingReportDoesNotRestartTheStabilization() {
    ProxyMember serving = rejoinedAt(10).withReport(report(1, 0), true, 12);

    assertThat(serving.withReport(report(2, 0), true, 20).stabilizingSinceChange()).isEqualTo(12);
  }

  @Test
  void anEndedSessionKeepsTheAcknowledgedVersionAndDropsItsEndpoints() {
    ProxyMember ended = FIRST.withReport(report(1, 7), true, 5).withSessionEnded(true);

    assertThat(ended.hasAcknowledged(7)).isTrue();
    assertThat(ended.lastReport().busyEndpoints()).isEmpty();
    assertThat(ended.lastReport().ejectedEndpoints()).isEmpty();
  }

  @Test
  void theAcknowledgedVersionNeitherDecreasesNorExceedsTheCurrentOne() {
    ProxyReport first = report(1, 4).mergeAfter(ProxyReport.NONE, 5);

    assertThat(first.acknowledgedVersion()).isEqualTo(4);
    assertThat(report(2, 3).mergeAfter(first, 5).acknowledgedVersion()).isEqualTo(4);
    assertThat(report(2, 9).mergeAfter(first, 5).acknowledgedVersion()).isEqualTo(5);
  }

  @Test
  void aSessionCountsOnceItHasBroughtAReport() {
    assertThat(FIRST.hasReportedInSessionAfter(2)).isFalse();
    ProxyMember reported = FIRST.withReport(report(1, 0), false, 5);
    assertThat(reported.hasReportedInSessionAfter(2)).isTrue();
    assertThat(reported.hasReportedInSessionAfter(3)).isFalse();
    assertThat(reported.withSessionEnded(true).hasReportedInSessionAfter(2)).isFalse();
  }
}
