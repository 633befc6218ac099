package leadferry.routing;

import java.util.List;

/**
 * Weighted choice between pools by weighted rendezvous hashing (Schindelhauer and Schomaker,
 * "Weighted Distributed Hash Tables", SPAA 2005).
 *
 * <p>For each key, each pool draws an exponential variable whose rate is the weight of the pool;
 * the pool with the minimum value is chosen. Pools receive keys in proportion to their weights.
 * When weights change, a key moves only to a pool whose weight rose or from a pool whose weight
 * fell. A choice costs one logarithm per pool and does not depend on the order of the pools.
 */
public final class WeightedSplit<T> {
  /**
   * One pool of a split.
   *
   * @param weight the weight, 0 or more
   * @param target the target of the pool
   */
  public record Part<T>(String name, double weight, T target) {}

  private final List<Part<T>> parts;
  private final long[] salts;

  /**
   * Creates a split.
   *
   * @throws IllegalArgumentException if no part has a weight above 0
   */
  public WeightedSplit(List<Part<T>> parts) {
    this.parts = List.copyOf(parts);
    this.salts = new long[parts.size()];
    for (int i = 0; i < salts.length; i++) {
      salts[i] = hash(parts.get(i).name());
    }
    if (parts.stream().noneMatch(p -> p.weight() > 0)) {
      throw new IllegalArgumentException("parts: " + parts + " (expected: a weight above 0)");
    }
  }

  /**
   * Returns the target for a key.
   *
   * @param keyHash the {@link #hash} of the key
   */
  public T pick(long keyHash) {
    if (salts.length == 1) {
      return parts.get(0).target();
    }
    T best = null;
    double least = Double.POSITIVE_INFINITY;
    for (int i = 0; i < salts.length; i++) {
      double weight = parts.get(i).weight();
      if (weight > 0) {
        double uniform = ((mixBits(keyHash ^ salts[i]) >>> 11) + 0.5) * 0x1p-53;
        double score = -Math.log(uniform) / weight;
        if (score < least) {
          least = score;
          best = parts.get(i).target();
        }
      }
    }
    return best;
  }

  /** Returns the hash of a key, which is the same in every process and every version. */
  public static long hash(String key) {
    long hash = 0xcbf29ce484222325L;
    for (int i = 0; i < key.length(); i++) {
      hash = (hash ^ key.charAt(i)) * 0x100000001b3L;
    }
    return mixBits(hash);
  }

  private static long mixBits(long bits) {
    bits = (bits ^ bits >>> 30) * 0xbf58476d1ce4e5b9L;
    bits = (bits ^ bits >>> 27) * 0x94d049bb133111ebL;
    return bits ^ bits >>> 31;
  }
}
