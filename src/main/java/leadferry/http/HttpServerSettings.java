package leadferry.http;

/**
 * Bounds of one listener.
 *
 * @param maxBody bytes of a request's body that are held; a longer one streams or is turned away
 * @param maxStreamed bytes of the body of a request that streams
 * @param slowMs how long a request may take to come, from its connection's opening where it is the
 *     first; guards against clients that say nothing, or never end what they say
 * @param bodyRate bytes a second at which a body that is held must come at least, besides {@code
 *     slowMs}; 0 gives a body no time of its own
 * @param idleLeastMs how long a connection on which nothing is open is kept at least
 * @param idleMostMs and at most
 * @param maxOpen requests that may be open in a pool at once
 * @param pipeline requests of a connection that are held at once, the one at hand among them; with
 *     1 a client that sends ahead of an answer is turned away
 * @param uniqueIds whether an {@code X-Request-ID} may be open only once
 * @param daemon whether it is the daemon's: {@code Retry-After} is told in whole seconds (RFC 9110,
 *     10.2.3), HTTP/1.0 is spoken, and what is turned away has a line in the log
 */
public record HttpServerSettings(
    int maxBody,
    long maxStreamed,
    long slowMs,
    int bodyRate,
    long idleLeastMs,
    long idleMostMs,
    int maxOpen,
    int pipeline,
    boolean uniqueIds,
    boolean daemon) {

  /** The longest body of the platform's, with what its framing may add: 32 MB and 1%. */
  static final long LARGEST = 34_000_000;

  /** A body comes at 64 kB a second at least; half of that is waited for. */
  private static final int BODY_RATE = 32_000;

  /** Those of the platform's clients. */
  public static HttpServerSettings platform(int maxOpen) {
    return new HttpServerSettings(
        64 * 1024, LARGEST, 2_400, BODY_RATE, 2_000, 6_000, maxOpen, 1, true, false);
  }
}
