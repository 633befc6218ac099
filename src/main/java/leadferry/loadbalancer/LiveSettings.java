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
    shortestAimMillis = next.shortestAimMillis();
    idleTimeoutMillis = next.idleTimeoutMillis(Double.POSITIVE_INFINITY);
  }

  Settings now() {
    return now;
  }

  /** {@link Settings#shortestAimMillis} of those in force. */
  double shortestAimMillis() {
    return shortestAimMillis;
  }

  /** {@link Settings#idleTimeoutMillis} of those in force. */
  double idleTimeoutMillis() {
    return idleTimeoutMillis;
  }
}
