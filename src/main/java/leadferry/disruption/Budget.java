package leadferry.disruption;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * How many targets of one type may be unavailable at the same time: the disruption budget of
 * Kubernetes, counted for a whole group or for each value of a label by itself.
 *
 * @param name name of the budget, as refusals show it
 * @param targetType whether it counts proxies or hosts
 * @param selector labels that a target must carry to count, by label; empty selects all
 * @param groupBy the label whose values are counted each by itself, or {@link #ALL}
 * @param maxUnavailable upper bound of unavailable targets; below 0 for no such bound
 * @param maxUnavailableShare upper bound as a share of the group (0 to 1), rounded down; above 1
 *     for no such bound
 * @param minAvailable lower bound of available targets; 0 for no such bound
 */
public record Budget(
    String name,
    TargetType targetType,
    Map<String, String> selector,
    String groupBy,
    int maxUnavailable,
    double maxUnavailableShare,
    int minAvailable) {
  /** The labels that {@code selector} and {@code groupBy} may name. */
  public static final Set<String> LABELS = Set.of("zone", "pod", "pool", "kind");

  /** The value of {@code groupBy} that counts all selected targets as one group. */
  public static final String ALL = "all";

  /** The value of {@code maxUnavailable} that sets no bound. */
  static final int NO_COUNT_BOUND = -1;

  /** The value of {@code maxUnavailableShare} that sets no bound. */
  static final double NO_SHARE_BOUND = 2;

  /** Guards against a share such as 0.29 of 100 being rounded down to 28. */
  private static final double ROUNDING_TOLERANCE = 1e-9;

  /** Copies the selector, which has no null keys or values. */
  public Budget {
    selector = Map.copyOf(selector);
  }

  /** Whether this budget counts that target. */
  boolean selects(Target target) {
    return target.type() == targetType
        && selector.entrySet().stream()
            .allMatch(label -> target.label(label.getKey()).equals(label.getValue()));
  }

  /** Whether both targets are counted in the same group. */
  boolean isSameGroup(Target first, Target second) {
    return groupBy.equals(ALL) || first.label(groupBy).equals(second.label(groupBy));
  }

  /** How many targets of a group of that size may be unavailable, at least 0. */
  int allowedUnavailable(int groupSize) {
    int allowed = maxUnavailable < 0 ? groupSize : Math.min(groupSize, maxUnavailable);
    if (maxUnavailableShare <= 1) {
      int allowedByShare = (int) Math.floor(maxUnavailableShare * groupSize + ROUNDING_TOLERANCE);
      allowed = Math.min(allowed, allowedByShare);
    }
    return Math.max(0, Math.min(allowed, groupSize - minAvailable));
  }

  /** Writes the stored form, see {@link BudgetCodec#encode}. */
  public void write(ObjectNode json) {
    BudgetCodec.encode(this, json);
  }

  /**
   * Reads the stored form, see {@link BudgetCodec#decode}.
   *
   * @param errors receives what is wrong with it
   * @return the budget, or null where there was an error
   */
  public static Budget read(JsonNode json, List<String> errors) {
    return BudgetCodec.decode(json, errors);
  }
}
