package leadferry.disruption;

/**
 * What an eviction was asked for.
 *
 * @param target the proxy or host that is taken out of service
 * @param requestedBy who asked, for people
 * @param reason why, for people
 * @param durationMillis how long it holds; 0 until it is undone
 * @param permanent whether a proxy ends for good: it is forgotten once its session ends by its own
 *     word
 */
record EvictionRequest(
    Target target, String requestedBy, String reason, long durationMillis, boolean permanent) {}
