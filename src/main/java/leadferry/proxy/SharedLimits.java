package leadferry.proxy;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import leadferry.engine.BodyBudget;
import leadferry.engine.Log;
import leadferry.engine.SocketBudget;

/**
 * The limits of descriptors and memory, shared with the other process of an upgrade: each goes by
 * what the other leaves of them. Confined to the event loop once it is started.
 */
final class SharedLimits {
  /** What the JVM takes of the memory limit besides bodies. */
  private static final long JVM_MEGABYTES = 88;

  private static final long MIN_BODIES_MEGABYTES = 8;
  private static final long MAX_BODIES_MEGABYTES = 80;
  private static final int BYTES_PER_MEGABYTE_BITS = 20;

  /** How often two processes tell each other what they hold. */
  private static final long SHARED_INTERVAL_MILLIS = 20;

  /** How often a process looks for another one. */
  private static final long ALONE_INTERVAL_MILLIS = 200;

  private final HotRestart hotRestart;
  private final int memoryMegabytes;
  private final SocketBudget sockets;
  private final BodyBudget budget;
  private final Log log;
  private boolean shared;

  SharedLimits(
      HotRestart hotRestart,
      int memoryMegabytes,
      SocketBudget sockets,
      BodyBudget budget,
      Log log) {
    this.hotRestart = hotRestart;
    this.memoryMegabytes = memoryMegabytes;
    this.sockets = sockets;
    this.budget = budget;
    this.log = log;
    update(hotRestart.others());
  }

  /** Whether another process lived at the last look. */
  boolean isShared() {
    return shared;
  }

  /** Whether another process has the clients' address; no, where that can't be found out. */
  boolean anotherListens() {
    try {
      HotRestart.Standing others = hotRestart.others();
      return others != null && others.listens();
    } catch (RuntimeException e) {
      log.failure("other processes could not be looked for", e);
      return false;
    }
  }

  /** Tells the other processes of this one and asks about them, from now on; on the loop. */
  void exchange(EventLoop loop, BooleanSupplier listening) {
    try {
      hotRestart.tell(
          new HotRestart.Standing(
              listening.getAsBoolean(),
              sockets.clientCount(),
              sockets.upstreamCount(),
              budget.usedBytes()));
      update(hotRestart.others());
    } catch (RuntimeException e) {
      log.failure("processes could not be compared", e); // until the next time
    }
    long intervalMillis = shared ? SHARED_INTERVAL_MILLIS : ALONE_INTERVAL_MILLIS;
    loop.schedule(() -> exchange(loop, listening), intervalMillis, TimeUnit.MILLISECONDS);
  }

  private void update(HotRestart.Standing others) {
    shared = others != null;
    int processes = shared ? 2 : 1;
    long megabytes = memoryMegabytes - processes * JVM_MEGABYTES;
    long bodiesMegabytes =
        Math.max(MIN_BODIES_MEGABYTES, Math.min(MAX_BODIES_MEGABYTES, megabytes));
    long bodyBytes = bodiesMegabytes << BYTES_PER_MEGABYTE_BITS;
    if (others == null) {
      sockets.useAllDescriptors();
      budget.setLimit(bodyBytes);
    } else {
      long minBytes = (MIN_BODIES_MEGABYTES << BYTES_PER_MEGABYTE_BITS) / 2;
      sockets.shareDescriptors(others.clients(), others.upstreams());
      budget.setLimit(Math.max(minBytes, bodyBytes - others.bodies()));
    }
  }
}
