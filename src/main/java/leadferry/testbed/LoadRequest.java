package leadferry.testbed;

/**
 * A request of the load that is waiting to be sent or in flight.
 *
 * @param id its {@code X-Request-ID}
 * @param kind index of its kind in the plan
 * @param dueNanos time at which it was due
 * @param deadlineNanos time after which it counts as unanswered
 */
record LoadRequest(String id, int kind, long dueNanos, long deadlineNanos) {}
