package leadferry.disruption;

import java.util.Locale;

/** What can be taken out of service. */
public enum TargetType {
  /** A client proxy of the fleet. */
  PROXY,

  /** An upstream host that proxies send requests to. */
  HOST;

  /** The type of that stored word, or null where there is none. */
  public static TargetType of(String word) {
    for (TargetType type : values()) {
      if (type.word().equals(word)) {
        return type;
      }
    }
    return null;
  }

  /** The word of the stored form: {@code proxy} or {@code host}. */
  public String word() {
    return name().toLowerCase(Locale.ROOT);
  }
}
