package leadferry.disruption;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * How many of a kind may be out of service at once.
 *
 * @param name what refusals call it
 * @param of proxies or hosts
 * @param where labels that a subject must carry to count, by label; empty for all
 * @param by the label whose values are counted each by itself, or "all"
 * @param maxOut at most so many out; below 0 for no such bound
 * @param maxShare at most this share of a group, rounded down; above 1 for no such bound
 * @param minIn at least so many stay
 */
public record Budget(
    String name,
    TargetType of,
    Map<String, String> where,
    String by,
    int maxOut,
    double maxShare,
    int minIn) {
  /** The labels that {@code where} and {@code by} may name. */
  public static final Set<String> LABELS = Set.of("zone", "pod", "pool", "kind");

  public static final String ALL = "all";

  public Budget {
    where = Map.copyOf(where);
  }

  boolean covers(Target s) {
    return s.kind() == of
        && where.entrySet().stream().allMatch(e -> s.label(e.getKey()).equals(e.getValue()));
  }

  /** Whether both are counted together. */
  boolean together(Target a, Target b) {
    return by.equals(ALL) || a.label(by).equals(b.label(by));
  }

  /** How many of a group of that size may be out, never below 0. */
  int allowed(int size) {
    int most = maxOut < 0 ? size : Math.min(size, maxOut);
    if (maxShare <= 1) {
      most = Math.min(most, (int) Math.floor(maxShare * size + 1e-9));
    }
    return Math.max(0, Math.min(most, size - minIn));
  }

  /** The budget as the log holds it. */
  public void write(ObjectNode to) {
    to.put("name", name)
        .put("of", of.word())
        .put("by", by)
        .put("max_out", maxOut)
        .put("max_share", maxShare)
        .put("min_in", minIn);
    ObjectNode w = to.putObject("where");
    new TreeMap<>(where).forEach(w::put);
  }

  /**
   * Reads a budget; what is wrong with it goes to {@code faults}.
   *
   * @return the budget, or null where there was a fault
   */
  public static Budget read(JsonNode n, List<String> faults) {
    int before = faults.size();
    String name = n.path("name").asText("");
    if (!name.matches(DisruptionState.NAME)) {
      faults.add("budget name: '" + name + "' (expected: letters, digits, _, - and ., at most 64)");
    }
    TargetType of = TargetType.of(n.path("of").asText(""));
    if (of == null) {
      faults.add(
          "budget " + name + ", of: '" + n.path("of").asText("") + "' (expected: proxy or host)");
    }
    String by = n.path("by").asText(ALL);
    if (!by.equals(ALL) && !LABELS.contains(by)) {
      faults.add("budget " + name + ", by: '" + by + "' (expected: all, zone, pod, pool or kind)");
    }
    Map<String, String> where = new TreeMap<>();
    for (String label :
        new ArrayList<>(n.path("where").properties().stream().map(Map.Entry::getKey).toList())) {
      if (!LABELS.contains(label)) {
        faults.add(
            "budget " + name + ", where: '" + label + "' (expected: zone, pod, pool or kind)");
      }
      where.put(label, n.path("where").path(label).asText());
    }
    int maxOut = n.path("max_out").asInt(-1);
    double maxShare = n.path("max_share").asDouble(2);
    int minIn = n.path("min_in").asInt(0);
    if (maxOut < 0 && maxShare > 1 && minIn <= 0) {
      faults.add("budget " + name + ": no bound (expected: max_out, max_share or min_in)");
    }
    if (maxShare < 0 || minIn < 0) {
      faults.add("budget " + name + ": below 0 (expected: bounds of 0 or more)");
    }
    return faults.size() > before ? null : new Budget(name, of, where, by, maxOut, maxShare, minIn);
  }
}
