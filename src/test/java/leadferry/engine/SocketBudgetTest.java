package leadferry.engine;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Uses 140 descriptors, of which 40 are reserved: 50 for each side, and clients borrow what hosts
 * leave unused.
 */
class SocketBudgetTest {
  private final SocketBudget sockets = new SocketBudget(140);
  private int closeRequests;

  private int clientsUntilFull() {
    int opened = 0;
    while (sockets.hasRoomForClient()) {
      sockets.onClientOpened();
      opened++;
    }
    return opened;
  }

  @Test
  void clientsBorrowWhatHostsLeaveExceptForAMargin() {
    for (int i = 0; i < 10; i++) {
      sockets.onUpstreamOpened();
    }
    assertThat(clientsUntilFull()).isEqualTo(100 - 10 - 12);
    assertThat(sockets.isNearClientLimit()).isTrue();
  }

  @Test
  void hostsReclaimBorrowedDescriptors() {
    clientsUntilFull();
    sockets.setClientCloser(
        () -> {
          closeRequests++;
          sockets.onClientClosed();
          return true;
        });
    int hosts = 0;
    while (sockets.makeRoomForUpstream()) {
      sockets.onUpstreamOpened();
      hosts++;
      assertThat(sockets.clientCount() + sockets.upstreamCount()).isLessThanOrEqualTo(100);
    }
    assertThat(hosts).isEqualTo(50);
    assertThat(sockets.clientCount()).isEqualTo(50);
    assertThat(closeRequests).isPositive();
  }

  @Test
  void noClientCanBeClosedTotalLimitHolds() {
    clientsUntilFull();
    while (sockets.makeRoomForUpstream()) {
      sockets.onUpstreamOpened();
    }
    assertThat(sockets.clientCount() + sockets.upstreamCount()).isEqualTo(100);
  }

  @Test
  void clientsNeverHaveLessThanHalf() {
    for (int i = 0; i < 50; i++) {
      assertThat(sockets.makeRoomForUpstream()).isTrue();
      sockets.onUpstreamOpened();
    }
    assertThat(sockets.makeRoomForUpstream()).isFalse();
    assertThat(clientsUntilFull()).isEqualTo(50);
  }

  @Test
  void otherProcessKeepsWhatItHolds() {
    sockets.shareDescriptors(30, 5);
    assertThat(clientsUntilFull()).isEqualTo(60 - 5 - 8 - 30);
  }

  @Test
  void noMoreRequestsAreCarriedThanHostsHaveConnections() {
    assertThat(sockets.hasRoomForRequest(49)).isTrue();
    assertThat(sockets.hasRoomForRequest(50)).isFalse();
  }
}
