package leadferry.loadbalancer;

/** Kind of an event from discovery. */
public enum EndpointListEvent {
  /** A list of changed entries only. */
  DELTA,
  /** A complete list. Endpoints that it does not contain are gone. */
  FULL,
  /** The last known complete list, which may be outdated. */
  CACHED,
  /** A call to discovery failed, or the watch broke. */
  FAILED
}
