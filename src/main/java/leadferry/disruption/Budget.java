package leadferry.disruption;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Limit on how many targets of one type may be unavailable at the same time, as a Kubernetes
 * PodDisruptionBudget. The targets are counted as one group or separately for each value of a
 * label.
 *
 * @param name name of the budget, shown in refusals
 * @param targetType type of the targets that the budget counts
 * @param selector required value by label; empty selects all targets
 * @param groupBy label whose values are counted separately, or {@link #ALL}
 * @param maxUnavailable maximum number of unavailable targets; negative if the number is not
 *     bounded
 * @param maxUnavailableShare maximum share of the group (0 to 1) that may be unavailable, rounded
 *     down to whole targets; above 1 if the share is not bounded
 * @param minAvailable minimum number of available targets; 0 if the number is not bounded
 */
public record Budget(
    String name,
    TargetType targetType,
    Map<String, String> selector,
    String groupBy,
    int maxUnavailable,
    double maxUnavailableShare,
    int minAvailable) {
  /** Labels that {@code selector} and {@code groupBy} can name. */
  public static final Set<String> LABELS = Set.of("zone", "pod", "pool", "kind");

  /** Value of {@code groupBy} that counts all selected targets as one group. */
  public static final String ALL = "all";

  /** Value of {@code maxUnavailable} that sets no bound. */
  static final int NO_COUNT_BOUND = -1;

  /** Value of {@code maxUnavailableShare} that sets no bound. */
  static final double NO_SHARE_BOUND = 2;

  /**
   * Amount added to a share of a group before it is rounded down to whole targets. Guards against
   * an allowance of 28 for 0.29 of 100: the product of the doubles lies below 29.
   */
  private static final double ROUNDING_TOLERANCE = 1e-9;

  /** Copies the selector, which must not contain null keys or values. */
  public Budget {
    selector = Map.copyOf(selector);
  }

  /** Returns whether this budget counts the target. */
  boolean selects(Target target) {
    return target.type() == targetType
        && selector.entrySet().stream()
            .allMatch(label -> target.label(label.getKey()).equals(label.getValue()));
  }

  /** Returns whether this budget counts both targets in the same group. */
  boolean isSameGroup(Target first, Target second) {
    return groupBy.equals(ALL) || first.label(groupBy).equals(second.label(groupBy));
  }

  /** Returns how many targets of a group of {@code groupSize} may be unavailable, at least 0. */
  int allowedUnavailable(int groupSize) {
    int allowed = maxUnavailable < 0 ? groupSize : Math.min(groupSize, maxUnavailable);
    if (maxUnavailableShare <= 1) {
      int allowedByShare = (int) Math.floor(maxUnavailableShare * groupSize + ROUNDING_TOLERANCE);
      allowed = Math.min(allowed, allowedByShare);
    }
    return Math.max(0, Math.min(allowed, groupSize - minAvailable));
  }

  /** Writes the stored form as described at {@link BudgetCodec}. */
  public void write(ObjectNode json) {
    BudgetCodec.encode(this, json);
  }

  /**
   * Reads the stored form as described at {@link BudgetCodec}.
   *
   * @param errors receives one line for each invalid value
   * @return the budget, or null if there was an error
   */
  public static Budget read(JsonNode json, List<String> errors) {
    return BudgetCodec.decode(json, errors);
  }
}
