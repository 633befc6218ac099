package corkproxy.http;

/**
 * Bounds of one listener.
 *
 * @param maxBody bytes of a request's body
 * @param slowMs how long a request may take to come, from its connection's opening where it is the
 *     first; guards against clients that say nothing, or never end what they say
 * @param idleLeastMs how long a connection on which nothing is open is kept at least
 * @param idleMostMs and at most
 * @param maxOpen requests that may be open in a pool at once
 * @param pipeline requests of a connection that are held at once, the one at hand among them; with 1 a
 *     client that sends ahead of an answer is turned away
 * @param uniqueIds whether an {@code X-Request-ID} may be open only once
 * @param daemon whether it is the daemon's: {@code Retry-After} is told in whole seconds (RFC 9110,
 *     10.2.3), HTTP/1.0 is spoken, and what is turned away has a line in the log
 */
public record FrontSettings(
    int maxBody,
    long slowMs,
    long idleLeastMs,
    long idleMostMs,
    int maxOpen,
    int pipeline,
    boolean uniqueIds,
    boolean daemon) {

  /** Those of the platform's clients. */
  public static FrontSettings platform(int maxOpen) {
    return new FrontSettings(64 * 1024, 2_100, 2_000, 6_000, maxOpen, 1, true, false);
  }
}
