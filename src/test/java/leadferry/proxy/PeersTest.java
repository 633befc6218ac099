package leadferry.proxy;

import static leadferry.proxy.ProxyFixture.TIMEOUT_MILLIS;
import static leadferry.proxy.ProxyFixture.ok;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import leadferry.engine.LineLog;
import leadferry.gossip.SuspicionMessage;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * What a proxy says to the others of its tier and makes of what it hears, over loopback datagrams.
 */
class PeersTest {
  private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

  @TempDir Path folder;
  private DatagramSocket peer;
  private InetSocketAddress proxy;

  /** The second proxy of the tier, which also stands for all of them. */
  @BeforeEach
  void listen() throws Exception {
    peer = new DatagramSocket(0, LOOPBACK);
    peer.setSoTimeout(TIMEOUT_MILLIS);
    try (DatagramSocket free = new DatagramSocket(0, LOOPBACK)) {
      proxy = new InetSocketAddress(LOOPBACK, free.getLocalPort());
    }
  }

  private ProxyFixture newFixture() {
    ProxyFixture fixture = new ProxyFixture(folder, 256);
    fixture.aimMillis = 300;
    fixture.deadlineMillis = 500;
    String own = "\"127.0.0.1:" + proxy.getPort() + "\"";
    String other = "\"127.0.0.1:" + peer.getLocalPort() + "\"";
    fixture.peerSettings =
        "\"peer_listen\":"
            + own
            + ",\"peers\":["
            + own
            + ","
            + other
            + "],\"peers_all\":"
            + other
            + ",";
    return fixture;
  }

  private SuspicionMessage receiveMessage() throws Exception {
    DatagramPacket packet = new DatagramPacket(new byte[300], 300);
    peer.receive(packet);
    assertThat(packet.getSocketAddress()).isEqualTo(proxy);
    return SuspicionMessage.decode(Arrays.copyOf(packet.getData(), packet.getLength()));
  }

  private void sendMessage(DatagramSocket from, byte[] message) throws Exception {
    from.send(new DatagramPacket(message, message.length, proxy));
  }

  /** Asks until the silent host has lost a request, and returns what the proxy says of it. */
  private SuspicionMessage reportSilentHost(ProxyFixture fixture, ProxyFixture.UpstreamHost silent)
      throws Exception {
    // Of its own requests: a proxy of another run on this machine may look for its discovery at a
    // port that is this host's now.
    for (int i = 0;
        silent.requests.stream().noneMatch(head -> head.contains("X-Request-ID: lost"));
        i++) {
      fixture.sendRequest(ProxyFixture.atMostOnceRequest("lost" + i));
    }
    SuspicionMessage report = receiveMessage();
    assertThat(report.isAlive()).isFalse();
    return report;
  }

  /** Runs a proxy before a silent host and three that answer, with its log. */
  private void startProxy(
      ProxyFixture fixture, ProxyFixture.UpstreamHost silent, ByteArrayOutputStream log)
      throws Exception {
    ProxyFixture.UpstreamHost[] hosts = {
      silent, servingHost(fixture), servingHost(fixture), servingHost(fixture)
    };
    ProxyFixture.DiscoveryServer discovery = fixture.new DiscoveryServer(40, hosts);
    fixture.startProxy(
        fixture.writeConfig(discovery.address(), discovery.endpointList()),
        new LineLog(new PrintStream(log, true, StandardCharsets.UTF_8), false));
  }

  private static ProxyFixture.UpstreamHost servingHost(ProxyFixture fixture) throws IOException {
    return fixture.new UpstreamHost(h -> ok("served"));
  }

  @Test
  void hostSilentToSeveralProxiesIsEjectedUntilItResponds() throws Exception {
    ByteArrayOutputStream log = new ByteArrayOutputStream();
    try (ProxyFixture fixture = newFixture()) {
      ProxyFixture.UpstreamHost silent = fixture.new UpstreamHost(h -> null);
      startProxy(fixture, silent, log);
      SuspicionMessage report = reportSilentHost(fixture, silent);
      assertThat(log.toString(StandardCharsets.UTF_8)).doesNotContain("silent to several");
      sendMessage(
          peer, new SuspicionMessage(report.zone(), report.endpoint(), 100, false).encode());
      ProxyFixture.await(
          () ->
              log.toString(StandardCharsets.UTF_8)
                  .contains("h" + silent.port() + " silent to several proxies"));
      sendMessage(peer, new SuspicionMessage(report.zone(), report.endpoint(), 0, true).encode());
      ProxyFixture.await(
          () ->
              log.toString(StandardCharsets.UTF_8)
                  .contains("h" + silent.port() + " responds to another proxy"));
    }
  }

  @Test
  void messagesOfStrangersAndMalformedOnesAreIgnored() throws Exception {
    ByteArrayOutputStream log = new ByteArrayOutputStream();
    try (ProxyFixture fixture = newFixture()) {
      ProxyFixture.UpstreamHost silent = fixture.new UpstreamHost(h -> null);
      startProxy(fixture, silent, log);
      SuspicionMessage report = reportSilentHost(fixture, silent);
      byte[] silence = new SuspicionMessage(report.zone(), report.endpoint(), 100, false).encode();
      try (DatagramSocket stranger = new DatagramSocket(0, LOOPBACK)) {
        for (int i = 0; i < 50; i++) {
          sendMessage(stranger, silence);
          sendMessage(peer, Arrays.copyOf(silence, 11));
          sendMessage(peer, new byte[300]);
        }
      }
      assertThat(log.toString(StandardCharsets.UTF_8)).doesNotContain("silent to several");
      sendMessage(peer, silence); // behind all of these in the same queue
      ProxyFixture.await(() -> log.toString(StandardCharsets.UTF_8).contains("silent to several"));
      assertThat(log.toString(StandardCharsets.UTF_8)).containsOnlyOnce("silent to several");
    }
  }

  /** Whether the proxy has its port: nobody else can have it then. */
  private boolean isPortInUse() {
    try (DatagramSocket probe = new DatagramSocket(proxy)) {
      return !probe.isBound();
    } catch (IOException e) {
      return true;
    }
  }

  @Test
  void peerPortIsBoundOnceItIsFree() throws Exception {
    ByteArrayOutputStream log = new ByteArrayOutputStream();
    DatagramSocket holder = new DatagramSocket(proxy);
    try (ProxyFixture fixture = newFixture()) {
      ProxyFixture.UpstreamHost silent = fixture.new UpstreamHost(h -> null);
      startProxy(fixture, silent, log);
      ProxyFixture.await(
          () -> log.toString(StandardCharsets.UTF_8).contains("peers can't be heard"));
      holder.close();
      ProxyFixture.await(this::isPortInUse);
      SuspicionMessage report = reportSilentHost(fixture, silent);
      sendMessage(
          peer, new SuspicionMessage(report.zone(), report.endpoint(), 100, false).encode());
      ProxyFixture.await(
          () ->
              log.toString(StandardCharsets.UTF_8)
                  .contains("h" + silent.port() + " silent to several proxies"));
    }
  }
}
