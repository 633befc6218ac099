package leadferry.engine;

import io.netty.channel.EventLoop;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import leadferry.gossip.SuspicionProtocol;
import leadferry.loadbalancer.EndpointListEvent;
import leadferry.loadbalancer.EndpointUpdate;
import leadferry.loadbalancer.Settings;

/**
 * Exchanges suspicions of silent hosts between one pool and the other proxies of its tier. Runs
 * {@link SuspicionProtocol} on the pool's loop, to which it is confined, and forwards the resulting
 * hints to the load balancer. Times are in ms on the dispatcher's clock.
 */
final class SharedSuspicions implements SuspicionProtocol.Actions {
  private static final double NANOS_PER_MILLI = 1e6;

  private final Dispatcher dispatcher;
  private final EventLoop loop;
  private final Consumer<byte[]> peers;
  private final SuspicionProtocol protocol;

  /**
   * Creates the exchange of suspicions; {@code peers} sends each message that it receives to all
   * other proxies.
   */
  SharedSuspicions(Dispatcher dispatcher, Settings settings, long seed, Consumer<byte[]> peers) {
    this.dispatcher = dispatcher;
    this.loop = dispatcher.loop();
    this.peers = peers;
    this.protocol =
        new SuspicionProtocol(
            settings.zone(), settings.proxyCount(), settings.shortestObjectiveMillis(), seed, this);
  }

  // --- what this pool has seen

  /** Records an attempt that is sent. */
  void onAttempt() {
    protocol.onAttempt();
  }

  /** Records a response of a host. */
  void onResponse(double nowMillis, long host) {
    protocol.onResponse(nowMillis, host);
  }

  /** Records that a host was silent to an attempt that was sent at {@code sentAtMillis}. */
  void onNoResponse(double nowMillis, long host, double sentAtMillis) {
    protocol.onNoResponse(nowMillis, host, sentAtMillis);
  }

  /**
   * Processes a list of hosts; suspicions of the hosts in {@code cut}, which the list has
   * invalidated, are dropped.
   */
  void onEndpointList(
      EndpointListEvent kind, List<EndpointUpdate> entries, Collection<UpstreamHost> cut) {
    cut.forEach(host -> protocol.forget(host.id));
    protocol.onEndpointList(kind, entries);
  }

  /** Applies a changed shortest latency objective (ms) of the classes. */
  void onSettings(double shortestAimMillis) {
    protocol.onSettings(shortestAimMillis);
  }

  /** Processes a message of the proxy with index {@code from}. */
  void onMessage(byte[] message, int from) {
    protocol.onMessage(dispatcher.now(), from, message);
  }

  // --- what the protocol asks for

  @Override
  public void broadcast(byte[] message) {
    peers.accept(message);
  }

  @Override
  public void eject(long host, double lengthMillis, boolean again) {
    if (!again) {
      dispatcher.log("host " + host + " silent to several proxies");
    }
    dispatcher.onPeerHint(host, lengthMillis);
  }

  @Override
  public void readmit(long host) {
    dispatcher.log("host " + host + " responds to another proxy");
    dispatcher.onPeerHint(host, 0);
  }

  @Override
  public void scheduleTimer(double delayMillis) {
    loop.schedule(
        () -> protocol.onTimer(dispatcher.now()),
        (long) (delayMillis * NANOS_PER_MILLI),
        TimeUnit.NANOSECONDS);
  }
}
