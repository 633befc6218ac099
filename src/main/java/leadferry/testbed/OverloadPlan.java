package leadferry.testbed;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Parameters of an overload test.
 *
 * @param targets addresses that clients connect to, in turn
 * @param clients number of usual clients
 * @param thinkMillis mean of the exponential pause of a usual client after a response
 * @param timeoutMillis longest wait for a response or a connection
 * @param crowd behaviour of the additional clients during the trigger
 * @param crowdSize number of additional clients, 0 to 20,000
 * @param reconnects whether all usual clients close their connection and connect again when the
 *     trigger begins
 * @param calmSeconds duration before the trigger
 * @param triggerSeconds duration of the trigger
 * @param afterSeconds duration after the trigger
 * @param path path of all requests
 * @param seed seed of the random numbers
 */
public record OverloadPlan(
    List<InetSocketAddress> targets,
    int clients,
    double thinkMillis,
    long timeoutMillis,
    Crowd crowd,
    int crowdSize,
    boolean reconnects,
    double calmSeconds,
    double triggerSeconds,
    double afterSeconds,
    String path,
    long seed) {

  /** Behaviour of a client of the crowd. */
  public enum Crowd {
    /** Behaves like a usual client. */
    USUAL,
    /** Behaves like a usual client, but repeats a rejected request without a pause. */
    RETRYING,
    /** Connects and sends nothing. */
    SILENT,
    /** Sends one byte of a head per second. */
    TRICKLING,
    /** Sends only the head of a request with a body. */
    HEADS,
    /** Sends requests as fast as possible and never reads responses. */
    DEAF;

    /**
     * Returns whether clients with this behaviour send complete requests and read the responses.
     */
    boolean sendsRequests() {
      return this == USUAL || this == RETRYING;
    }
  }

  private static final int MAX_CROWD = 20_000;

  /**
   * Validates the sizes.
   *
   * @throws IllegalArgumentException if there is no target or client, or the crowd is too large
   */
  public OverloadPlan {
    if (targets.isEmpty() || clients < 1 || crowdSize < 0 || crowdSize > MAX_CROWD) {
      throw new IllegalArgumentException(
          "overload plan: targets "
              + targets
              + ", clients "
              + clients
              + ", crowd "
              + crowdSize
              + " (expected: at least one target, at least one client, a crowd of 0 to "
              + MAX_CROWD
              + ")");
    }
    targets = List.copyOf(targets);
  }

  double seconds() {
    return calmSeconds + triggerSeconds + afterSeconds;
  }
}
