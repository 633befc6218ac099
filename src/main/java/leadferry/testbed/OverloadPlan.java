package leadferry.testbed;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * The plan of an overload test; times in seconds, if not named otherwise.
 *
 * @param clients usual clients, over all targets in turn
 * @param thinkMillis mean of the exponential time that a usual client waits after a response
 * @param timeoutMillis how long a response, or a connection, is waited for
 * @param crowd what further clients do between begin and end of the trigger
 * @param crowdSize how many of them, 0 to 20,000
 * @param reconnects whether all usual clients close and connect at once as the trigger begins
 * @param calmSeconds seconds before the trigger
 * @param triggerSeconds seconds that it lasts
 * @param afterSeconds seconds after it
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

  /** What a client of the crowd does. */
  public enum Crowd {
    /** What a usual one does. */
    USUAL,
    /** The same, but asks again at once on any rejection. */
    RETRYING,
    /** Connects and says nothing. */
    SILENT,
    /** Sends a byte of a head each second. */
    TRICKLING,
    /** Sends the head of a request with a body, and stops. */
    HEADS,
    /** Asks as fast as it can and never reads. */
    DEAF;

    /** Whether it sends whole requests and reads their responses. */
    boolean sendsRequests() {
      return this == USUAL || this == RETRYING;
    }
  }

  private static final int MOST_CROWD = 20_000;

  /** Checks the sizes. */
  public OverloadPlan {
    if (targets.isEmpty() || clients < 1 || crowdSize < 0 || crowdSize > MOST_CROWD) {
      throw new IllegalArgumentException(
          "plan: "
              + targets
              + ", "
              + clients
              + ", "
              + crowdSize
              + " (expected: a target, clients, at most "
              + MOST_CROWD
              + " in a crowd)");
    }
    targets = List.copyOf(targets);
  }

  double seconds() {
    return calmSeconds + triggerSeconds + afterSeconds;
  }
}
