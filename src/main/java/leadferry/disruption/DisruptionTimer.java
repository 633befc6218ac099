package leadferry.disruption;

/** Something that ends after a time; the leader of the replicas counts it and logs its end. */
sealed interface DisruptionTimer {
  /** The stored name, unique for ever. */
  String name();

  /** A grant with a duration expires. */
  record GrantExpiry(String grantId) implements DisruptionTimer {
    @Override
    public String name() {
      return "permit:" + grantId;
    }
  }

  /** A proxy that came back and serves has stabilized. */
  record Stabilization(String proxy, long sinceChange) implements DisruptionTimer {
    @Override
    public String name() {
      return "settle:" + proxy + ":" + sinceChange;
    }
  }

  /** A host that came back has warmed up. */
  record WarmUp(String endpoint, long sinceChange) implements DisruptionTimer {
    @Override
    public String name() {
      return "warm:" + endpoint + ":" + sinceChange;
    }
  }
}
