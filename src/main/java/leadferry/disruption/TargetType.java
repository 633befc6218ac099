package leadferry.disruption;

import java.util.Locale;

/** What can be taken out of service. */
public enum TargetType {
  PROXY,
  HOST;

  /** The kind's word, or null where it is none. */
  public static TargetType of(String word) {
    for (TargetType k : values()) {
      if (k.word().equals(word)) {
        return k;
      }
    }
    return null;
  }

  public String word() {
    return name().toLowerCase(Locale.ROOT);
  }
}
