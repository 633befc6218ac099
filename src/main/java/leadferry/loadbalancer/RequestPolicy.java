package leadferry.loadbalancer;

import leadferry.loadbalancer.Settings.RequestClass;

/**
 * What the settings allow for one request: the class that it arrived with, and the limits on its
 * attempts. A request keeps its policy until it ends, so that later settings, in which the same
 * class name may mean something else, don't change what may be done with it.
 *
 * @param requestClass the class of the request
 * @param maxAttempts the maximum number of attempts
 * @param canRunParallelAttempts whether two attempts may be open at the same time
 */
public record RequestPolicy(
    RequestClass requestClass, int maxAttempts, boolean canRunParallelAttempts) {

  /** Returns the policy of a class under these limits. */
  public static RequestPolicy of(RequestClass requestClass, Settings.Limits limits) {
    return new RequestPolicy(requestClass, limits.maxAttempts(), limits.canRunParallelAttempts());
  }

  /** Returns a policy that allows only what both this policy and the other one allow. */
  public RequestPolicy strictest(RequestPolicy other) {
    return new RequestPolicy(
        requestClass.strictest(other.requestClass),
        Math.min(maxAttempts, other.maxAttempts),
        canRunParallelAttempts && other.canRunParallelAttempts);
  }

  /** Returns the maximum number of attempts that both this policy and {@code limits} allow. */
  public int maxAttempts(Settings.Limits limits) {
    return Math.min(maxAttempts, limits.maxAttempts());
  }

  /** Whether both this policy and {@code limits} allow two open attempts at the same time. */
  boolean canRunParallelAttempts(Settings.Limits limits) {
    return canRunParallelAttempts && limits.canRunParallelAttempts();
  }
}
