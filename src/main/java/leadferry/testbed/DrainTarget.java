package leadferry.testbed;

/**
 * A target that an operator takes out of service.
 *
 * @param kind {@code proxy} or {@code host}, as in the protocol
 * @param name name of the target in the fleet
 */
record DrainTarget(String kind, String name) {
  static final String PROXY = "proxy";
  static final String HOST = "host";

  boolean isProxy() {
    return kind.equals(PROXY);
  }
}
