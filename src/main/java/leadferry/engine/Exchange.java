package leadferry.engine;

import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import leadferry.loadbalancer.AttemptOutcome;
import leadferry.loadbalancer.LoadReport;
import leadferry.loadbalancer.RequestPolicy;
import leadferry.loadbalancer.Settings;

/**
 * Tracks one client request in one pool from its last byte on: its deadline, its attempts and its
 * state. Nothing else gives a final response, and an exchange gives exactly one.
 *
 * <p>Where the load balancer of this pool rejects the request, the exchange moves the request to
 * the next pool that {@link FallbackPools} returns. After an attempt that may have run, the request
 * moves only if its class is safe to repeat.
 */
public final class Exchange {
  private static final double NANOS_PER_MILLI = 1e6;

  final long id;
  final RequestPolicy policy;
  final double startedAt;
  private final Dispatcher dispatcher;
  private final ClientCall call;
  private double deadlineAt;
  private final FallbackPools fallback;
  private final ExchangeAttempts attempts = new ExchangeAttempts();
  private final List<Future<?>> timers = new ArrayList<>(2);
  private ExchangeState state = ExchangeState.WAITING;

  /** Whether a host may have run any of the attempts that have ended. */
  private boolean mayHaveRun;

  /** Creates an exchange; {@code deadlineAt} is a time (ms) on the dispatcher's clock. */
  Exchange(
      long id,
      Dispatcher dispatcher,
      ClientCall call,
      RequestPolicy policy,
      double deadlineAt,
      FallbackPools fallback) {
    this.id = id;
    this.policy = policy;
    this.dispatcher = dispatcher;
    this.startedAt = dispatcher.now();
    this.call = call;
    this.deadlineAt = deadlineAt;
    this.fallback = fallback;
    call.onExchangeStarted(this);
    schedule(deadlineAt - dispatcher.now(), this::onDeadline);
  }

  Dispatcher dispatcher() {
    return dispatcher;
  }

  /**
   * Sets the deadline to {@code budgetMillis} from now, because the request has now arrived in
   * full. The deadline that applied until now must be later than the new one.
   */
  public void restartDeadline(double budgetMillis) {
    deadlineAt = dispatcher.now() + budgetMillis;
    schedule(budgetMillis, this::onDeadline);
  }

  /**
   * Ends the request as one whose time is up: its last byte may have arrived long ago, although it
   * has not been read.
   */
  public void expire() {
    deadlineAt = dispatcher.now();
    onDeadline();
  }

  /**
   * Runs the task after {@code delayMillis}, unless the request and its attempts are over by then.
   */
  void schedule(double delayMillis, Runnable task) {
    long nanos = Math.max(0, (long) (delayMillis * NANOS_PER_MILLI));
    timers.add(dispatcher.loop().schedule(task, nanos, TimeUnit.NANOSECONDS));
  }

  /** Whether the final response has been claimed, or is no longer expected from this pool. */
  public boolean isResolved() {
    return state.isResolved();
  }

  /** Returns the time (ms) until the deadline, at least 1. */
  public long remainingMs() {
    return Math.max(1, (long) (deadlineAt - dispatcher.now()));
  }

  /** Returns the class with which the request arrived. */
  Settings.RequestClass requestClass() {
    return policy.requestClass();
  }

  /** Returns the id that the client gave the request, or null; the log shows it. */
  public String requestId() {
    return call.requestId();
  }

  /** Returns the log of the pool that holds the request. */
  public Log log() {
    return dispatcher.log();
  }

  /** Returns the name of the pool that holds the request, or null. */
  public String poolName() {
    return dispatcher.name();
  }

  /**
   * Returns the number of attempts so far in this pool, including those that were never started.
   */
  public int attemptCount() {
    return attempts.size();
  }

  /** Returns the host of the last attempt, or null where there is none. */
  public String lastServer() {
    return attempts.size() == 0 ? null : attempts.get(attempts.size() - 1).host.name;
  }

  /**
   * Whether a host may have run the request in this pool, or may still do so, and running it again
   * would have a second effect.
   */
  public boolean mayHaveHadEffect() {
    boolean isRepeatable = policy.requestClass().semantics() == Settings.Semantics.IDEMPOTENT;
    return !isRepeatable && (mayHaveRun || attempts.mayAnyHaveRun());
  }

