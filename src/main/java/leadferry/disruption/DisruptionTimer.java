package leadferry.disruption;

/**
 * A timer of the replicated state. The leader of the replicas runs it and writes its expiry into
 * the log.
 */
sealed interface DisruptionTimer {
  /** Returns the stored name, which is never used for another timer. */
  String name();

  /** Expiry of a grant with a duration. */
  record GrantExpiry(String grantId) implements DisruptionTimer {
    @Override
    public String name() {
      return "permit:" + grantId;
    }
  }

  /** End of the stabilization time of a returned proxy that serves. */
  record Stabilization(String proxy, long sinceChange) implements DisruptionTimer {
    @Override
    public String name() {
      return "settle:" + proxy + ":" + sinceChange;
    }
  }

  /** End of the warm-up time of a returned endpoint. */
  record WarmUp(String endpoint, long sinceChange) implements DisruptionTimer {
    @Override
    public String name() {
      return "warm:" + endpoint + ":" + sinceChange;
    }
  }
}
