package leadferry.disruption;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

/**
 * Guards against two targets with the same grant id, and against a grant that stops counting before
 * its target is back in service.
 */
class EvictionGrantTest {
  private static final Target PROXY =
      new Target(TargetType.PROXY, "a", "z", Target.NONE, Target.NONE, Target.NONE);
  private static final EvictionRequest REQUEST =
      new EvictionRequest(PROXY, "operator", "repair", 50, false);

  private final EvictionGrantTable grants = new EvictionGrantTable();

  @Test
  void aNewGrantHasTheNextId() {
    EvictionGrant first = grants.add(REQUEST, 4);
    EvictionGrant second = grants.add(REQUEST, 5);

    assertThat(first.state()).isEqualTo(EvictionGrant.State.GRANTED);
    assertThat(first.grantedVersion()).isEqualTo(4);
    assertThat(first.id()).isEqualTo("1");
    assertThat(second.id()).isEqualTo("2");
    assertThat(grants.nextId()).isEqualTo(3);
  }

  @Test
  void aRestoringGrantIsStillHeld() {
    EvictionGrant grant = grants.add(REQUEST, 4);

    grants.beginRestoring(grant, 9, "done");

    EvictionGrant restoring = grants.heldBy(TargetType.PROXY, "a").orElseThrow();
    assertThat(restoring.state()).isEqualTo(EvictionGrant.State.RESTORING);
    assertThat(restoring.restoringVersion()).isEqualTo(9);
    assertThat(restoring.restoringReason()).isEqualTo("done");
    assertThat(restoring.grantedVersion()).isEqualTo(4);
    assertThat(restoring.request()).isEqualTo(REQUEST);
  }

  @Test
  void aRestoringGrantCannotBeginToRestoreAgain() {
    EvictionGrant restoring = EvictionGrant.granted("1", REQUEST, 4).beginRestoring(9, "done");

    assertThatThrownBy(() -> restoring.beginRestoring(10, "again"))
        .isInstanceOf(IllegalStateException.class)
        .hasMessage("grant 1: RESTORING (expected: GRANTED)");
  }

  @Test
  void aReleasedGrantIsNoLongerHeldAndItsIdIsNotReused() {
    EvictionGrant grant = grants.add(REQUEST, 4);

    grants.release(grant);

    assertThat(grants.find("1")).isEmpty();
    assertThat(grants.heldBy(TargetType.PROXY, "a")).isEmpty();
    assertThat(grants.add(REQUEST, 5).id()).isEqualTo("2");
  }

  @Test
  void aProxyAndAnEndpointOfTheSameNameHoldSeparateGrants() {
    grants.add(REQUEST, 4);

    assertThat(grants.heldBy(TargetType.ENDPOINT, "a")).isEmpty();
  }
}
