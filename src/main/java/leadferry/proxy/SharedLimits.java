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

  private static final long MIN_BODY_MEGABYTES = 8;
  private static final long MAX_BODY_MEGABYTES = 80;
  private static final int MEGABYTE_SHIFT = 20;

  /** How often two processes tell each other what they hold. */
  private static final long SHARED_INTERVAL_MILLIS = 20;

  /** How often a process looks for another one. */
  private static final long ALONE_INTERVAL_MILLIS = 200;

  private final HotRestart hotRestart;
  private final int memoryMegabytes;
  private final SocketBudget socketBudget;
  private final BodyBudget bodyBudget;
  private final Log log;
  private boolean shared;

  SharedLimits(
      HotRestart hotRestart,
      int memoryMegabytes,
      SocketBudget socketBudget,
      BodyBudget bodyBudget,
      Log log) {
    this.hotRestart = hotRestart;
    this.memoryMegabytes = memoryMegabytes;
    this.socketBudget = socketBudget;
    this.bodyBudget = bodyBudget;
    this.log = log;
    update(hotRestart.readOtherProcesses());
  }

  /** Whether another process lived at the last look. */
  boolean isShared() {
    return shared;
  }

  /** Whether another process has the clients' address; no, where that can't be found out. */
  boolean isAnotherProcessListening() {
    try {
      HotRestart.ProcessState others = hotRestart.readOtherProcesses();
      return others != null && others.isListening();
    } catch (RuntimeException e) {
      log.failure("other processes could not be looked for", e);
      return false;
    }
  }

  /** Tells the other processes of this one and asks about them, from now on; on the loop. */
  void exchangeStates(EventLoop loop, BooleanSupplier isListening) {
    try {
      hotRestart.publish(
          new HotRestart.ProcessState(
              isListening.getAsBoolean(),
              socketBudget.clientCount(),
              socketBudget.upstreamCount(),
              bodyBudget.usedBytes()));
      update(hotRestart.readOtherProcesses());
    } catch (RuntimeException e) {
      log.failure("processes could not be compared", e); // until the next time
    }
    long intervalMillis = shared ? SHARED_INTERVAL_MILLIS : ALONE_INTERVAL_MILLIS;
    loop.schedule(() -> exchangeStates(loop, isListening), intervalMillis, TimeUnit.MILLISECONDS);
  }

  private void update(HotRestart.ProcessState others) {
    shared = others != null;
    int processes = shared ? 2 : 1;
    long megabytes = memoryMegabytes - processes * JVM_MEGABYTES;
    long bodyMegabytes = Math.max(MIN_BODY_MEGABYTES, Math.min(MAX_BODY_MEGABYTES, megabytes));
    long bodyBytes = bodyMegabytes << MEGABYTE_SHIFT;
    if (others == null) {
      socketBudget.useAllDescriptors();
      bodyBudget.setLimit(bodyBytes);
    } else {
      long minBytes = (MIN_BODY_MEGABYTES << MEGABYTE_SHIFT) / 2;
      socketBudget.shareDescriptors(others.clientConnections(), others.upstreamConnections());
      bodyBudget.setLimit(Math.max(minBytes, bodyBytes - others.bodyBytes()));
    }
  }
}
