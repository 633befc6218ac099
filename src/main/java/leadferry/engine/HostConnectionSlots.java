package leadferry.engine;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Represents this pool in the connection slots that all workers share for one host at one address.
 * {@link ConnectionLimits} calls this class from any thread; its work runs on the pool's loop.
 */
final class HostConnectionSlots implements ConnectionLimits.SlotListener {
  private final UpstreamConnectionPool pool;
  private final EventLoop loop;
  private final UpstreamHost host;
  private final InetSocketAddress address;
  private final ConnectionLimits.Slots slots;
  private final AtomicBoolean closeRequested = new AtomicBoolean();

  private HostConnectionSlots(
      UpstreamConnectionPool pool,
      EventLoop loop,
      UpstreamHost host,
      ConnectionLimits.Slots slots) {
    this.pool = pool;
    this.loop = loop;
    this.host = host;
    this.address = host.address;
    this.slots = slots;
  }

  /** Returns the host's slots at its current address, registering this pool where necessary. */
  static ConnectionLimits.Slots of(
      UpstreamHost host, ConnectionLimits limits, UpstreamConnectionPool pool, EventLoop loop) {
    if (host.connectionSlots == null || !host.connectionSlots.address.equals(host.address)) {
      removeFrom(host);
      host.connectionSlots =
          new HostConnectionSlots(pool, loop, host, limits.slotsOf(host.address));
      host.connectionSlots.slots.addListener(host.connectionSlots);
    }
    return host.connectionSlots.slots;
  }

  /** Unregisters this pool from the slots of the host, where it is registered. */
  static void removeFrom(UpstreamHost host) {
    if (host.connectionSlots != null) {
      host.connectionSlots.slots.removeListener(host.connectionSlots);
      host.connectionSlots = null;
    }
  }

  ConnectionLimits.Slots slots() {
    return slots;
  }

  @Override
  public void onSlotFree() {
    loop.execute(
        () -> {
          if (host.connectionSlots == this) {
            pool.dispatchPending(host);
          } else {
            slots.offerToNext();
          }
        });
  }

  @Override
  public void onSlotWanted() {
    if (closeRequested.compareAndSet(false, true)) {
      loop.execute(
          () -> {
            closeRequested.set(false);
            pool.closeIdleForWaiter(host, slots);
          });
    }
  }
}
