package leadferry.soak;

import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Everything recorded outside the proxy processes during one run. Thread-safe. */
final class SoakHistory {
  /** Key of a notice to a proxy that an upstream drains or was removed. */
  private record DrainNotice(int proxy, String upstream) {}

  private final Queue<RequestRecord> requests = new ConcurrentLinkedQueue<>();
  private final Queue<AttemptRecord> attempts = new ConcurrentLinkedQueue<>();
  private final Queue<String> crashes = new ConcurrentLinkedQueue<>();
  private final Map<DrainNotice, Long> drainNoticeNanos = new ConcurrentHashMap<>();

  void add(RequestRecord request) {
    requests.add(request);
  }

  void add(AttemptRecord attempt) {
    attempts.add(attempt);
  }

  /**
   * Records that a proxy process exited unexpectedly, with a wrong status, or failed to restart.
   */
  void addCrash(String detail) {
    crashes.add(detail);
  }

  /** Records that the proxy was notified of a drain; the earliest notice counts. */
  void addDrainNotice(int proxy, String upstream, long atNanos) {
    drainNoticeNanos.merge(new DrainNotice(proxy, upstream), atNanos, Math::min);
  }

  List<RequestRecord> requests() {
    return List.copyOf(requests);
  }

  List<AttemptRecord> attempts() {
    return List.copyOf(attempts);
  }

  List<String> crashes() {
    return List.copyOf(crashes);
  }

  /**
   * Returns when, by {@link System#nanoTime}, the proxy was notified that the upstream drains, or
   * {@link Long#MAX_VALUE} if it was not.
   */
  long drainNotice(int proxy, String upstream) {
    return drainNoticeNanos.getOrDefault(new DrainNotice(proxy, upstream), Long.MAX_VALUE);
  }
}
