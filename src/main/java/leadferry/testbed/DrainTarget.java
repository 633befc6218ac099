package leadferry.testbed;

/**
 * Whom an operator takes out of service.
 *
 * @param kind {@code proxy} or {@code host}, as the protocol has it
 * @param name its name in the fleet
 */
record DrainTarget(String kind, String name) {
  static final String PROXY = "proxy";
  static final String HOST = "host";

  boolean isProxy() {
    return kind.equals(PROXY);
  }
}
