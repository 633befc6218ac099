package leadferry.release;

import java.util.Arrays;
import java.util.stream.Collectors;

/**
 * An enum whose constants have a word of their own in entries, status views and snapshots. Those
 * words are stored in logs and sent to other versions, so they stay when a constant is renamed.
 */
interface StoredWord {
  /** The word in entries and status views; snapshots hold it in upper case. */
  String word();

  /**
   * The constant that a word stands for.
   *
   * @throws IllegalArgumentException where no constant has this word
   */
  static <E extends Enum<E> & StoredWord> E parse(Class<E> type, String word) {
    for (E constant : type.getEnumConstants()) {
      if (constant.word().equals(word)) {
        return constant;
      }
    }
    String expected =
        Arrays.stream(type.getEnumConstants())
            .map(StoredWord::word)
            .collect(Collectors.joining(", "));
    throw new IllegalArgumentException(
        type.getSimpleName() + ": '" + word + "' (expected: " + expected + ")");
  }
}
