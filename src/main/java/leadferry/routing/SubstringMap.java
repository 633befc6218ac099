package leadferry.routing;

/**
 * An immutable-after-build hash table from strings to values that is asked with a region of a
 * string, so that a look-up of each prefix of a path allocates nothing. Open addressing, at most
 * half full; the hash is the polynomial of {@link String#hashCode}, which grows by one step a char.
 */
final class SubstringMap<V> {
  private String[] keys = new String[16];

  /** The keys' hashes beside each other: most keys that are not asked for need not be touched. */
  private int[] hashes = new int[16];

  private Object[] values = new Object[16];
  private int size;

  static int extendHash(int hash, char c) {
    return 31 * hash + c;
  }

  /** The value of the first {@code length} chars from {@code from}, whose hash is known. */
  V get(String s, int from, int length, int hash) {
    int mask = keys.length - 1;
    for (int i = spread(hash) & mask; keys[i] != null; i = i + 1 & mask) {
      if (hashes[i] == hash
          && keys[i].length() == length
          && s.regionMatches(from, keys[i], 0, length)) {
        return value(i);
      }
    }
    return null;
  }

  V get(String s) {
    return get(s, 0, s.length(), s.hashCode());
  }

  void put(String key, V value) {
    if (2 * (size + 1) > keys.length) {
      grow();
    }
    int mask = keys.length - 1;
    int i = spread(key.hashCode()) & mask;
    while (keys[i] != null && !keys[i].equals(key)) {
      i = i + 1 & mask;
    }
    size += keys[i] == null ? 1 : 0;
    keys[i] = key;
    hashes[i] = key.hashCode();
    values[i] = value;
  }

  boolean isEmpty() {
    return size == 0;
  }

  @SuppressWarnings("unchecked")
  private V value(int i) {
    return (V) values[i];
  }

  private void grow() {
    String[] oldKeys = keys;
    Object[] oldValues = values;
    keys = new String[2 * oldKeys.length];
    hashes = new int[2 * oldKeys.length];
    values = new Object[2 * oldKeys.length];
    int mask = keys.length - 1;
    for (int j = 0; j < oldKeys.length; j++) {
      if (oldKeys[j] != null) {
        int i = spread(oldKeys[j].hashCode()) & mask;
        while (keys[i] != null) {
          i = i + 1 & mask;
        }
        keys[i] = oldKeys[j];
        hashes[i] = oldKeys[j].hashCode();
        values[i] = oldValues[j];
      }
    }
  }

  private static int spread(int h) {
    h *= 0x9E3779B9;
    return h ^ h >>> 15;
  }
}
