package leadferry.engine;

/**
 * Log for operators. Each kind of entry is limited per second, and the entries over the limit are
 * counted. Thread-safe. Each implementation documents whether it blocks on its reader.
 *
 * <p>Fields are passed as alternating names and values; a field whose value is null is omitted.
 */
public interface Log {
  /** Logs a state change or a message for operators as text. */
  default void line(String text) {
    event(text);
  }

  /** Logs a state change or a message for operators with fields. */
  void event(String message, Object... fields);

  /** Logs the result of one request or attempt; the number of calls a second is unbounded. */
  void detail(String message, Object... fields);

  /** Whether {@link #detail} writes anything; lets callers skip the collection of fields. */
  default boolean isDetailEnabled() {
    return true;
  }

  /** Logs a failure of this program with its stack trace. */
  void failure(String message, Throwable cause);

  /** Returns a log that adds a field to every entry written through it. */
  default Log withField(String field, String value) {
    return new LogWithField(this, field, value);
  }
}
