package leadferry.disruption;

/** A proxy or host with the labels by which budgets choose; a label that it lacks is "-". */
public record Target(
    TargetType kind, String name, String zone, String pod, String pool, String type) {
  /** What has no label of a kind carries this. */
  public static final String NONE = "-";

  /** The value of a label: {@code zone}, {@code pod}, {@code pool} or {@code kind}. */
  String label(String label) {
    return switch (label) {
      case "zone" -> zone;
      case "pod" -> pod;
      case "pool" -> pool;
      case "kind" -> type;
      default -> NONE;
    };
  }
}
