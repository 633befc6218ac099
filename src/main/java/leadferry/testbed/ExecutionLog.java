package leadferry.testbed;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Every execution at every stand-in by request id. Holds at most a stated number of ids; what comes
 * past that is only counted, and {@link #unrecorded} tells that the ledger can't vouch for it. Safe
 * for use by many threads.
 */
public final class ExecutionLog {
  /** One run of a request: where, in which pod, when (ns of {@link System#nanoTime}). */
  public record Execution(String host, String pod, long at) {}

  private final int most;
  private final Map<String, List<Execution>> byId = new ConcurrentHashMap<>();
  private final AtomicLong executions = new AtomicLong();
  private final AtomicLong unrecorded = new AtomicLong();

  /** A ledger of at most so many ids. */
  public ExecutionLog(int most) {
    this.most = most;
  }

  /** A request begins to run. */
  public void ran(String id, String host, String pod) {
    executions.incrementAndGet();
    if (id == null || (byId.size() >= most && !byId.containsKey(id))) {
      unrecorded.incrementAndGet();
      return;
    }
    List<Execution> list = byId.computeIfAbsent(id, k -> new ArrayList<>(1));
    synchronized (list) {
      list.add(new Execution(host, pod, System.nanoTime()));
    }
  }

  /** The runs of a request, in order. */
  public List<Execution> of(String id) {
    List<Execution> list = byId.get(id);
    if (list == null) {
      return List.of();
    }
    synchronized (list) {
      return List.copyOf(list);
    }
  }

  public long executions() {
    return executions.get();
  }

  /** Runs of requests without an id, or past the bound. */
  public long unrecorded() {
    return unrecorded.get();
  }

  /** Ids that ran more than once. */
  public List<String> repeated() {
    List<String> out = new ArrayList<>();
    byId.forEach(
        (id, list) -> {
          if (of(id).size() > 1) {
            out.add(id);
          }
        });
    return out;
  }

  /** Shows every recorded id with its runs. */
  public void visit(java.util.function.BiConsumer<String, List<Execution>> each) {
    byId.keySet().forEach(id -> each.accept(id, of(id)));
  }

  /**
   * Whether every repeat of a keyed request ran in the pod of the one before, within the window.
   */
  public boolean repeatsKept(String id, long windowMs) {
    List<Execution> runs = of(id);
    for (int i = 1; i < runs.size(); i++) {
      if (!runs.get(i).pod().equals(runs.get(0).pod())
          || runs.get(i).at() - runs.get(0).at() > windowMs * 1_000_000L) {
        return false;
      }
    }
    return true;
  }
}
