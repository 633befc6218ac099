package corkproxy.disruption;

import java.util.Locale;

/** What can be taken out of service. */
public enum Kind {
  PROXY,
  HOST;

  /** The kind's word, or null where it is none. */
  public static Kind of(String word) {
    for (Kind k : values()) {
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