  // --- attempts

  /**
   * Creates an attempt at the host. The attempt starts only if the request can be replayed and the
   * limits on attempts allow it; otherwise it ends as one that never ran.
   */
  void send(UpstreamHost host, double repeatWindowMillis) {
    Attempt attempt = call.createAttempt(this, host, attempts.size(), dispatcher.now());
    attempts.add(attempt);
    if (canStartLast()) {
      attempt.start(repeatWindowMillis);
    } else {
      attempt.endUnstarted();
    }
  }

  private boolean canStartLast() {
    return call.isReplayable()
        && attempts.size() <= dispatcher.maxAttempts(policy)
        && (attempts.size() == 1 || dispatcher.isRetryAllowed());
  }

  void cancel(int number) {
    if (!state.isResolved() && call.isIncomplete()) {
      // Guards against a host that is judged silent while it waits for the rest of the request.
      return;
    }
    attempts.get(number).cancel();
  }

  /** Processes the end of an attempt, {@code spentMillis} after it was sent. */
  void onAttemptEnded(
      Attempt attempt, AttemptOutcome outcome, double spentMillis, LoadReport report) {
    attempts.onAttemptEnded();
    mayHaveRun |= !outcome.hasNoEffect();
    if (state.isResolved() && !outcome.hasNoEffect() && outcome != AttemptOutcome.CANCELLED) {
      // The client received this attempt's response, or part of it.
      countResult(outcome == AttemptOutcome.OK);
    }
    // Guards a response that is being sent to the client: the end of another attempt must not
    // cancel it.
    boolean isRequestOver = state.isResolved() && !attempts.isAnyResponding();
    dispatcher.onAttemptOutcome(this, attempt, outcome, spentMillis, isRequestOver, report);
    removeIfDone();
  }

  /**
   * Processes the start of a response that is streamed to the client, {@code spentMillis} after the
   * attempt was sent.
   */
  void onResponseStarted(int number, double spentMillis) {
    dispatcher.onFirstByte(this, number, spentMillis);
    attempts.endUnsent();
  }

  // --- the one final response

  void reject(double retryAfterMillis) {
    if (!state.isResolved() && moveToNextPool()) {
      return;
    }
    if (claim()) {
      countResult(false);
      call.sendRejection(retryAfterMillis);
      removeIfDone();
    }
  }

  /** Fails the request, unless its final response has been claimed. */
  public void fail() {
    if (claim()) {
      countResult(false);
      call.sendFailure(dispatcher.now() >= deadlineAt);
      removeIfDone();
    }
  }

  /** Counts the request's result, unless it is already counted or another pool counts it. */
  private void countResult(boolean isSuccess) {
    if (state == ExchangeState.RESPONDED) {
      state = state.counted();
      dispatcher.onRequestEnded(this, isSuccess);
    }
  }

  /**
   * Claims the final response for the caller. Returns true for the first call only, and only while
   * a final response is expected.
   */
  public boolean claim() {
    boolean first = !state.isResolved();
    state = state.claimed();
    return first;
  }

  /**
   * Moves the request to the next pool; returns false where there is none or the deadline has
   * passed. Guards against an effect that happens twice (rule 2 of this package): the two pools
   * share no deduplication memory that would drop a repeated request. A request that may have run
   * in this pool may therefore be repeated in another pool only if its class is safe to repeat.
   */
  private boolean moveToNextPool() {
    FallbackPools.NextPool next = fallback == null ? null : fallback.next(mayHaveRun);
    double remainingMillis = deadlineAt - dispatcher.now();
    if (next == null || remainingMillis <= 0) {
      return false;
    }
    state = state.moved();
    removeIfDone();
    next.dispatcher().submit(call, next.arrival().withBudget(remainingMillis), next.fallback());
    return true;
  }

  // --- ends

