package leadferry.disruption;

import java.util.Locale;

/** What can be taken out of service. */
public enum TargetType {
  /** A client proxy of the fleet. */
  PROXY,

  /** An upstream host that proxies send requests to. */
  HOST;

  /** The type of that stored word, or null where there is none. */
  public static TargetType fromStoredName(String storedName) {
    for (TargetType type : values()) {
      if (type.storedName().equals(storedName)) {
        return type;
      }
    }
    return null;
  }

  /** The word of the stored form: {@code proxy} or {@code host}. */
  public String storedName() {
    return name().toLowerCase(Locale.ROOT);
  }
}
