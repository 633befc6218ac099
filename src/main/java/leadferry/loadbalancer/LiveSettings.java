package leadferry.loadbalancer;

/** The settings in force. They change as a whole, between two events. */
final class LiveSettings {
  private Settings now;
  private double pace;
  private double keepIdle;

  LiveSettings(Settings first) {
    set(first);
  }

  void set(Settings next) {
    now = next;
    pace = next.pace();
    keepIdle = next.keepIdle(Double.POSITIVE_INFINITY);
  }

  Settings now() {
    return now;
  }

  /** {@link Settings#pace()} of those in force. */
  double pace() {
    return pace;
  }

  /** {@link Settings#keepIdle} of those in force. */
  double keepIdle() {
    return keepIdle;
  }
}
