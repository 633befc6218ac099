package leadferry.engine;

import leadferry.loadbalancer.RequestArrival;

/** Ordered pools that may take over a request that the earlier pools have rejected. */
@FunctionalInterface
public interface FallbackPools {
  /**
   * The next pool, the request as it arrives there, and the pools after it; {@code fallback} is
   * null where there are none.
   */
  record NextPool(Dispatcher dispatcher, RequestArrival arrival, FallbackPools fallback) {}

  /**
   * Returns the next pool, or null where there is none. {@code mayHaveRun} indicates whether an
   * attempt at the request may have run; a pool may then be returned only for a class that is safe
   * to repeat.
   */
  NextPool next(boolean mayHaveRun);
}
