package leadferry.http;

/**
 * Limits of one listener.
 *
 * @param maxHeldBodyBytes maximum bytes of a request body that are held in memory; a longer body is
 *     streamed or rejected
 * @param maxStreamedBodyBytes maximum size in bytes of a streamed request body
 * @param receiveTimeoutMillis time in which a request must arrive; for the first request of a
 *     connection it counts from the opening of the connection; guards against clients that send
 *     nothing or never complete a request
 * @param minBodyBytesPerSecond minimum rate of a held body; the body's size at this rate is added
 *     to {@code receiveTimeoutMillis}; 0 adds nothing
 * @param minIdleMillis time for which an idle connection can't be evicted
 * @param maxIdleMillis time after which an idle connection is closed
 * @param maxOpenRequests maximum number of open requests per pool
 * @param maxPipelinedRequests requests of one connection that are held at the same time, including
 *     the current one; with 1 the connection of a client that pipelines requests is closed after
 *     the current response, or the request is rejected
 * @param requiresUniqueIds whether each {@code X-Request-ID} may have only one open request
 * @param daemon whether the listener belongs to the daemon: {@code Retry-After} is in whole seconds
 *     (RFC 9110, 10.2.3), HTTP/1.0 is accepted, no connection is checked for a disconnect between
 *     requests if the check could consume input, and no idle connection is closed while clients are
 *     shed
 */
public record HttpServerSettings(
    int maxHeldBodyBytes,
    long maxStreamedBodyBytes,
    long receiveTimeoutMillis,
    int minBodyBytesPerSecond,
    long minIdleMillis,
    long maxIdleMillis,
    int maxOpenRequests,
    int maxPipelinedRequests,
    boolean requiresUniqueIds,
    boolean daemon) {

  /** Maximum body size in the platform's protocol: 32 MB, plus 1% for framing. */
  static final long MAX_PLATFORM_BODY_BYTES = 34_000_000;

  /**
   * Minimum body rate of the platform's clients. Clients send at least 64 kB/s; the server accepts
   * half of that.
   */
  private static final int MIN_PLATFORM_BODY_BYTES_PER_SECOND = 32_000;

  /** Returns the limits for the platform's clients. */
  public static HttpServerSettings forPlatform(int maxOpenRequests) {
    return new HttpServerSettings(
        64 * 1024,
        MAX_PLATFORM_BODY_BYTES,
        2_400,
        MIN_PLATFORM_BODY_BYTES_PER_SECOND,
        2_000,
        6_000,
        maxOpenRequests,
        1,
        true,
        false);
  }
}
