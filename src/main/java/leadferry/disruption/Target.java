package leadferry.disruption;

/**
 * A proxy or host with the labels by which budgets select.
 *
 * @param type whether it is a proxy or a host
 * @param name unique among targets of its kind
 * @param zone label {@code zone}, {@link #NONE} where it has none; so the labels below
 * @param pod label {@code pod}
 * @param pool label {@code pool}
 * @param kind label {@code kind}
 */
public record Target(
    TargetType type, String name, String zone, String pod, String pool, String kind) {
  /** The value of a label that a target lacks. */
  public static final String NONE = "-";

  /** The value of {@code zone}, {@code pod}, {@code pool} or {@code kind}; NONE of others. */
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
