package leadferry.daemon;

/**
 * Describes one error in an operator's file.
 *
 * @param file path of the file
 * @param line line of the key, from 1, or 0 where the error concerns the whole file
 * @param key path of the key, as in {@code pool.roster.member[2].weight}; empty for the whole file
 * @param found value or condition that was found
 * @param expected what is valid in its place
 */
public record ConfigurationError(String file, int line, String key, String found, String expected) {
  @Override
  public String toString() {
    return file
        + (line > 0 ? ":" + line : "")
        + ": "
        + (key.isEmpty() ? "" : key + ": ")
        + found
        + " (expected: "
        + expected
        + ")";
  }
}
