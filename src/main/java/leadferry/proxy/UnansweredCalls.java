package leadferry.proxy;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import leadferry.loadbalancer.DiscoveryTiming;

/**
 * Open calls to discovery that have no answer yet, oldest first. Their number is bounded: where
 * another call begins, the oldest one keeps its place in the queue of discovery for as long as
 * {@link #OLDEST_CALL_LIMIT_NANOS}, and the next oldest is given up, which no longer can bring a
 * change within {@link DiscoveryTiming#NOTIFICATION_DEADLINE_MILLIS}.
 */
final class UnansweredCalls {
  /** Maximum number of open calls: the oldest, and those within the notification deadline. */
  static final int MAX_OPEN =
      1
          + (int)
              Math.ceil(
                  DiscoveryTiming.NOTIFICATION_DEADLINE_MILLIS
                      / DiscoveryTiming.MIN_CALL_INTERVAL_MILLIS);

  /** Guards against an oldest call that will never be answered and keeps its place for ever. */
  private static final long OLDEST_CALL_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(30);

  private final List<DiscoveryConnection> calls = new ArrayList<>();

  /** Adds a call; returns the call that is to be given up for it, or null. */
  DiscoveryConnection add(DiscoveryConnection call) {
    DiscoveryConnection removed = null;
    if (calls.size() >= MAX_OPEN) {
      boolean keepsOldest =
          call.beginNanos() - calls.get(0).beginNanos() <= OLDEST_CALL_LIMIT_NANOS;
      removed = calls.remove(keepsOldest ? 1 : 0);
    }
    calls.add(call);
    return removed;
  }

  boolean isEmpty() {
    return calls.isEmpty();
  }

  boolean contains(DiscoveryConnection call) {
    return calls.contains(call);
  }

  /** Removes a call; returns whether it was one of these. */
  boolean remove(DiscoveryConnection call) {
    return calls.remove(call);
  }

  /** Removes all calls and returns them. */
  List<DiscoveryConnection> removeAll() {
    List<DiscoveryConnection> removed = List.copyOf(calls);
    calls.clear();
    return removed;
  }
}
