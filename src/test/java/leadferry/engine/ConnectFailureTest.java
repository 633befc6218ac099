package leadferry.engine;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.ConnectTimeoutException;
import java.net.BindException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.SocketException;
import java.nio.channels.ClosedChannelException;
import org.junit.jupiter.api.Test;

class ConnectFailureTest {
  @Test
  void shortageOfThisMachineIsLocal() {
    assertThat(ConnectFailure.isLocal(new BindException("Cannot assign requested address")))
        .isTrue();
    assertThat(ConnectFailure.isLocal(new SocketException("Network is unreachable"))).isTrue();
    assertThat(ConnectFailure.isLocal(new SocketException("No buffer space available"))).isTrue();
  }

  @Test
  void refusedResetOrUnreachableIsNotLocal() {
    assertThat(ConnectFailure.isLocal(new ConnectException("Connection refused"))).isFalse();
    assertThat(ConnectFailure.isLocal(new ConnectTimeoutException("connection timed out")))
        .isFalse();
    assertThat(ConnectFailure.isLocal(new NoRouteToHostException("No route to host"))).isFalse();
    assertThat(
            ConnectFailure.isLocal(new SocketException("Connection reset by peer: /127.0.0.1:1")))
        .isFalse();
    assertThat(ConnectFailure.isLocal(new ClosedChannelException())).isFalse();
  }
}
