package leadferry.proxy;

import static leadferry.proxy.ProxyFixture.PATIENCE_MS;
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
    peer.setSoTimeout(PATIENCE_MS);
    try (DatagramSocket free = new DatagramSocket(0, LOOPBACK)) {
      proxy = new InetSocketAddress(LOOPBACK, free.getLocalPort());
    }
  }

  private ProxyFixture world() {
    ProxyFixture w = new ProxyFixture(folder, 256);
    w.aim = 300;
    w.deadline = 500;
    String own = "\"127.0.0.1:" + proxy.getPort() + "\"";
    String other = "\"127.0.0.1:" + peer.getLocalPort() + "\"";
    w.peers =
        "\"peer_listen\":"
            + own
            + ",\"peers\":["
            + own
            + ","
            + other
            + "],\"peers_all\":"
            + other
            + ",";
    return w;
  }

  private SuspicionMessage hear() throws Exception {
    DatagramPacket p = new DatagramPacket(new byte[300], 300);
    peer.receive(p);
    assertThat(p.getSocketAddress()).isEqualTo(proxy);
    return SuspicionMessage.decode(Arrays.copyOf(p.getData(), p.getLength()));
  }

  private void say(DatagramSocket from, byte[] message) throws Exception {
    from.send(new DatagramPacket(message, message.length, proxy));
  }

  /** Asks until the silent host has lost a request, and returns what the proxy says of it. */
  private SuspicionMessage loseOne(ProxyFixture w, ProxyFixture.Host silent) throws Exception {
    // Of its own requests: a proxy of another run on this machine may look for its discovery at a
    // port that is this host's now.
    for (int i = 0;
        silent.heads.stream().noneMatch(head -> head.contains("X-Request-ID: lost"));
        i++) {
      w.ask(ProxyFixture.claim("lost" + i));
    }
    SuspicionMessage said = hear();
    assertThat(said.isAlive()).isFalse();
    return said;
  }

  /** Runs a proxy before a silent host and three that answer, with its log. */
  private void run(ProxyFixture w, ProxyFixture.Host silent, ByteArrayOutputStream log)
      throws Exception {
    ProxyFixture.Host[] hosts = {silent, answers(w), answers(w), answers(w)};
    ProxyFixture.Discovery d = w.new Discovery(40, hosts);
    w.run(
        w.configure(d.address(), d.list()),
        new LineLog(new PrintStream(log, true, StandardCharsets.UTF_8), false));
  }

  private static ProxyFixture.Host answers(ProxyFixture w) throws IOException {
    return w.new Host(h -> ok("served"));
  }

  @Test
  void aHostThatAnotherFoundSilentTooIsLeftOutUntilItAnswersSomebody() throws Exception {
    ByteArrayOutputStream log = new ByteArrayOutputStream();
    try (ProxyFixture w = world()) {
      ProxyFixture.Host silent = w.new Host(h -> null);
      run(w, silent, log);
      SuspicionMessage said = loseOne(w, silent);
      assertThat(log.toString(StandardCharsets.UTF_8)).doesNotContain("silent to several");
      say(peer, new SuspicionMessage(said.zone(), said.endpoint(), 100, false).encode());
      ProxyFixture.await(
          () ->
              log.toString(StandardCharsets.UTF_8)
                  .contains("h" + silent.port() + " silent to several proxies"));
      say(peer, new SuspicionMessage(said.zone(), said.endpoint(), 0, true).encode());
      ProxyFixture.await(
          () ->
              log.toString(StandardCharsets.UTF_8)
                  .contains("h" + silent.port() + " responds to another proxy"));
    }
  }

  @Test
  void strangersAndNoiseAreNoWitnesses() throws Exception {
    ByteArrayOutputStream log = new ByteArrayOutputStream();
    try (ProxyFixture w = world()) {
      ProxyFixture.Host silent = w.new Host(h -> null);
      run(w, silent, log);
      SuspicionMessage said = loseOne(w, silent);
      byte[] silence = new SuspicionMessage(said.zone(), said.endpoint(), 100, false).encode();
      try (DatagramSocket stranger = new DatagramSocket(0, LOOPBACK)) {
        for (int i = 0; i < 50; i++) {
          say(stranger, silence);
          say(peer, Arrays.copyOf(silence, 11));
          say(peer, new byte[300]);
        }
      }
      assertThat(log.toString(StandardCharsets.UTF_8)).doesNotContain("silent to several");
      say(peer, silence); // behind all of these in the same queue
      ProxyFixture.await(() -> log.toString(StandardCharsets.UTF_8).contains("silent to several"));
      assertThat(log.toString(StandardCharsets.UTF_8)).containsOnlyOnce("silent to several");
    }
  }

  /** Whether the proxy has its port: nobody else can have it then. */
  private boolean taken() {
    try (DatagramSocket probe = new DatagramSocket(proxy)) {
      return !probe.isBound();
    } catch (IOException e) {
      return true;
    }
  }

  @Test
  void aPortThatIsNotFreeYetIsListenedOnOnceItIs() throws Exception {
    ByteArrayOutputStream log = new ByteArrayOutputStream();
    DatagramSocket holder = new DatagramSocket(proxy);
    try (ProxyFixture w = world()) {
      ProxyFixture.Host silent = w.new Host(h -> null);
      run(w, silent, log);
      ProxyFixture.await(
          () -> log.toString(StandardCharsets.UTF_8).contains("peers can't be heard"));
      holder.close();
      ProxyFixture.await(this::taken);
      SuspicionMessage said = loseOne(w, silent);
      say(peer, new SuspicionMessage(said.zone(), said.endpoint(), 100, false).encode());
      ProxyFixture.await(
          () ->
              log.toString(StandardCharsets.UTF_8)
                  .contains("h" + silent.port() + " silent to several proxies"));
    }
  }
}
