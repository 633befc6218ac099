package leadferry.loadbalancer;

/** The settings in force. They change as a whole, between two events. */
final class LiveSettings {
  private Settings current;
  private double shortestObjectiveMillis;
  private double idleTimeoutMillis;

  LiveSettings(Settings initial) {
    set(initial);
  }

  void set(Settings next) {
    current = next;
    shortestObjectiveMillis = next.shortestObjectiveMillis();
    idleTimeoutMillis = next.idleTimeoutMillis(Double.POSITIVE_INFINITY);
  }

  Settings current() {
    return current;
  }

  /** {@link Settings#shortestObjectiveMillis} of those in force. */
  double shortestObjectiveMillis() {
    return shortestObjectiveMillis;
  }

  /** {@link Settings#idleTimeoutMillis} of those in force. */
  double idleTimeoutMillis() {
    return idleTimeoutMillis;
  }
}
