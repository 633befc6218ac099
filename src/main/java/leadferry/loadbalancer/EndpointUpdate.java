package leadferry.loadbalancer;

/**
 * One entry of an endpoint list.
 *
 * @param id the number of the endpoint in its pool
 * @param zone the zone of the endpoint; null or empty if discovery does not state one
 * @param machineKind the machine type, used as the prior for the speed of the endpoint
 * @param cell the group of endpoints that share the deduplication memory
 * @param condition whether the endpoint may receive requests
 * @param capacityHint the capacity relative to other endpoints; not used in decisions
 * @param onlineSinceMillis the start time of the endpoint's process on the load balancer's clock,
 *     in milliseconds; 0 means that the process has been running for a long time
 */
public record EndpointUpdate(
    long id,
    String zone,
    String machineKind,
    long cell,
    Condition condition,
    double capacityHint,
    double onlineSinceMillis) {
  /** State of an endpoint as reported by discovery. */
  public enum Condition {
    READY,
    TERMINATING,
    GONE
  }
}
