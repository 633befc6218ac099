package leadferry.testbed;

/** A guarantee that the fault test violates on purpose, to show that its checker detects it. */
public enum Sabotage {
  /** No violation. */
  NONE,
  /** Kills a proxy while as many as the budget allows are out of service. */
  PROXY_OUT,
  /** Runs a request at an upstream that is reported as drained. */
  DRAINED_HOST,
  /** Runs an unsafe request twice. */
  TWICE,
  /** Restarts a serving proxy, as a driver does that does not know that its lease has expired. */
  RESTART
}
