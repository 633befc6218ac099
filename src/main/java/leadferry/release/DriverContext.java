package leadferry.release;

/**
 * What a driver decides by at one moment.
 *
 * @param release the release, which is under its lease
 * @param leaseHolds whether its lease holds at this moment; commands begin only then
 * @param nowNanos of a monotonic clock
 */
record DriverContext(ReleaseView release, boolean leaseHolds, long nowNanos) {}
