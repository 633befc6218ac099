package leadferry.consensus;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The leader's clock over leases, eviction grants and stabilization periods. Without I/O; times are
 * passed in (ns, of a monotonic clock).
 *
 * <pre>
 *   leadership begins      renewed        renewed                     due: submitted to the log once
 *   |---- a whole lease ----|---- a whole lease ----|---- a whole lease ----|
 * </pre>
 *
 * <p>Nothing that an earlier leader counted is believed, and nothing that this one counted before
 * it stood still itself: every time begins anew. So what runs out, runs out late, never early.
 * Guards against a leader that was stopped, wakes up, and takes every member for dead that it could
 * not hear.
 */
public final class LeaseTimers {
  /** A gap between two looks (ns) from which on this process counts as having been stopped. */
  static final long STALL_THRESHOLD_NANOS = 400_000_000L;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final Map<String, Long> startedAtNanos = new HashMap<>();
  private final Set<String> submitted = new HashSet<>();
  private long lastPollNanos = Long.MIN_VALUE;

  /** Leadership has begun: forgets all. */
  public void reset(long nowNanos) {
    startedAtNanos.clear();
    submitted.clear();
    lastPollNanos = nowNanos;
  }

  /**
   * What has run out and was not returned before; {@code running} holds all that runs, and how long
   * (ms).
   */
  public List<String> pollExpired(Map<String, Long> durationsMillis, long nowNanos) {
    if (lastPollNanos != Long.MIN_VALUE && nowNanos - lastPollNanos > STALL_THRESHOLD_NANOS) {
      startedAtNanos.clear(); // what was submitted to the log stays submitted
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
   * A sign of life for a timer. False where its end has been submitted to the log: whoever it is
   * about must not hear that it goes on.
   */
  public boolean renew(String timer, long nowNanos) {
    if (submitted.contains(timer)) {
      return false;
    }
    startedAtNanos.put(timer, nowNanos);
    return true;
  }

  /** The log did not take the end of this timer: it is due again. */
  public void allowResubmission(String timer) {
    submitted.remove(timer);
  }
}
