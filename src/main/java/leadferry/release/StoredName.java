package leadferry.release;

import java.util.Arrays;
import java.util.stream.Collectors;

/**
 * An enum whose constants have a word of their own in entries, status views and snapshots. Those
 * words are stored in logs and sent to other versions, so they stay when a constant is renamed.
 */
interface StoredName {
  /** The word in entries and status views; snapshots hold it in upper case. */
  String storedName();

  /**
   * The constant that a word stands for.
   *
   * @throws IllegalArgumentException where no constant has this word
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
