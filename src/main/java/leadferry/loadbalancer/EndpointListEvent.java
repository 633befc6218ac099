package leadferry.loadbalancer;

/** What kind of list discovery has sent, if any. */
public enum EndpointListEvent {
  /** Only the changed entries. */
  DELTA,
  /** The complete list; endpoints not in it are gone. */
  FULL,
  /** The complete list as last known, possibly old. */
  CACHED,
  /** A call to discovery failed, or the watch broke. */
  FAILED
}
