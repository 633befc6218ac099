package leadferry.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.apache.ratis.protocol.RaftClientReply;

/**
 * Confirms with a majority that this replica leads. One round of messages to the other replicas
 * serves all requests that wait when the round begins. Invariant: a request is confirmed only if it
 * was made before the round began and this replica led in one term throughout the round.
 * Thread-safe; listeners run on threads of the Raft library.
 */
final class LeadershipConfirmation {
  /**
   * The result of a round.
   *
   * @param reason why leadership was not confirmed, as text for operators; "" if it was confirmed
   */
  record Result(boolean confirmed, String reason) {
    static final Result CONFIRMED = new Result(true, "");

    static Result failed(String reason) {
      return new Result(false, reason);
    }
  }

  private final RatisServer server;
  private final Executor executor;
  private List<Consumer<Result>> waitingListeners = new ArrayList<>();
  private boolean roundInProgress;

  /**
   * Creates a confirmation for {@code server}. A round that starts at the end of another one runs
   * on {@code executor}.
   */
  LeadershipConfirmation(RatisServer server, Executor executor) {
    this.server = server;
    this.executor = executor;
  }

  /** Passes the result of the next round to {@code listener}. */
  void request(Consumer<Result> listener) {
    synchronized (this) {
      waitingListeners.add(listener);
      if (roundInProgress) {
        return;
      }
      roundInProgress = true;
    }
    startRound();
  }

  private void startRound() {
    List<Consumer<Result>> listeners;
    synchronized (this) {
      listeners = waitingListeners;
      waitingListeners = new ArrayList<>();
    }
    // Guards against a follower that confirms a lease: the library also serves linearizable reads
    // on followers, but only the leader's lease timers count a renewal.
    long term = server.leadershipTerm();
    CompletableFuture<RaftClientReply> read =
        term == RatisServer.NOT_LEADING
            ? CompletableFuture.failedFuture(new IllegalStateException("does not lead"))
            : server.sendEmptyRead();
    read.whenComplete(
        (reply, failure) -> {
          Result result = resultOf(term, RatisServer.failureOf(reply, failure));
          listeners.forEach(listener -> listener.accept(result));
          endRound();
        });
  }

  private Result resultOf(long term, Optional<String> failure) {
    if (failure.isPresent()) {
      return Result.failed(failure.get());
    }
    return server.leadershipTerm() == term ? Result.CONFIRMED : Result.failed("led no longer");
  }

  private void endRound() {
    boolean hasWaitingListeners;
    synchronized (this) {
      hasWaitingListeners = !waitingListeners.isEmpty();
      roundInProgress = hasWaitingListeners;
    }
    if (hasWaitingListeners) {
      executor.execute(this::startRound);
    }
  }
}
