package leadferry.consensus;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The leader's timers for leases, eviction grants and stabilization periods. Without I/O; callers
 * pass the time in nanoseconds of a monotonic clock.
 *
 * <pre>
 *   leadership begins      renewed        renewed               expired: submitted to the log once
 *   |---- whole duration ----|-- whole duration --|---- whole duration ----|
 * </pre>
 *
 * <p>A timer starts over with its whole duration when leadership begins, and when this process
 * finds that it was stopped for longer than {@link #STALL_THRESHOLD_NANOS}. A timer can therefore
 * expire late but never early. Guards against a leader that resumes after a stop and expires the
 * sessions of all members whose renewals it could not receive.
 */
public final class LeaseTimers {
  /**
   * Gap between two polls, in nanoseconds, above which this process counts as having been stopped.
   */
  static final long STALL_THRESHOLD_NANOS = 400_000_000L;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final Map<String, Long> startedAtNanos = new HashMap<>();
  private final Set<String> submitted = new HashSet<>();
  private long lastPollNanos = Long.MIN_VALUE;

  /** Discards all timers. Called when leadership begins. */
  public void reset(long nowNanos) {
    startedAtNanos.clear();
    submitted.clear();
    lastPollNanos = nowNanos;
  }

  /**
   * Returns the timers that have expired and were not returned before.
   *
   * @param durationsMillis durations (ms) of all running timers by name
   */
  public List<String> pollExpired(Map<String, Long> durationsMillis, long nowNanos) {
    if (lastPollNanos != Long.MIN_VALUE && nowNanos - lastPollNanos > STALL_THRESHOLD_NANOS) {
      startedAtNanos.clear(); // expiries already submitted to the log stay submitted
    }
    lastPollNanos = nowNanos;
    startedAtNanos.keySet().retainAll(durationsMillis.keySet());
    submitted.retainAll(durationsMillis.keySet());
    List<String> expired = new ArrayList<>();
    for (Map.Entry<String, Long> timer : durationsMillis.entrySet()) {
      Long startNanos = startedAtNanos.putIfAbsent(timer.getKey(), nowNanos);
      if (startNanos != null
          && nowNanos - startNanos >= timer.getValue() * NANOS_PER_MILLI
          && submitted.add(timer.getKey())) {
        expired.add(timer.getKey());
      }
    }
    return expired;
  }

  /**
   * Restarts a timer. Returns false if the expiry of the timer has been submitted to the log: a
   * lease that is about to end must not be renewed.
   */
  public boolean renew(String timer, long nowNanos) {
    if (submitted.contains(timer)) {
      return false;
    }
    startedAtNanos.put(timer, nowNanos);
    return true;
  }

  /** Makes an expired timer eligible again after its entry was not accepted into the log. */
  public void allowResubmission(String timer) {
    submitted.remove(timer);
  }
}
