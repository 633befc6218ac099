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
 * How many connections all workers of a process together may hold to one host of a pool. Guards
 * hosts, which accept so many from all of their clients, against a process that opens one for
 * whatever is in flight.
 *
 * <p>A count is taken before a connection is begun and given back when it has been closed, so the
 * bound holds at each moment. Where it is reached, an attempt waits in its worker ({@link
 * UpstreamConnectionPool}); a connection that another worker keeps idle is asked for, and one that
 * ends passes its place on to the workers in the order in which they asked. No lock; safe for use
 * by many threads.
 *
 * <pre>
 *   worker A   take ... carry ... idle ---- yields: close, give back -+
 *   worker B              full: asks, waits ------------------------- +-> take ... carry
 * </pre>
 */
public final class ConnectionLimits {
  /** A worker's part in one host's places; its methods are called from any thread. */
  interface SlotListener {
    /** A place is free: use it, if there is still anything to use it for. */
    void onSlotFree();

    /** Others wait for a place: close a connection that carries nothing, if there is one. */
    void onSlotWanted();
  }

  /** The places of one host. */
  final class Slots {
    private final AtomicInteger taken = new AtomicInteger();
    private final Queue<SlotListener> waiting = new ConcurrentLinkedQueue<>();
    private final Set<SlotListener> members = ConcurrentHashMap.newKeySet();

    void addListener(SlotListener member) {
      members.add(member);
    }

    void removeListener(SlotListener member) {
      members.remove(member);
      waiting.remove(member);
    }

    /** Takes a place; false where all are taken. */
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

    /** Whether more are taken than may be, since the bound was lowered. */
    boolean isOverLimit() {
      return taken.get() > limit;
    }

    /** Whether a worker waits for a place. */
    boolean hasWaiters() {
      return !waiting.isEmpty();
    }

    /** Waits for a place and asks the other workers for one that they don't use. */
    void awaitSlot(SlotListener member) {
      if (!waiting.contains(member)) {
        waiting.add(member);
      }
      for (SlotListener other : members) {
        if (other != member) {
          other.onSlotWanted();
        }
      }
      notifyNextWaiter(); // what was given back before this one stood in the queue
    }

    /** Nothing here wants the place that was offered: the next worker may have it. */
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

  private final Map<InetSocketAddress, Slots> byHost = new ConcurrentHashMap<>();
  private volatile int limit;

  /** So many connections to each host, at least 1. */
  public ConnectionLimits(int most) {
    setLimit(most);
  }

  /** Changes the bound; what is past it ends as soon as it carries nothing. */
  public void setLimit(int connections) {
    if (connections < 1) {
      throw new IllegalArgumentException("connections: " + connections + " (expected: >= 1)");
    }
    limit = connections;
    byHost.values().forEach(Slots::notifyNextWaiter);
  }

  Slots slotsOf(InetSocketAddress host) {
    return byHost.computeIfAbsent(host, h -> new Slots());
  }

  /**
   * Forgets hosts that are no longer listed and have no connection; guards against a list that
   * churns.
   */
  public void retainListed(Collection<InetSocketAddress> listed) {
    byHost
        .entrySet()
        .removeIf(
            e ->
                !listed.contains(e.getKey())
                    && e.getValue().taken.get() == 0
                    && e.getValue().members.isEmpty());
  }
}
