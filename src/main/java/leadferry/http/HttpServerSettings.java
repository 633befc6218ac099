package leadferry.http;

/**
 * Bounds of one listener.
 *
 * @param maxHeldBodyBytes bytes of a request's body that are held; a longer one streams or is
 *     turned away
 * @param maxStreamedBodyBytes bytes of the body of a request that streams
 * @param receiveTimeoutMillis how long a request may take to come, from its connection's opening
 *     where it is the first; guards against clients that say nothing, or never end what they say
 * @param minBodyBytesPerSecond bytes a second at which a body that is held must come at least,
 *     besides {@code slowMs}; 0 gives a body no time of its own
 * @param minIdleMillis how long a connection on which nothing is open is kept at least
 * @param maxIdleMillis and at most
 * @param maxOpenRequests requests that may be open in a pool at once
 * @param maxPipelinedRequests requests of a connection that are held at once, the one at hand among
 *     them; with 1 a client that sends ahead of an answer is turned away
 * @param requiresUniqueIds whether an {@code X-Request-ID} may be open only once
 * @param daemon whether it is the daemon's: {@code Retry-After} is told in whole seconds (RFC 9110,
 *     10.2.3), HTTP/1.0 is spoken, and what is turned away has a line in the log
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

  /** The longest body of the platform's, with what its framing may add: 32 MB and 1%. */
  static final long MAX_PLATFORM_BODY_BYTES = 34_000_000;

  /** A body comes at 64 kB a second at least; half of that is waited for. */
  private static final int MIN_PLATFORM_BODY_BYTES_PER_SECOND = 32_000;

  /** Those of the platform's clients. */
  public static HttpServerSettings forPlatform(int maxOpen) {
    return new HttpServerSettings(
        64 * 1024,
        MAX_PLATFORM_BODY_BYTES,
        2_400,
        MIN_PLATFORM_BODY_BYTES_PER_SECOND,
        2_000,
        6_000,
        maxOpen,
        1,
        true,
        false);
  }
}
