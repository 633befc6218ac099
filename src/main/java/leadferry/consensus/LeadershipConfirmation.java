package leadferry.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.apache.ratis.protocol.RaftClientReply;

/**
 * Asks a majority whether this replica leads: one round for all who wait when it begins. Invariant:
 * who is told "confirmed" had asked before the round began, and this replica led in one term
 * throughout the round. Thread-safe; listeners run on the library's threads.
 */
final class LeadershipConfirmation {
  /**
   * What a round came to.
   *
   * @param reason why this replica was not confirmed, for people; "" where it was
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

  /** Rounds after the first run on {@code executor}. */
  LeadershipConfirmation(RatisServer server, Executor executor) {
    this.server = server;
    this.executor = executor;
  }

  /** Tells {@code listener} what the next round comes to. */
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
    // Guards against a follower that confirms a lease: the library lets it read by its leader's
    // word, but nobody counts what is renewed there.
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
