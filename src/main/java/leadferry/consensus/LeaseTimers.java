package leadferry.consensus;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The leader's clock over leases, permits and the times in which somebody settles. Without I/O;
 * times are passed in (ns, of a monotonic clock).
 *
 * <pre>
 *   leadership begins      renewed        renewed                     due: told to the log once
 *   |---- a whole lease ----|---- a whole lease ----|---- a whole lease ----|
 * </pre>
 *
 * <p>Nothing that an earlier leader counted is believed, and nothing that this one counted before
 * it stood still itself: every time begins anew. So what runs out, runs out late, never early.
 * Guards against a keeper that was stopped, wakes up, and takes everybody for dead whom it could
 * not hear.
 */
public final class LeaseTimers {
  /** A gap between two looks (ns) that tells that this process stood still. */
  static final long STALL_NANOS = 400_000_000L;

  private final Map<String, Long> since = new HashMap<>();
  private final Set<String> told = new HashSet<>();
  private long looked = Long.MIN_VALUE;

  /** Leadership has begun: forgets all. */
  public void begin(long now) {
    since.clear();
    told.clear();
    looked = now;
  }

  /**
   * What has run out and was not returned before; {@code wanted} holds all that runs, and how long
   * (ms).
   */
  public List<String> due(Map<String, Long> wanted, long now) {
    if (looked != Long.MIN_VALUE && now - looked > STALL_NANOS) {
      since.clear(); // what was told to the log stays told
    }
    looked = now;
    since.keySet().retainAll(wanted.keySet());
    told.retainAll(wanted.keySet());
    List<String> due = new ArrayList<>();
    for (Map.Entry<String, Long> w : wanted.entrySet()) {
      Long from = since.putIfAbsent(w.getKey(), now);
      if (from != null && now - from >= w.getValue() * 1_000_000L && told.add(w.getKey())) {
        due.add(w.getKey());
      }
    }
    return due;
  }

  /**
   * A sign of life for a timer. False where its end has been told to the log: whoever it is about
   * must not hear that it goes on.
   */
  public boolean renew(String timer, long now) {
    if (told.contains(timer)) {
      return false;
    }
    since.put(timer, now);
    return true;
  }

  /** The log did not take the end of this timer: it will be told again. */
  public void untold(String timer) {
    told.remove(timer);
  }
}
