package leadferry.http;

import leadferry.engine.Dispatcher;
import leadferry.engine.FallbackPools;
import leadferry.loadbalancer.RequestArrival;

/**
 * What a {@link RequestFilter} makes of a request's head.
 *
 * @param status the status to answer with, or 0 to take the request
 * @param closesConnection whether that answer also ends the connection, whatever of the request is
 *     to come
 * @param retryAfterMillis advice that goes with the answer, or 0
 * @param target the pool that takes the request
 * @param arrival the request as it arrives there; its id is of no account
 * @param fallback what may take it up after that pool, or null
 * @param streaming whether bodies go on while they come
 * @param origin what the log tells of the request, or null
 * @param onDone run once when the request has its final answer, or is dropped before
 */
public record FilterResult(
    int status,
    boolean closesConnection,
    double retryAfterMillis,
    Dispatcher target,
    RequestArrival arrival,
    FallbackPools fallback,
    Streaming streaming,
    Origin origin,
    Runnable onDone) {
  /**
   * What a request is known by: its route, its class and the limit that refused it; each may be
   * null.
   */
  public record Origin(String route, String className, String limit) {}

  private static final Runnable NO_CALLBACK = () -> {};

  /** What can't be a request: an error, and the end of the connection. */
  public static FilterResult reject(int status) {
    return new FilterResult(status, true, 0, null, null, null, Streaming.NEVER, null, NO_CALLBACK);
  }

  /** A sound request that gets an answer of ours, after which its connection goes on. */
  public static FilterResult respond(int status, double retryAfterMs) {
    return respond(status, retryAfterMs, null);
  }

  /** The same, told in the log as of this origin. */
  public static FilterResult respond(int status, double retryAfterMs, Origin origin) {
    return new FilterResult(
        status, false, retryAfterMs, null, null, null, Streaming.NEVER, origin, NO_CALLBACK);
  }

  /** A request for this pool. */
  public static FilterResult forward(
      Dispatcher target,
      RequestArrival arrival,
      FallbackPools fallback,
      Streaming streaming,
      Origin origin,
      Runnable done) {
    return new FilterResult(
        0,
        false,
        0,
        target,
        arrival,
        fallback,
        streaming,
        origin,
        done == null ? NO_CALLBACK : done);
  }
}
