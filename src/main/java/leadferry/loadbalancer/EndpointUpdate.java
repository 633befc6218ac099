package leadferry.loadbalancer;

/** One entry of a host list; {@code onlineSince} 0 means long ago. */
public record EndpointUpdate(
    long id,
    String zone,
    String kind,
    long cell,
    Condition condition,
    double capacityHint,
    double onlineSince) {
  /** What discovery says of the host. */
  public enum Condition {
    READY,
    TERMINATING,
    GONE
  }
}
