package leadferry.disruption;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.Test;

/**
 * Guards against a proxy that goes out of service by an outdated grant: without a valid lease,
 * after a new session, or after the grant has expired.
 */
class ProxyMemberViewTest {
  private final ProxyMemberView view = new ProxyMemberView("a");

  private static ObjectNode viewOf(long version, long durationMillis, String... names) {
    ObjectNode json = JsonNodeFactory.instance.objectNode().put("version", version);
    ObjectNode proxies = json.putObject("proxies_out");
    for (String name : names) {
      if (name.startsWith("h")) {
        json.withArray("hosts_out").add(name);
      } else {
        proxies.putObject(name).put("permit", "7").put("for_ms", durationMillis);
      }
    }
    return json;
  }

  @Test
  void aGrantAppliesOnlyOnceTheLeaseIsValid() {
    view.applyView(viewOf(1, 0, "a"), false, 0);
    assertThat(view.isOutOfService()).isFalse();
    assertThat(view.refresh(false, 1)).isFalse();
    assertThat(view.refresh(true, 2)).isTrue();
    assertThat(view.isOutOfService()).isTrue();
  }

  @Test
  void aNewSessionDropsAGrantThatWaitsForALease() {
    view.applyView(viewOf(1, 0, "a"), false, 0);
    view.onSessionStarted();
    view.applyView(viewOf(3, 0), true, 1);
    assertThat(view.refresh(true, 2)).isFalse();
    assertThat(view.isOutOfService()).isFalse();
  }

  @Test
  void endpointsAreDrainedWithoutALeaseAndAnOlderViewIsIgnored() {
    assertThat(view.applyView(viewOf(5, 0, "h1"), false, 0)).isTrue();
    assertThat(view.drainedEndpoints()).containsExactly("h1");
    assertThat(view.applyView(viewOf(4, 0), false, 0)).isFalse();
    assertThat(view.drainedEndpoints()).containsExactly("h1");
  }

  @Test
  void aGrantExpiresByItsHoldersClockWithoutAReplica() {
    view.applyView(viewOf(1, 10, "a"), true, 1_000_000);
    assertThat(view.refresh(false, 10_999_999)).isFalse();
    assertThat(view.refresh(false, 11_000_000)).isTrue();
    assertThat(view.isOutOfService()).isFalse();
    assertThat(view.applyView(viewOf(1, 10, "a"), true, 12_000_000))
        .as("the expired grant does not apply again")
        .isFalse();
    assertThat(view.isOutOfService()).isFalse();
  }
}
