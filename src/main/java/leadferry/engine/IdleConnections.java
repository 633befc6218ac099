package leadferry.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Holds the connections to one host that carry no attempt, confined to the loop of their pool. A
 * connection rests after a response before it becomes reusable. Both queues start with the
 * connection unused for longest, so each operation looks at one end only.
 *
 * <pre>
 *   response read -> resting -- rest is over --> reusable -> carries the next attempt, or expires
 * </pre>
 */
final class IdleConnections {
  private final ArrayDeque<UpstreamConnection> resting = new ArrayDeque<>(2);
  private final ArrayDeque<UpstreamConnection> reusable = new ArrayDeque<>(2);

  /** Adds a connection that has just completed an attempt. */
  void add(UpstreamConnection connection) {
    resting.addLast(connection);
  }

  void remove(UpstreamConnection connection) {
    if (!reusable.remove(connection)) {
      resting.remove(connection);
    }
  }

  /**
   * Makes each connection reusable that has rested for {@code restNanos} or longer at {@code now}
   * (ns).
   */
  void endRests(long now, long restNanos) {
    UpstreamConnection first;
    while ((first = resting.peekFirst()) != null && now - first.idleSinceNanos() >= restNanos) {
      reusable.addLast(resting.pollFirst());
    }
  }

  boolean hasResting() {
    return !resting.isEmpty();
  }

  /**
   * Takes the most recently used reusable connection. Returns null where there is none, or where
   * even this connection has been idle for {@code maxIdleNanos} or longer.
   */
  UpstreamConnection pollNewest(long now, long maxIdleNanos) {
    UpstreamConnection newest = reusable.peekLast();
    return newest != null && now - newest.idleSinceNanos() < maxIdleNanos
        ? reusable.pollLast()
        : null;
  }

  /**
   * Takes a connection that has been idle for longer than {@code maxIdleNanos}, or returns null
   * where there is none.
   */
  UpstreamConnection pollExpired(long now, long maxIdleNanos) {
    UpstreamConnection oldest = reusable.peekFirst();
    return oldest != null && now - oldest.idleSinceNanos() > maxIdleNanos
        ? reusable.pollFirst()
        : null;
  }

  /**
   * Returns all connections, the reusable ones first. The result is a copy, because closing a
   * connection removes it from this object.
   */
  List<UpstreamConnection> all() {
    List<UpstreamConnection> all = new ArrayList<>(reusable);
    all.addAll(resting);
    return all;
  }
}
