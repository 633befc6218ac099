package leadferry.proxy;

import static leadferry.proxy.ProxyFixture.atMostOnceRequest;
import static leadferry.proxy.ProxyFixture.keyedRequest;
import static leadferry.proxy.ProxyFixture.ok;
import static leadferry.proxy.ProxyFixture.write;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicBoolean;
import leadferry.soak.ProxyProcess;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against an id that runs twice: it comes again after its client has left, or at the other
 * process of an upgrade.
 */
class RepeatedIdTest {
  @TempDir Path folder;
  private ProxyFixture fixture;

  @BeforeEach
  void open() {
    fixture = new ProxyFixture(folder, 128);
  }

  @AfterEach
  void close() throws Exception {
    fixture.close();
  }

  private static String request(String kind, String id) {
    return kind.equals("keyed") ? keyedRequest(id) : atMostOnceRequest(id);
  }

  @ParameterizedTest
  @ValueSource(strings = {"unsafe", "keyed"})
  void idOfAClientThatLeftRunsOnce(String kind) throws Exception {
    for (boolean cancels : new boolean[] {true, false}) {
      fixture.allowsCancel = cancels;
      ProxyFixture.UpstreamHost host = fixture.new UpstreamHost(request -> null);
      fixture.start(host);
      try (Socket leaver = fixture.connectClient()) {
        write(leaver, request(kind, "again"));
        ProxyFixture.await(() -> host.requests.size() == 1);
      }
      ProxyFixture.await(() -> fixture.clientConnections() == 0);
      assertThat(fixture.sendRequest(request(kind, "again"))).startsWith("HTTP/1.1 409");
      assertThat(host.requests).hasSize(1);
      fixture.proxy.stop();
    }
  }

  /** A request that no host can have run may be sent again under its id. */
  @Test
  void idThatNeverRanMayComeAgain() throws Exception {
    ProxyFixture.DelayedAcceptHost host = fixture.new DelayedAcceptHost(h -> ok("late"));
    fixture.connectTimeoutMillis = ProxyFixture.TIMEOUT_MILLIS;
    fixture.start(host);
    try (Socket leaver = fixture.connectClient()) {
      write(leaver, atMostOnceRequest("again"));
      ProxyFixture.await(() -> fixture.upstreamConnections() == 1);
    }
    ProxyFixture.await(() -> fixture.clientConnections() == 0);
    host.startAccepting();
    assertThat(fixture.sendRequest(atMostOnceRequest("again"))).endsWith("late");
  }

  @Test
  void answeredIdMayComeAgain() throws Exception {
    fixture.start(fixture.new UpstreamHost(request -> ok("done")));
    for (int i = 0; i < 3; i++) {
      assertThat(fixture.sendRequest(atMostOnceRequest("same"))).endsWith("done");
    }
  }

  @Test
  void idThatIsOpenInOneProcessIsRejectedByTheOtherOfAnUpgrade() throws Exception {
    AtomicBoolean responds = new AtomicBoolean();
    ProxyFixture.UpstreamHost host =
        fixture.new UpstreamHost(request -> responds.get() ? ok("done") : null);
    ProxyFixture.DiscoveryServer discovery = fixture.new DiscoveryServer(40, host);
    fixture.listenPort = ProxyFixture.freePort();
    int oldPort = fixture.listenPort;
    Path oldFile = fixture.writeConfig(discovery.address(), discovery.endpointList());
    ProxyProcess oldProcess = ProxyProcess.platform(oldFile, folder, oldPort, discovery.port());
    ProxyProcess newProcess = null;
    try {
      oldProcess.start();
      fixture.listenPort = ProxyFixture.freePort(); // an address of its own tells them apart
      Path newFile = fixture.writeConfig(discovery.address(), discovery.endpointList());
      newProcess = ProxyProcess.platform(newFile, folder, fixture.listenPort, discovery.port());
      newProcess.start();
      try (Socket open = new Socket(InetAddress.getLoopbackAddress(), oldPort)) {
        write(open, atMostOnceRequest("open"));
        ProxyFixture.await(() -> host.requests.size() == 1);
        responds.set(true);
        assertThat(send("open")).startsWith("HTTP/1.1 409");
      }
      Thread.sleep(200); // the old process sees that its client has left
      assertThat(send("open")).startsWith("HTTP/1.1 409");
      assertThat(send("other")).endsWith("done");
    } finally {
      oldProcess.kill();
      if (newProcess != null) {
        newProcess.kill();
      }
    }
    assertThat(host.requests).hasSize(2);
  }

  private String send(String id) throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), fixture.listenPort)) {
      socket.setSoTimeout(ProxyFixture.TIMEOUT_MILLIS);
      write(socket, atMostOnceRequest(id));
      return ProxyFixture.readMessage(socket.getInputStream());
    }
  }
}
