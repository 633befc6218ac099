package leadferry.engine;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * This pool's part in the connections that all workers together may hold to one host at one
 * address. {@link ConnectionLimits} calls it from any thread; what it does runs on the pool's loop.
 */
final class HostConnectionSlots implements ConnectionLimits.SlotListener {
  private final UpstreamConnectionPool pool;
  private final EventLoop loop;
  private final UpstreamHost host;
  private final InetSocketAddress address;
  private final ConnectionLimits.Slots places;
  private final AtomicBoolean yieldRequested = new AtomicBoolean();

  private HostConnectionSlots(
      UpstreamConnectionPool pool,
      EventLoop loop,
      UpstreamHost host,
      ConnectionLimits.Slots places) {
    this.pool = pool;
    this.loop = loop;
    this.host = host;
    this.address = host.address;
    this.places = places;
  }

  /** The host's places at the address that it has now, joined if need be. */
  static ConnectionLimits.Slots of(
      UpstreamHost host, ConnectionLimits limits, UpstreamConnectionPool pool, EventLoop loop) {
    if (host.connectionSlots == null || !host.connectionSlots.address.equals(host.address)) {
      removeFrom(host);
      host.connectionSlots =
          new HostConnectionSlots(pool, loop, host, limits.slotsOf(host.address));
      host.connectionSlots.places.addListener(host.connectionSlots);
    }
    return host.connectionSlots.places;
  }

  /** Takes the host out of the places that workers share, where it has a part in them. */
  static void removeFrom(UpstreamHost host) {
    if (host.connectionSlots != null) {
      host.connectionSlots.places.removeListener(host.connectionSlots);
      host.connectionSlots = null;
    }
  }

  ConnectionLimits.Slots slots() {
    return places;
  }

  @Override
  public void onSlotFree() {
    loop.execute(
        () -> {
          if (host.connectionSlots == this) {
            pool.dispatchPending(host);
          } else {
            places.offerToNext();
          }
        });
  }

  @Override
  public void onSlotWanted() {
    if (yieldRequested.compareAndSet(false, true)) {
      loop.execute(
          () -> {
            yieldRequested.set(false);
            pool.closeIdleForWaiter(host, places);
          });
    }
  }
}
