package leadferry.daemon;

/**
 * One thing that is wrong in the operator's file.
 *
 * @param line the line it stands in, from 1, or 0 where the file as a whole is meant
 * @param key the key's path, as in {@code pool.roster.members[2].weight}
 * @param found what stood there
 * @param expected what should stand there
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
