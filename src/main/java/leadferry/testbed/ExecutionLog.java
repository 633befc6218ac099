package leadferry.testbed;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Records every execution at every fake upstream by request id. Holds at most a fixed number of
 * ids. Executions beyond that are only counted; if {@link #unrecordedCount} is above 0, the log is
 * incomplete. Thread-safe.
 */
public final class ExecutionLog {
  /** One execution of a request: upstream, pod and start time ({@link System#nanoTime}). */
  public record Execution(String upstream, String pod, long atNanos) {}

  private final int maxIds;
  private final Map<String, List<Execution>> byId = new ConcurrentHashMap<>();
  private final AtomicLong executionCount = new AtomicLong();
  private final AtomicLong unrecordedCount = new AtomicLong();

  /** Creates a log of at most {@code maxIds} request ids. */
  public ExecutionLog(int maxIds) {
    this.maxIds = maxIds;
  }

  /** Records that request {@code id} (null if it has none) begins to run. */
  public void record(String id, String upstream, String pod) {
    executionCount.incrementAndGet();
    if (id == null || (byId.size() >= maxIds && !byId.containsKey(id))) {
      unrecordedCount.incrementAndGet();
      return;
    }
    List<Execution> executions = byId.computeIfAbsent(id, key -> new ArrayList<>(1));
    synchronized (executions) {
      executions.add(new Execution(upstream, pod, System.nanoTime()));
    }
  }

  /** Returns the executions of a request in the order of their start. */
  public List<Execution> executionsOf(String id) {
    List<Execution> executions = byId.get(id);
    if (executions == null) {
      return List.of();
    }
    synchronized (executions) {
      return List.copyOf(executions);
    }
  }

  /** Returns the number of all executions, recorded or not. */
  public long executionCount() {
    return executionCount.get();
  }

  /** Returns the number of executions of requests without an id or beyond the bound on ids. */
  public long unrecordedCount() {
    return unrecordedCount.get();
  }

  /** Returns the ids of requests that ran more than once. */
  public List<String> repeatedIds() {
    List<String> repeated = new ArrayList<>();
    byId.forEach(
        (id, executions) -> {
          if (executionsOf(id).size() > 1) {
            repeated.add(id);
          }
        });
    return repeated;
  }

  /** Passes every recorded id with its executions to {@code action}. */
  public void forEach(java.util.function.BiConsumer<String, List<Execution>> action) {
    byId.keySet().forEach(id -> action.accept(id, executionsOf(id)));
  }

  /**
   * Returns whether every repeated execution of a keyed request ran in the pod of the first one and
   * within {@code windowMillis} after it.
   */
  public boolean repeatsStayedInPod(String id, long windowMillis) {
    List<Execution> executions = executionsOf(id);
    for (int i = 1; i < executions.size(); i++) {
      if (!executions.get(i).pod().equals(executions.get(0).pod())
          || executions.get(i).atNanos() - executions.get(0).atNanos()
              > windowMillis * 1_000_000L) {
        return false;
      }
    }
    return true;
  }
}
