package leadferry.engine;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * 140 descriptors, of which 40 are kept back: 50 for either side, and what hosts leave is lent to
 * clients.
 */
class SocketsTest {
  private final Sockets sockets = new Sockets(140);
  private int asked;

  private int clientsUntilFull() {
    int opened = 0;
    while (sockets.roomForClient()) {
      sockets.clientOpened();
      opened++;
    }
    return opened;
  }

  @Test
  void clientsGetWhatHostsLeaveButForAMargin() {
    for (int i = 0; i < 10; i++) {
      sockets.upstreamOpened();
    }
    assertThat(clientsUntilFull()).isEqualTo(100 - 10 - 12);
    assertThat(sockets.crowded()).isTrue();
  }

  @Test
  void hostsGetBackWhatWasLent() {
    clientsUntilFull();
    sockets.onWanted(
        () -> {
          asked++;
          sockets.clientClosed();
          return true;
        });
    int hosts = 0;
    while (sockets.roomForUpstream()) {
      sockets.upstreamOpened();
      hosts++;
      assertThat(sockets.clients() + sockets.upstreams()).isLessThanOrEqualTo(100);
    }
    assertThat(hosts).isEqualTo(50);
    assertThat(sockets.clients()).isEqualTo(50);
    assertThat(asked).isPositive();
  }

  @Test
  void whereNoClientGivesWayTheBoundOverAllHolds() {
    clientsUntilFull();
    while (sockets.roomForUpstream()) {
      sockets.upstreamOpened();
    }
    assertThat(sockets.clients() + sockets.upstreams()).isEqualTo(100);
  }

  @Test
  void clientsNeverHaveLessThanHalf() {
    for (int i = 0; i < 50; i++) {
      assertThat(sockets.roomForUpstream()).isTrue();
      sockets.upstreamOpened();
    }
    assertThat(sockets.roomForUpstream()).isFalse();
    assertThat(clientsUntilFull()).isEqualTo(50);
  }

  @Test
  void anotherProcessIsLeftWhatItHolds() {
    sockets.shared(30, 5);
    assertThat(clientsUntilFull()).isEqualTo(60 - 5 - 8 - 30);
  }

  @Test
  void noMoreRequestsAreCarriedThanHostsHaveConnections() {
    assertThat(sockets.roomForRequest(49)).isTrue();
    assertThat(sockets.roomForRequest(50)).isFalse();
  }
}
