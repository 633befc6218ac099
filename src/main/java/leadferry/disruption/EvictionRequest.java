package leadferry.disruption;

/**
 * Request to take a target out of service.
 *
 * @param target proxy or endpoint to take out of service
 * @param requestedBy human-readable name of the requester
 * @param reason human-readable reason
 * @param durationMillis duration of the grant (ms); 0 for no expiry
 * @param permanent whether a proxy shuts down for good; the member is then removed once the proxy
 *     has closed its session itself
 */
record EvictionRequest(
    Target target, String requestedBy, String reason, long durationMillis, boolean permanent) {}
