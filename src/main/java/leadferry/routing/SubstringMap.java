package leadferry.routing;

/**
 * A hash map with string keys that looks up a region of a string without allocating a substring.
 * Not modified after it is built. Uses open addressing and is at most half full. The hash is the
 * polynomial of {@link String#hashCode}, which is extended by one step per char.
 */
final class SubstringMap<V> {
  private String[] keys = new String[16];

  /**
   * The hashes of the keys. They have an array of their own, so that a look-up without a result
   * rarely reads a key.
   */
  private int[] hashes = new int[16];

  private Object[] values = new Object[16];
  private int size;

  static int extendHash(int hash, char character) {
    return 31 * hash + character;
  }

  /**
   * Returns the value of the {@code length} chars at {@code start}, or null.
   *
   * @param hash the hash of the region, see {@link #extendHash}
   */
  V get(String text, int start, int length, int hash) {
    int mask = keys.length - 1;
    for (int index = spreadBits(hash) & mask; keys[index] != null; index = index + 1 & mask) {
      if (hashes[index] == hash
          && keys[index].length() == length
          && text.regionMatches(start, keys[index], 0, length)) {
        return valueAt(index);
      }
    }
    return null;
  }

  V get(String text) {
    return get(text, 0, text.length(), text.hashCode());
  }

  void put(String key, V value) {
    if (2 * (size + 1) > keys.length) {
      grow();
    }
    int mask = keys.length - 1;
    int index = spreadBits(key.hashCode()) & mask;
    while (keys[index] != null && !keys[index].equals(key)) {
      index = index + 1 & mask;
    }
    size += keys[index] == null ? 1 : 0;
    keys[index] = key;
    hashes[index] = key.hashCode();
    values[index] = value;
  }

  boolean isEmpty() {
    return size == 0;
  }

  @SuppressWarnings("unchecked")
  private V valueAt(int index) {
    return (V) values[index];
  }

  private void grow() {
    String[] oldKeys = keys;
    Object[] oldValues = values;
    keys = new String[2 * oldKeys.length];
    hashes = new int[2 * oldKeys.length];
    values = new Object[2 * oldKeys.length];
    int mask = keys.length - 1;
    for (int oldIndex = 0; oldIndex < oldKeys.length; oldIndex++) {
      if (oldKeys[oldIndex] != null) {
        int index = spreadBits(oldKeys[oldIndex].hashCode()) & mask;
        while (keys[index] != null) {
          index = index + 1 & mask;
        }
        keys[index] = oldKeys[oldIndex];
        hashes[index] = oldKeys[oldIndex].hashCode();
        values[index] = oldValues[oldIndex];
      }
    }
  }

  private static int spreadBits(int hash) {
    hash *= 0x9E3779B9;
    return hash ^ hash >>> 15;
  }
}
