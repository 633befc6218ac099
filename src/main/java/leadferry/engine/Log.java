package leadferry.engine;

/**
 * What the people on call are told. Every kind is bounded a second, and what is past the bound is
 * counted. Safe for use by many threads. Whether it waits for whoever reads it, each kind of log
 * tells.
 *
 * <p>Fields come as names and values in turn; one whose value is null is left out.
 */
public interface Log {
  /** A change of state, or what operators must know, in words. */
  default void line(String text) {
    event(text);
  }

  /** The same with fields. */
  void event(String what, Object... fields);

  /** What became of one request or attempt; there may be any number a second. */
  void detail(String what, Object... fields);

  /** Whether {@link #detail} is of any use, so that fields need not be gathered in vain. */
  default boolean isDetailEnabled() {
    return true;
  }

  /** A failure of our own code, with its stack. */
  void failure(String what, Throwable cause);

  /** The same log, with a field more in all that comes through this one. */
  default Log withField(String field, String value) {
    return new LogWithField(this, field, value);
  }
}
