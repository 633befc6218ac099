package leadferry.disruption;

/** Types of targets that can be taken out of service. */
public enum TargetType {
  /** A client proxy of the fleet. */
  PROXY("proxy"),

  /** An endpoint that proxies send requests to; stored as "host". */
  ENDPOINT("host");

  private final String storedName;

  TargetType(String storedName) {
    this.storedName = storedName;
  }

  /** Returns the type with the given stored name, or null if there is none. */
  public static TargetType fromStoredName(String storedName) {
    for (TargetType type : values()) {
      if (type.storedName().equals(storedName)) {
        return type;
      }
    }
    return null;
  }

  /** Returns the name in stored data and on the wire: "proxy" or "host". */
  public String storedName() {
    return storedName;
  }
}
