package leadferry.testbed;

/**
 * A request of the load that is due or open.
 *
 * @param id its {@code X-Request-ID}
 * @param kind the number of its kind in the plan
 * @param dueNanos when it was due
 * @param deadlineNanos after this nobody waits for its response
 */
record LoadRequest(String id, int kind, long dueNanos, long deadlineNanos) {}
