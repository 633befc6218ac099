package leadferry.soak;

import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/** All that was recorded outside the program in one run; safe for use by many threads. */
final class SoakHistory {
  /** A proxy was notified that a server drains or has gone, at this time (ns). */
  private record Notified(int proxy, String server) {}

  private final Queue<RequestRecord> requests = new ConcurrentLinkedQueue<>();
  private final Queue<AttemptRecord> attempts = new ConcurrentLinkedQueue<>();
  private final Queue<String> crashes = new ConcurrentLinkedQueue<>();
  private final Map<Notified, Long> drains = new ConcurrentHashMap<>();

  void add(RequestRecord request) {
    requests.add(request);
  }

  void add(AttemptRecord attempt) {
    attempts.add(attempt);
  }

  /** A proxy process ended, or did not end, against its terms. */
  void addCrash(String what) {
    crashes.add(what);
  }

  /** The earliest notice counts. */
  void addDrainNotice(int proxy, String server, long at) {
    drains.merge(new Notified(proxy, server), at, Math::min);
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

  /** When (ns) the proxy was notified that the server drains, or {@link Long#MAX_VALUE}. */
  long drainNotice(int proxy, String server) {
    return drains.getOrDefault(new Notified(proxy, server), Long.MAX_VALUE);
  }
}
