package leadferry.disruption;

/**
 * A proxy or an endpoint, with the labels by which budgets select.
 *
 * @param type type of the target
 * @param name name of the target, unique among targets of its type
 * @param zone label {@code zone}; like the other labels, {@link #NONE} if the target lacks it
 * @param pod label {@code pod}
 * @param pool label {@code pool}
 * @param kind label {@code kind}
 */
public record Target(
    TargetType type, String name, String zone, String pod, String pool, String kind) {
  /** Value of a label that a target lacks. */
  public static final String NONE = "-";

  /**
   * Returns the value of label {@code zone}, {@code pod}, {@code pool} or {@code kind}; {@link
   * #NONE} for other labels.
   */
  String label(String label) {
    return switch (label) {
      case "zone" -> zone;
      case "pod" -> pod;
      case "pool" -> pool;
      case "kind" -> kind;
      default -> NONE;
    };
  }
}
