package leadferry.http;

import leadferry.engine.Dispatcher;
import leadferry.engine.FallbackPools;
import leadferry.loadbalancer.RequestArrival;

/**
 * Result of evaluating a request head with a {@link RequestFilter}.
 *
 * @param status status of the local response, or 0 to forward the request
 * @param closesConnection whether the local response closes the connection without reading the
 *     remaining input of the request
 * @param retryAfterMillis delay that the local response advises in {@code Retry-After}, or 0
 * @param target pool that receives the request
 * @param arrival the request as it arrives at the pool; its id is ignored
 * @param fallback pools to try after {@code target}, or null
 * @param streaming whether bodies are streamed
 * @param origin log fields of the request, or null
 * @param onDone runs once, when the request has its final response or is dropped
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
  /** Route and class of a request and the limit that rejected it; each may be null. */
  public record Origin(String route, String className, String limit) {}

  private static final Runnable NO_CALLBACK = () -> {};

  /** Returns a result that rejects an invalid request and closes the connection. */
  public static FilterResult reject(int status) {
    return new FilterResult(status, true, 0, null, null, null, Streaming.NEVER, null, NO_CALLBACK);
  }

  /** Returns a result that sends a local response to a valid request and keeps the connection. */
  public static FilterResult respond(int status, double retryAfterMillis) {
    return respond(status, retryAfterMillis, null);
  }

  /** Same as {@link #respond(int, double)}; the response is logged with this origin. */
  public static FilterResult respond(int status, double retryAfterMillis, Origin origin) {
    return new FilterResult(
        status, false, retryAfterMillis, null, null, null, Streaming.NEVER, origin, NO_CALLBACK);
  }

  /** Whether this result answers a health check with this status. */
  boolean isHealthCheck(int responseStatus) {
    return status == responseStatus && origin == null && !closesConnection;
  }

  /** Returns a result that forwards the request to a pool. */
  public static FilterResult forward(
      Dispatcher target,
      RequestArrival arrival,
      FallbackPools fallback,
      Streaming streaming,
      Origin origin,
      Runnable onDone) {
    return new FilterResult(
        0,
        false,
        0,
        target,
        arrival,
        fallback,
        streaming,
        origin,
        onDone == null ? NO_CALLBACK : onDone);
  }
}
