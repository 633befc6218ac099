package leadferry.release;

import java.util.Arrays;
import java.util.stream.Collectors;

/**
 * An enum whose constants have stored names in log entries, status views and snapshots. The stored
 * names are also sent to other builds, so they must not change when a constant is renamed.
 */
interface StoredName {
  /** Returns the name in entries and status views; snapshots hold it in upper case. */
  String storedName();

  /**
   * Returns the constant with the given stored name.
   *
   * @throws IllegalArgumentException if no constant has the stored name
   */
  static <E extends Enum<E> & StoredName> E parse(Class<E> type, String storedName) {
    for (E constant : type.getEnumConstants()) {
      if (constant.storedName().equals(storedName)) {
        return constant;
      }
    }
    String expected =
        Arrays.stream(type.getEnumConstants())
            .map(StoredName::storedName)
            .collect(Collectors.joining(", "));
    throw new IllegalArgumentException(
        type.getSimpleName() + ": '" + storedName + "' (expected: " + expected + ")");
  }
}
