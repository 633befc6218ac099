package leadferry.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * The connections to one host that carry nothing, confined to the loop of their pool. A connection
 * rests after a response before it becomes reusable; both queues have the longest unused first, so
 * each operation looks at one end only.
 *
 * <pre>
 *   response read -> resting -- rest is over --> reusable -> carries the next attempt, or expires
 * </pre>
 */
final class IdleConnections {
  private final ArrayDeque<UpstreamConnection> resting = new ArrayDeque<>(2);
  private final ArrayDeque<UpstreamConnection> reusable = new ArrayDeque<>(2);

  /** A connection has just carried an attempt to its end. */
  void add(UpstreamConnection connection) {
    resting.addLast(connection);
  }

  void remove(UpstreamConnection connection) {
    if (!reusable.remove(connection)) {
      resting.remove(connection);
    }
  }

  /** Makes those reusable that have rested for {@code restNanos} at {@code now} (ns). */
  void endRests(long now, long restNanos) {
    UpstreamConnection first;
    while ((first = resting.peekFirst()) != null && now - first.idleSinceNanos() >= restNanos) {
      reusable.addLast(resting.pollFirst());
    }
  }

  boolean hasResting() {
    return !resting.isEmpty();
  }

  /** Takes the one that was used last, or null if there is none or it is too old to be used. */
  UpstreamConnection pollNewest(long now, long keepNanos) {
    UpstreamConnection newest = reusable.peekLast();
    return newest != null && now - newest.idleSinceNanos() < keepNanos ? reusable.pollLast() : null;
  }

  /** Takes one that has been unused for longer than {@code keepNanos}, or null if there is none. */
  UpstreamConnection pollExpired(long now, long keepNanos) {
    UpstreamConnection oldest = reusable.peekFirst();
    return oldest != null && now - oldest.idleSinceNanos() > keepNanos
        ? reusable.pollFirst()
        : null;
  }

  /** All of them, the reusable ones first; a copy, as closing one takes it out of here. */
  List<UpstreamConnection> all() {
    List<UpstreamConnection> all = new ArrayList<>(reusable);
    all.addAll(resting);
    return all;
  }
}
