package leadferry.routing;

import java.util.List;

/**
 * A weighted choice between pools that keeps a key on one side as weights move: weighted rendezvous
 * hashing (Schindelhauer and Schomaker, "Weighted Distributed Hash Tables", SPAA 2005). Each pool
 * has for each key an exponential variable of its weight's rate, and the least wins; so a key moves
 * only to a pool whose weight rose, or from one whose weight fell, and pools get keys in proportion
 * to their weights. Costs one logarithm a pool; the order of the pools is of no account.
 */
public final class WeightedSplit<T> {
  /** A pool of the split by name, its weight (0 or more), and what it leads to. */
  public record Part<T>(String name, double weight, T target) {}

  private final List<Part<T>> parts;
  private final long[] salts;

  /** Parts of which at least one has a weight. */
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

  /** The part for a key, by its {@link #hash}. */
  public T pick(long key) {
    if (salts.length == 1) {
      return parts.get(0).target();
    }
    T best = null;
    double least = Double.POSITIVE_INFINITY;
    for (int i = 0; i < salts.length; i++) {
      double weight = parts.get(i).weight();
      if (weight > 0) {
        double u = ((mix(key ^ salts[i]) >>> 11) + 0.5) * 0x1p-53;
        double score = -Math.log(u) / weight;
        if (score < least) {
          least = score;
          best = parts.get(i).target();
        }
      }
    }
    return best;
  }

  /** The number of a key; the same in every process and every version. */
  public static long hash(String key) {
    long h = 0xcbf29ce484222325L;
    for (int i = 0; i < key.length(); i++) {
      h = (h ^ key.charAt(i)) * 0x100000001b3L;
    }
    return mix(h);
  }

  private static long mix(long z) {
    z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
    z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
    return z ^ z >>> 31;
  }
}
