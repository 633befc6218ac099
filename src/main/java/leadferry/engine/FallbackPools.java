package leadferry.engine;

import leadferry.loadbalancer.RequestArrival;

/** The pools that may take a request up, in order, where those before have refused it unsent. */
@FunctionalInterface
public interface FallbackPools {
  /** The next pool, the request as it arrives there, and what may follow it, or null. */
  record NextPool(Dispatcher dispatcher, RequestArrival arrival, FallbackPools fallback) {}

  /**
   * The next pool, or null where there is none. {@code mayHaveRun} tells that something sent for
   * the request may have run: only for a class that is safe to repeat may there be one then.
   */
  NextPool next(boolean mayHaveRun);
}
