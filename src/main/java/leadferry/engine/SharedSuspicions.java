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
 * What one pool and the other proxies of its tier tell each other of silent hosts: runs {@link
 * SuspicionProtocol} on the pool's loop, to which it is confined, and gives the load balancer its
 * hints. Times are those of the dispatcher's clock (ms).
 */
final class SharedSuspicions implements SuspicionProtocol.Actions {
  private static final double NANOS_PER_MILLI = 1e6;

  private final Dispatcher dispatcher;
  private final EventLoop loop;
  private final Consumer<byte[]> peers;
  private final SuspicionProtocol protocol;

  /** {@code peers} gets each message that is for all other proxies. */
  SharedSuspicions(Dispatcher dispatcher, Settings settings, long seed, Consumer<byte[]> peers) {
    this.dispatcher = dispatcher;
    this.loop = dispatcher.loop();
    this.peers = peers;
    this.protocol =
        new SuspicionProtocol(settings.zone(), settings.balancers(), settings.pace(), seed, this);
  }

  // --- what this pool has seen

  /** An attempt goes out. */
  void attempted() {
    protocol.attempted();
  }

  /** A host has responded. */
  void answered(double now, long host) {
    protocol.answered(now, host);
  }

  /** A host has been silent to an attempt that was sent at {@code sentAt}. */
  void silent(double now, long host, double sentAt) {
    protocol.silent(now, host, sentAt);
  }

  /** A list has come: what was known of the hosts that it cut off is of no account any more. */
  void listed(EndpointListEvent kind, List<EndpointUpdate> entries, Collection<UpstreamHost> cut) {
    cut.forEach(host -> protocol.forget(host.id));
    protocol.members(kind, entries);
  }

  void pace(double pace) {
    protocol.pace(pace);
  }

  /** A message of the proxy of that number. */
  void heard(byte[] message, int from) {
    protocol.heard(dispatcher.now(), from, message);
  }

  // --- what the protocol asks for

  @Override
  public void tell(byte[] message) {
    peers.accept(message);
  }

  @Override
  public void leaveOut(long host, double length, boolean again) {
    if (!again) {
      dispatcher.log("host " + host + " silent to several proxies");
    }
    dispatcher.hint(host, length);
  }

  @Override
  public void takeBack(long host) {
    dispatcher.log("host " + host + " answers another proxy");
    dispatcher.hint(host, 0);
  }

  @Override
  public void later(double delay) {
    loop.schedule(
        () -> protocol.due(dispatcher.now()),
        (long) (delay * NANOS_PER_MILLI),
        TimeUnit.NANOSECONDS);
  }
}
