package leadferry.proxy;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import leadferry.engine.BodyBudget;
import leadferry.engine.Log;
import leadferry.engine.SocketBudget;

/**
 * Splits the limits of file descriptors and memory with the other process of an upgrade: each
 * process uses what the other leaves. Confined to the event loop once the exchange has started.
 */
final class SharedLimits {
  /** Part of the memory limit that the JVM needs besides bodies. */
  private static final long JVM_MEGABYTES = 92;

  /** Part of the memory limit that the JVMs of two processes need, which share pages. */
  private static final long TWO_JVMS_MEGABYTES = 176;

  private static final long MIN_BODY_MEGABYTES = 4;
  private static final long MIN_SHARED_BODY_MEGABYTES = 8;
  private static final long MAX_BODY_MEGABYTES = 80;
  private static final int MEGABYTE_SHIFT = 20;

  /** Interval at which two processes exchange their states. */
  private static final long SHARED_INTERVAL_MILLIS = 20;

  /** Interval at which a process looks for another one. */
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

  /** Whether another process was alive at the last exchange. */
  boolean isShared() {
    return shared;
  }

  /** Whether another process listens on the client address; false if that can't be determined. */
  boolean isAnotherProcessListening() {
    try {
      HotRestart.ProcessState others = hotRestart.readOtherProcesses();
      return others != null && others.isListening();
    } catch (RuntimeException e) {
      log.failure("hot restart: state of other processes could not be read", e);
      return false;
    }
  }

  /**
   * Publishes the state of this process, applies the limits that the other processes leave, and
   * schedules the next exchange; called on the event loop.
   */
  void exchangeStates(EventLoop loop, BooleanSupplier isListening) {
    try {
      hotRestart.publish(
          new HotRestart.ProcessState(
              isListening.getAsBoolean(),
              socketBudget.clientCount(),
              socketBudget.upstreamCount(),
              bodyBudget.usedBytes()));
      update(hotRestart.readOtherProcesses());
    } catch (RuntimeException | Error e) {
      log.failure("hot restart: exchange of states failed", e); // The next exchange tries again.
    }
    long intervalMillis = shared ? SHARED_INTERVAL_MILLIS : ALONE_INTERVAL_MILLIS;
    loop.schedule(() -> exchangeStates(loop, isListening), intervalMillis, TimeUnit.MILLISECONDS);
  }

  private void update(HotRestart.ProcessState others) {
    shared = others != null;
    long megabytes = memoryMegabytes - (shared ? TWO_JVMS_MEGABYTES : JVM_MEGABYTES);
    long minMegabytes = shared ? MIN_SHARED_BODY_MEGABYTES : MIN_BODY_MEGABYTES;
    long bodyMegabytes = Math.max(minMegabytes, Math.min(MAX_BODY_MEGABYTES, megabytes));
    long bodyBytes = bodyMegabytes << MEGABYTE_SHIFT;
    if (others == null) {
      socketBudget.useAllDescriptors();
      bodyBudget.setLimit(bodyBytes);
    } else {
      long minBytes = (MIN_SHARED_BODY_MEGABYTES << MEGABYTE_SHIFT) / 2;
      socketBudget.shareDescriptors(others.clientConnections(), others.upstreamConnections());
      bodyBudget.setLimit(Math.max(minBytes, bodyBytes - others.bodyBytes()));
    }
  }
}
