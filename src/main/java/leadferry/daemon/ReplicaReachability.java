package leadferry.daemon;

import java.util.Optional;
import leadferry.consensus.ReplicaClient.UnreachableException;
import leadferry.engine.Log;

/** Makes calls to replicas, and logs when they can be reached no longer or again. One thread's. */
final class ReplicaReachability {
  /** A call to the replica that leads. */
  interface Call<T> {
    T call() throws UnreachableException;
  }

  private final Log log;
  private boolean reachable = true;

  ReplicaReachability(Log log) {
    this.log = log;
  }

  /** The call's answer; empty where no replica gave one. */
  <T> Optional<T> attempt(Call<T> call) {
    try {
      T answer = call.call();
      updateReachable(true);
      return Optional.of(answer);
    } catch (UnreachableException e) {
      updateReachable(false);
      return Optional.empty();
    }
  }

  private void updateReachable(boolean now) {
    if (now == reachable) {
      return;
    }
    reachable = now;
    log.line(
        now
            ? "replicas can be reached again"
            : "no replica can be reached: going on by what is known");
  }
}
