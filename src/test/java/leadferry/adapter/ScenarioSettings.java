package leadferry.adapter;

/** Settings of the simulated deployment as JSON of the wire format. */
final class ScenarioSettings {
  private ScenarioSettings() {}

  /** Returns the settings of the instance with this index in the tier. They depend on the seed. */
  static String json(
      long seed,
      int instances,
      int position,
      boolean shouldWatchDiscovery,
      boolean canRunParallelAttempts) {
    return "{\"balancers\":"
        + instances
        + ",\"position\":"
        + position
        + ",\"zone\":\"z"
        + (1 + position % 2)
        + "\","
        + "\"membershipMode\":\""
        + (shouldWatchDiscovery ? "subscribe" : "automatic")
        + "\",\"overShareWorth\":0.1,"
        + "\"worthBy\":\""
        + (seed % 2 == 0 ? "request" : "work")
        + "\","
        + "\"tenants\":[{\"name\":\"t1\",\"quotaPerS\":100,\"portion\":0.7},{\"name\":\"t2\",\"quotaPerS\":40,\"portion\":0.3}],"
        + "\"classes\":["
        + "{\"name\":\"read\",\"aim\":100,\"deadline\":400,\"semantics\":\"idempotent\",\"value\":1,\"lateWorth\":0.2},"
        + "{\"name\":\"log\",\"aim\":150,\"deadline\":600,\"semantics\":\"deduplicated\",\"keyScope\":\"cell\",\"repeatWindow\":300,\"value\":5},"
        + "{\"name\":\"zonal\",\"aim\":150,\"deadline\":600,\"semantics\":\"deduplicated\",\"keyScope\":\"zone\",\"repeatWindow\":400,\"value\":3},"
        + "{\"name\":\"key\",\"aim\":150,\"deadline\":600,\"semantics\":\"deduplicated\",\"keyScope\":\"all\",\"repeatWindow\":400,\"value\":2},"
        + "{\"name\":\"claim\",\"aim\":200,\"deadline\":500,\"semantics\":\"at_most_once\",\"value\":8},"
        + "{\"name\":\"stream\",\"aim\":100,\"deadline\":400,\"semantics\":\"idempotent\",\"streamed\":true,\"value\":1}],"
        + "\"limits\":{\"maxAttempts\":4,\"parallelTries\":"
        + canRunParallelAttempts
        + ",\"cancel\":"
        + (seed % 5 != 0)
        + ",\"retryAfter\":true,\"maxRetryAfter\":1200,\"peers\":true,\"streamsPerConn\":1},"
        + "\"rules\":{\"cold\":2000,\"startCapacity\":0.3,\"fall\":500,\"fallMultiple\":3,\"askWithin\":4000}}";
  }
}
