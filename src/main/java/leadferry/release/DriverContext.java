package leadferry.release;

/**
 * Input of a driver's decision at one moment.
 *
 * @param release release whose lease the driver holds
 * @param hasValidLease whether the lease is valid now; commands start only with a valid lease
 * @param nowNanos time of a monotonic clock
 */
record DriverContext(ReleaseView release, boolean hasValidLease, long nowNanos) {}
