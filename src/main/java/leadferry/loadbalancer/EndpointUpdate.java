package leadferry.loadbalancer;

/**
 * One entry of an endpoint list.
 *
 * @param id the number of the endpoint in its pool
 * @param zone where it runs; null or empty where that is not told
 * @param machineKind its kind of machine, as a prior for its speed
 * @param cell the group of endpoints that share the memory of deduplicated requests
 * @param condition whether it may get requests
 * @param capacityHint its capacity against others, not used in decisions
 * @param onlineSinceMillis when its process came up, by the module's clock in milliseconds; 0 means
 *     long ago
 */
public record EndpointUpdate(
    long id,
    String zone,
    String machineKind,
    long cell,
    Condition condition,
    double capacityHint,
    double onlineSinceMillis) {
  /** What discovery says of the endpoint. */
  public enum Condition {
    READY,
    TERMINATING,
    GONE
  }
}