  /** Processes a client that disconnected before it had received the whole response. */
  public void onClientDisconnect() {
    if (state.isResolved() && attempts.haveAllEnded()) {
      return;
    }
    boolean hadResponded = state.isResolved();
    state = state.clientDisconnected();
    dispatcher.onClientDisconnect(this);
    // The load balancer cancels attempts without a response, where the deployment permits it. This
    // loop cancels the other attempts. The response of a streaming attempt, or of a request that
    // failed on the client's side, has no recipient any more. The host of an incomplete request
    // would wait for the rest of it.
    for (int i = 0; (hadResponded || call.isIncomplete()) && i < attempts.size(); i++) {
      if (attempts.get(i).isOpen()) {
        attempts.get(i).cancel();
      }
    }
    removeIfDone();
  }

  /**
   * Fails a request whose client connection broke, unless its final response has been claimed, and
   * ends its attempts.
   */
  public void abandon() {
    fail();
    onClientDisconnect();
  }

  private void onDeadline() {
    startHeldResponse();
    for (int i = 0; i < attempts.size(); i++) {
      Attempt attempt = attempts.get(i);
      if (!attempt.isOpen()) {
        continue;
      }
      if (canOutliveDeadline(attempt)) {
        // Not added to the timers of the exchange: a long response would add one on each check.
        // The check has no effect once the attempt is over.
        dispatcher
            .loop()
            .schedule(this::onDeadline, Attempt.OVERDUE_GRACE_MILLIS, TimeUnit.MILLISECONDS);
      } else {
        attempt.onDeadline();
      }
    }
    if (!state.isResolved()) {
      fail(); // the load balancer still holds the request, but the deadline has passed
      dispatcher.onClientDisconnect(this);
    }
  }

  /**
   * Starts the response that the first of the attempts holds. Guards against a long response that
   * is given up because its length is unknown: such a response meets the deadline with its first
   * byte.
   */
  private void startHeldResponse() {
    for (int i = 0; i < attempts.size() && !state.isResolved(); i++) {
      Attempt attempt = attempts.get(i);
      if (attempt.isOpen() && call.isTimedToFirstByte()) {
        attempt.startHeldResponse();
      }
    }
  }

  private boolean canOutliveDeadline(Attempt attempt) {
    return attempt.isResponding()
        && call.isTimedToFirstByte()
        && attempt.canOutliveDeadline(dispatcher.now() - deadlineAt);
  }

  /**
   * Whether bytes of the attempt may be sent now. Checked again when the connection is ready,
   * because the conditions may have changed since the load balancer decided.
   */
  boolean canSend(Attempt attempt) {
    double now = dispatcher.now();
    if (state.isResolved() || !attempt.host.sendable || now >= deadlineAt) {
      return false;
    }
    if (attempts.isOutsideRepeatWindow(attempt, now)) {
      return false;
    }
    // Guards against a send for a client that disconnected in the loop iteration in which the
    // connection was established, where the disconnect is read after the connect event.
    if ((attempts.size() > 1 || attempt.hasWaited()) && call.hasClientDisconnected()) {
      onClientDisconnect();
      return false;
    }
    return true;
  }

  /**
   * Bounds the time for which partially written attempts may go on, once the write of a further
   * attempt has started. Guards against an effect that happens twice (rule 2 of this package): for
   * the host, an attempt begins when its last byte arrives. That byte, too, must therefore be sent
   * within the repeat window after each other attempt that may have run.
   */
  void onWriteStarted() {
    for (int i = 0; attempts.size() > 1 && i < attempts.size(); i++) {
      Attempt attempt = attempts.get(i);
      if (attempt.isPartiallyWritten()) {
        double remainingMillis = attempts.lastByteDeadline(attempt, deadlineAt) - dispatcher.now();
        schedule(remainingMillis, attempt::endIfPartiallyWritten);
      }
    }
  }

  private void removeIfDone() {
    if (state.isResolved() && !attempts.haveAllEnded()) {
      attempts.endUnsent();
    }
    if (state.isResolved() && attempts.haveAllEnded()) {
      for (int i = 0; i < timers.size(); i++) {
        timers.get(i).cancel(false);
      }
      timers.clear();
      if (state != ExchangeState.MOVED) {
        call.free();
      }
      dispatcher.removeExchange(this);
    }
  }
}
