package leadferry.daemon;

/** How the daemon's log is written. */
public enum LogFormat {
  /** A line for people: time, level, what, and fields as {@code name=value}. */
  TEXT,
  /** A line for programs: one JSON object. */
  JSON
}
