package leadferry.loadbalancer;

/**
 * The current settings with values derived from them. Settings are replaced as a whole, between two
 * events.
 */
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

  /** Returns {@link Settings#shortestObjectiveMillis} of the current settings. */
  double shortestObjectiveMillis() {
    return shortestObjectiveMillis;
  }

  /** Returns {@link Settings#idleTimeoutMillis} of the current settings. */
  double idleTimeoutMillis() {
    return idleTimeoutMillis;
  }
}
