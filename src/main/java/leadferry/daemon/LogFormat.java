package leadferry.daemon;

/** Format of the daemon's log. */
public enum LogFormat {
  /** One line of text: time, level, message, and fields as {@code name=value}. */
  TEXT,
  /** One line with a JSON object. */
  JSON
}
