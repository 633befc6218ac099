package leadferry.loadbalancer;

/** The settings in force. They change as a whole, between two events. */
final class LiveSettings {
  private Settings now;
  private double shortestAimMillis;
  private double idleTimeoutMillis;

  LiveSettings(Settings first) {
    set(first);
  }

  void set(Settings next) {
    now = next;
    shortestAimMillis = next.pace();
    idleTimeoutMillis = next.keepIdle(Double.POSITIVE_INFINITY);
  }

  Settings now() {
    return now;
  }

  /** {@link Settings#pace()} of those in force. */
  double shortestAimMillis() {
    return shortestAimMillis;
  }

  /** {@link Settings#keepIdle} of those in force. */
  double idleTimeoutMillis() {
    return idleTimeoutMillis;
  }
}
