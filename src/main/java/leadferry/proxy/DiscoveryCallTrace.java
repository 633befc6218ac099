package leadferry.proxy;

import java.util.concurrent.TimeUnit;
import leadferry.engine.Log;

/**
 * Logs each call to discovery if the system property {@code leadferry.traceDiscovery} is true: when
 * it began, when its connection was accepted, when it was answered, and why it ended, each with the
 * time since the event before. Confined to the event loop.
 */
final class DiscoveryCallTrace {
  private static final boolean ENABLED = Boolean.getBoolean("leadferry.traceDiscovery");

  private final Log log;
  private int calls;
  private long lastEventNanos = System.nanoTime();

  DiscoveryCallTrace(Log log) {
    this.log = log;
  }

  /** Records the begin of a call and returns its number. */
  int begin() {
    calls++;
    write(calls, "begun");
    return calls;
  }

  /** Records that the connection of a call has been established. */
  void accepted(int call) {
    write(call, "accepted");
  }

  /** Records the first valid response to a call. */
  void answered(int call, long version) {
    write(call, "answered version " + version);
  }

  /** Records that a watch has been silent for too long. */
  void silent(int call) {
    write(call, "silent");
  }

  /** Records the end of a call or of its watch. */
  void ended(int call, String reason) {
    write(call, "ended: " + reason);
  }

  private void write(int call, String event) {
    if (ENABLED) {
      long nowNanos = System.nanoTime();
      long sinceMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - lastEventNanos);
      lastEventNanos = nowNanos;
      log.event(
          "discovery call", "number", call, "event", event, "sinceLastEventMillis", sinceMillis);
    }
  }
}
