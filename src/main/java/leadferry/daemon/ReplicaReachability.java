package leadferry.daemon;

import java.util.Optional;
import leadferry.consensus.ReplicaClient.UnreachableException;
import leadferry.engine.Log;

/**
 * Calls replicas and logs when they become unreachable or reachable again. Confined to one thread.
 */
final class ReplicaReachability {
  /** Call to the leading replica. */
  interface Call<T> {
    T call() throws UnreachableException;
  }

  private final Log log;
  private boolean reachable = true;

  ReplicaReachability(Log log) {
    this.log = log;
  }

  /** Returns the response to a call, or empty if no replica responded. */
  <T> Optional<T> attempt(Call<T> call) {
    try {
      T response = call.call();
      updateReachable(true);
      return Optional.of(response);
    } catch (UnreachableException e) {
      updateReachable(false);
      return Optional.empty();
    }
  }

  private void updateReachable(boolean isReachable) {
    if (isReachable == reachable) {
      return;
    }
    reachable = isReachable;
    log.line(
        isReachable
            ? "replicas reachable again"
            : "no replica reachable: continuing with the last known view");
  }
}
