package leadferry.engine;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * This pool's part in the connections that all workers together may hold to one host at one
 * address. {@link ConnectionLimits} calls it from any thread; what it does runs on the pool's loop.
 */
final class HostPlaces implements ConnectionLimits.Member {
  private final UpstreamConnectionPool pool;
  private final EventLoop loop;
  private final UpstreamHost host;
  private final InetSocketAddress address;
  private final ConnectionLimits.Places places;
  private final AtomicBoolean yieldRequested = new AtomicBoolean();

  private HostPlaces(
      UpstreamConnectionPool pool,
      EventLoop loop,
      UpstreamHost host,
      ConnectionLimits.Places places) {
    this.pool = pool;
    this.loop = loop;
    this.host = host;
    this.address = host.address;
    this.places = places;
  }

  /** The host's places at the address that it has now, joined if need be. */
  static ConnectionLimits.Places of(
      UpstreamHost host, ConnectionLimits limits, UpstreamConnectionPool pool, EventLoop loop) {
    if (host.member == null || !host.member.address.equals(host.address)) {
      leave(host);
      host.member = new HostPlaces(pool, loop, host, limits.of(host.address));
      host.member.places.join(host.member);
    }
    return host.member.places;
  }

  /** Takes the host out of the places that workers share, where it has a part in them. */
  static void leave(UpstreamHost host) {
    if (host.member != null) {
      host.member.places.leave(host.member);
      host.member = null;
    }
  }

  ConnectionLimits.Places places() {
    return places;
  }

  @Override
  public void placeFree() {
    loop.execute(
        () -> {
          if (host.member == this) {
            pool.dispatchPending(host);
          } else {
            places.pass();
          }
        });
  }

  @Override
  public void yieldIdle() {
    if (yieldRequested.compareAndSet(false, true)) {
      loop.execute(
          () -> {
            yieldRequested.set(false);
            pool.yieldIdle(host, places);
          });
    }
  }
}
