package leadferry.testbed;

/** A promise that the fault test breaks itself, to show that its checker sees it. */
public enum Sabotage {
  /** Nothing is broken on purpose. */
  NONE,
  /** Kills a proxy while as many as may are out of service. */
  PROXY_OUT,
  /** Runs a request at an upstream that was said to be drained. */
  DRAINED_HOST,
  /** Runs an unsafe request twice. */
  TWICE,
  /** Restarts a proxy that serves, as a driver would that does not know that its lease is over. */
  RESTART
}
