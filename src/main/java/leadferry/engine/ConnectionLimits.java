package leadferry.engine;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Limits the connections that all workers of a process together hold to one host of a pool. A host
 * accepts a limited number of connections from all of its clients together. Guards against a
 * process that opens one connection for each request in flight.
 *
 * <p>A slot is acquired before a connection is opened and released after it has closed, so the
 * limit holds at every moment. At the limit, an attempt waits in the {@link UpstreamConnectionPool}
 * of its worker, which is one event loop of the process. The other workers are asked to close an
 * idle connection. A released slot is offered to the waiting workers in order of arrival. Lock-free
 * and thread-safe.
 *
 * <pre>
 *   worker A   acquire ... carry ... idle -- asked: close, release --+
 *   worker B              at the limit: wait ----------------------- +-> acquire ... carry
 * </pre>
 */
public final class ConnectionLimits {
  /** Listener of one worker for the slots of one host; its methods are called from any thread. */
  interface SlotListener {
    /** Called when a slot is free; uses the slot, or passes it on where no attempt needs it. */
    void onSlotFree();

    /**
     * Called when another worker waits for a slot; closes an unused connection, if there is one.
     */
    void onSlotWanted();
  }

  /** Connection slots of one host. */
  final class Slots {
    private final AtomicInteger taken = new AtomicInteger();
    private final Queue<SlotListener> waiting = new ConcurrentLinkedQueue<>();
    private final Set<SlotListener> listeners = ConcurrentHashMap.newKeySet();

    void addListener(SlotListener listener) {
      listeners.add(listener);
    }

    void removeListener(SlotListener listener) {
      listeners.remove(listener);
      waiting.remove(listener);
    }

    /** Acquires a slot; returns false where all are taken. */
    boolean tryAcquire() {
      int before;
      do {
        before = taken.get();
        if (before >= limit) {
          return false;
        }
      } while (!taken.compareAndSet(before, before + 1));
      return true;
    }

    void release() {
      taken.decrementAndGet();
      notifyNextWaiter();
    }

    /** Whether more slots are taken than the limit permits, after the limit was lowered. */
    boolean isOverLimit() {
      return taken.get() > limit;
    }

    /** Whether a worker waits for a slot. */
    boolean hasWaiters() {
      return !waiting.isEmpty();
    }

    /** Queues the listener for a slot and asks the other workers to close an unused connection. */
    void awaitSlot(SlotListener listener) {
      if (!waiting.contains(listener)) {
        waiting.add(listener);
      }
      for (SlotListener other : listeners) {
        if (other != listener) {
          other.onSlotWanted();
        }
      }
      notifyNextWaiter(); // covers slots that were released before the listener was queued
    }

    /** Offers an unneeded free slot to the next waiting worker. */
    void offerToNext() {
      if (!waiting.isEmpty()) {
        notifyNextWaiter();
      }
    }

    private void notifyNextWaiter() {
      SlotListener next;
      if (taken.get() < limit && (next = waiting.poll()) != null) {
        next.onSlotFree();
      }
    }
  }

  private final Map<InetSocketAddress, Slots> slotsByAddress = new ConcurrentHashMap<>();
  private volatile int limit;

  /** Creates a limit of {@code limit} connections to each host, at least 1. */
  public ConnectionLimits(int limit) {
    setLimit(limit);
  }

  /** Changes the limit; connections over the limit close as soon as they carry no attempt. */
  public void setLimit(int connections) {
    if (connections < 1) {
      throw new IllegalArgumentException("connections: " + connections + " (expected: >= 1)");
    }
    limit = connections;
    slotsByAddress.values().forEach(Slots::notifyNextWaiter);
  }

  Slots slotsOf(InetSocketAddress host) {
    return slotsByAddress.computeIfAbsent(host, h -> new Slots());
  }

  /**
   * Removes hosts that are no longer listed and have no connection. Guards against unbounded growth
   * where the list changes continually.
   */
  public void retainListed(Collection<InetSocketAddress> listed) {
    slotsByAddress
        .entrySet()
        .removeIf(
            e ->
                !listed.contains(e.getKey())
                    && e.getValue().taken.get() == 0
                    && e.getValue().listeners.isEmpty());
  }
}
