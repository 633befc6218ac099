package leadferry.disruption;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against replicas that differ after one of them has restored a snapshot, because a part of
 * the state is lost or stored under another key.
 */
class DisruptionSnapshotCodecTest {
  private static final DisruptionState.Times TIMES = new DisruptionState.Times(5, 6, 7);

  private final DisruptionTables tables = new DisruptionTables();
  private final DisruptionTables restored = new DisruptionTables();

  private ObjectNode snapshot() {
    ObjectNode json = JsonNodeFactory.instance.objectNode();
    DisruptionSnapshotCodec.encode(tables, TIMES, json);
    return json;
  }

  private static ProxyMember member(MemberState state) {
    return new ProxyMember(
        "a",
        new ProxyMember.Session("z", "v1", 3),
        state,
        new ProxyReport(4, 5, Set.of("h1"), Set.of("h2")),
        6,
        "digest");
  }

  @ParameterizedTest
  @EnumSource(MemberState.class)
  void aMemberOfEachStateIsRestoredUnchanged(MemberState state) {
    tables.members.put(member(state));

    DisruptionSnapshotCodec.decode(snapshot(), restored);

    assertThat(restored.members.all()).containsExactly(member(state));
  }

  @Test
  void aMemberKeepsItsStoredKeys() {
    tables.members.put(member(MemberState.LEFT_FENCED));

    assertThat(snapshot().path("members").path(0).toString())
        .isEqualTo(
            "{\"name\":\"a\",\"zone\":\"z\",\"version\":\"v1\",\"joined\":3,\"alive\":false,"
                + "\"left\":true,\"fenced\":true,\"serving\":false,\"seen\":5,\"said\":4,"
                + "\"settling\":6,\"catalogue\":\"digest\",\"busy\":[\"h1\"],"
                + "\"suspects\":[\"h2\"]}");
  }

  @Test
  void grantsBudgetsHaltCountersAndTimesAreRestoredUnchanged() {
    Target host = new Target(TargetType.ENDPOINT, "h1", "z", "pod", "pool", "kind");
    tables.revision.restore(8, 9);
    tables.setHaltReason("incident");
    tables.grants.add(new EvictionRequest(host, "operator", "disk", 50, false), 2);
    EvictionGrant second = tables.grants.add(new EvictionRequest(host, "o", "w", 0, true), 3);
    tables.grants.beginRestoring(second, 4, "done");
    tables.budgets.restore(
        List.of(new Budget("b", TargetType.ENDPOINT, Map.of("zone", "z"), "pod", 1, 0.5, 2)), 3);
    tables.catalogs.add("digest", List.of(host));
    tables.warmUps.begin("h1", 7);

    DisruptionState.Times times = DisruptionSnapshotCodec.decode(snapshot(), restored);

    assertThat(times).isEqualTo(TIMES);
    assertThat(restored.revision.version()).isEqualTo(8);
    assertThat(restored.revision.changeNumber()).isEqualTo(9);
    assertThat(restored.haltReason()).isEqualTo("incident");
    assertThat(restored.grants.all()).containsExactlyElementsOf(tables.grants.all());
    assertThat(restored.grants.nextId()).isEqualTo(3);
    assertThat(restored.budgets.all()).isEqualTo(tables.budgets.all());
    assertThat(restored.budgets.version()).isEqualTo(3);
    assertThat(restored.catalogs.endpointsByDigest())
        .isEqualTo(tables.catalogs.endpointsByDigest());
    assertThat(restored.warmUps.startChangeByEndpoint()).isEqualTo(Map.of("h1", 7L));
  }
}
