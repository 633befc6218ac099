package leadferry.testbed;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Every execution at every stand-in by request id. Holds at most a stated number of ids; what comes
 * past that is only counted, and {@link #unrecordedCount} tells that the ledger can't vouch for it.
 * Safe for use by many threads.
 */
public final class ExecutionLog {
  /** One run of a request: where, in which pod, when (ns of {@link System#nanoTime}). */
  public record Execution(String upstream, String pod, long atNanos) {}

  private final int maxIds;
  private final Map<String, List<Execution>> byId = new ConcurrentHashMap<>();
  private final AtomicLong executionCount = new AtomicLong();
  private final AtomicLong unrecordedCount = new AtomicLong();

  /** A ledger of at most so many ids. */
  public ExecutionLog(int maxIds) {
    this.maxIds = maxIds;
  }

  /** A request begins to run. */
  public void record(String id, String host, String pod) {
    executionCount.incrementAndGet();
    if (id == null || (byId.size() >= maxIds && !byId.containsKey(id))) {
      unrecordedCount.incrementAndGet();
      return;
    }
    List<Execution> list = byId.computeIfAbsent(id, k -> new ArrayList<>(1));
    synchronized (list) {
      list.add(new Execution(host, pod, System.nanoTime()));
    }
  }

  /** The runs of a request, in order. */
  public List<Execution> executionsOf(String id) {
    List<Execution> list = byId.get(id);
    if (list == null) {
      return List.of();
    }
    synchronized (list) {
      return List.copyOf(list);
    }
  }

  public long executionCount() {
    return executionCount.get();
  }

  /** Runs of requests without an id, or past the bound. */
  public long unrecordedCount() {
    return unrecordedCount.get();
  }

  /** Ids that ran more than once. */
  public List<String> repeatedIds() {
    List<String> out = new ArrayList<>();
    byId.forEach(
        (id, list) -> {
          if (executionsOf(id).size() > 1) {
            out.add(id);
          }
        });
    return out;
  }

  /** Shows every recorded id with its runs. */
  public void forEach(java.util.function.BiConsumer<String, List<Execution>> each) {
    byId.keySet().forEach(id -> each.accept(id, executionsOf(id)));
  }

  /**
   * Whether every repeat of a keyed request ran in the pod of the one before, within the window.
   */
  public boolean repeatsStayedInPod(String id, long windowMs) {
    List<Execution> runs = executionsOf(id);
    for (int i = 1; i < runs.size(); i++) {
      if (!runs.get(i).pod().equals(runs.get(0).pod())
          || runs.get(i).atNanos() - runs.get(0).atNanos() > windowMs * 1_000_000L) {
        return false;
      }
    }
    return true;
  }
}
