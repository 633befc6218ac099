package leadferry.engine;

import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import leadferry.loadbalancer.AttemptOutcome;
import leadferry.loadbalancer.LoadReport;

/**
 * One client request in one pool, from its last byte on. The only place that gives a final answer,
 * and it gives exactly one; holds the deadline and the attempts.
 *
 * <p>Where a further pool may take the request up, a refusal by this pool's module moves it there
 * in place of answering, if {@link FallbackPools} names one and nothing that was sent may have run.
 */
public final class Exchange {
  private static final double NANOS_PER_MILLI = 1e6;

  final long id;
  final String className;
  final double startedAt;
  private final Dispatcher dispatcher;
  private final ClientCall call;
  private double deadlineAt;
  private final FallbackPools fallback;
  private final ExchangeAttempts attempts = new ExchangeAttempts();
  private final List<Future<?>> timers = new ArrayList<>(2);
  private ExchangeState state = ExchangeState.WAITING;

  /** Whether an attempt has ended that may have run. */
  private boolean mayHaveRun;

  /** {@code deadlineAt} is on the dispatcher's clock. */
  Exchange(
      long id,
      Dispatcher dispatcher,
      ClientCall call,
      String className,
      double deadlineAt,
      FallbackPools fallback) {
    this.id = id;
    this.className = className;
    this.dispatcher = dispatcher;
    this.startedAt = dispatcher.now();
    this.call = call;
    this.deadlineAt = deadlineAt;
    this.fallback = fallback;
    call.onExchangeStarted(this);
    schedule(deadlineAt - dispatcher.now(), this::timeUp);
  }

  Dispatcher dispatcher() {
    return dispatcher;
  }

  /**
   * The request has come whole, and its time (ms) counts from now on; it must have had more until
   * then.
   */
  public void restartDeadline(double budgetMillis) {
    deadlineAt = dispatcher.now() + budgetMillis;
    schedule(budgetMillis, this::timeUp);
  }

  /** Runs something so much later (ms) unless the request and its attempts are all over by then. */
  void schedule(double delayMillis, Runnable task) {
    long nanos = Math.max(0, (long) (delayMillis * NANOS_PER_MILLI));
    timers.add(dispatcher.loop().schedule(task, nanos, TimeUnit.NANOSECONDS));
  }

  /** Whether the final answer has been given, or nobody waits for one. */
  public boolean isResolved() {
    return state.isResolved();
  }

  /** How long (ms) the client still waits; at least 1. */
  public long remainingMs() {
    return Math.max(1, (long) (deadlineAt - dispatcher.now()));
  }

  /** The request's id as its client knows it, or null; for the log. */
  String requestId() {
    return call.requestId();
  }

  /** The pool that has it, or null. */
  public String poolName() {
    return dispatcher.name();
  }

  /** Attempts so far in this pool, withheld ones included. */
  public int attemptCount() {
    return attempts.size();
  }

  /** The server of the last of them, or null. */
  public String lastServer() {
    return attempts.size() == 0 ? null : attempts.get(attempts.size() - 1).host.name;
  }

  // --- attempts

  /** Makes a further attempt, and starts it where one may still be made. */
  void send(UpstreamHost host, double apart) {
    Attempt attempt = call.createAttempt(this, host, attempts.size(), dispatcher.now());
    attempts.add(attempt);
    if (lastMayStart()) {
      attempt.start(apart);
    } else {
      attempt.endUnstarted();
    }
  }

  private boolean lastMayStart() {
    return call.isReplayable()
        && attempts.size() <= dispatcher.maxAttempts()
        && (attempts.size() == 1 || dispatcher.isRetryAllowed());
  }

  void cancel(int number) {
    if (!state.isResolved() && call.isIncomplete()) {
      // Guards against a host that is called silent while it waits for the rest of the request
      // itself.
      return;
    }
    attempts.get(number).cancel();
  }

  /** An attempt has ended with this outcome, {@code spent} ms after it was sent. */
  void onAttemptEnded(Attempt attempt, AttemptOutcome outcome, double spent, LoadReport report) {
    attempts.onAttemptEnded();
    mayHaveRun |= !outcome.hasNoEffect();
    if (state.isResolved() && !outcome.hasNoEffect() && outcome != AttemptOutcome.CANCELLED) {
      // Its response is the one that the client has had, or has had a part of.
      count(outcome == AttemptOutcome.OK);
    }
    // Guards a response that is going to the client against the end of another attempt.
    boolean over = state.isResolved() && !attempts.isAnyResponding();
    dispatcher.onAttemptOutcome(this, attempt, outcome, spent, over, report);
    forgetIfDone();
  }

  /** The answer of this attempt goes to the client while it comes. */
  void onResponseStarted(int number, double spent) {
    dispatcher.onFirstByte(this, number, spent);
    attempts.endUnsent();
  }

  // --- the one final answer

  void reject(double coolDown) {
    if (!state.isResolved() && move()) {
      return;
    }
    if (claim()) {
      count(false);
      call.sendRejection(coolDown);
      forgetIfDone();
    }
  }

  /** Fails the request unless it has been answered. */
  public void fail() {
    if (claim()) {
      count(false);
      call.sendFailure(dispatcher.now() >= deadlineAt);
      forgetIfDone();
    }
  }

  /** Counts how the request ended, unless that is counted, or is nobody's to count. */
  private void count(boolean well) {
    if (state == ExchangeState.RESPONDED) {
      state = state.counted();
      dispatcher.onRequestEnded(this, well);
    }
  }

  /** Whether the caller may give the final answer now; true once. */
  public boolean claim() {
    boolean first = !state.isResolved();
    state = state.claimed();
    return first;
  }

  /**
   * Lets the next pool take the request. Guards rule 2: what may have run in this pool may be
   * repeated elsewhere only where its class is safe, since another pool is no group that drops its
   * repeats.
   */
  private boolean move() {
    FallbackPools.NextPool next = fallback == null ? null : fallback.next(mayHaveRun);
    double left = deadlineAt - dispatcher.now();
    if (next == null || left <= 0) {
      return false;
    }
    state = state.moved();
    forgetIfDone();
    next.dispatcher().submit(call, next.arrival().withBudget(left), next.fallback());
    return true;
  }

  // --- ends

  /** The client has gone before its answer. */
  public void onClientDisconnect() {
    if (state.isResolved() && attempts.haveAllEnded()) {
      return;
    }
    boolean began = state.isResolved();
    state = state.clientDisconnected();
    dispatcher.onClientDisconnect(this);
    // What is out without a response is the module's to call off, where the deployment lets it. One
    // whose response streams, or whose request has failed on its client's side, has nobody to go
    // to; one whose request never comes whole would wait at its host for the rest.
    for (int i = 0; (began || call.isIncomplete()) && i < attempts.size(); i++) {
      if (attempts.get(i).isOpen()) {
        attempts.get(i).cancel();
      }
    }
    forgetIfDone();
  }

  /**
   * The client's side of the request broke: fails it, unless it is answered, and ends what is out
   * for it.
   */
  public void abandon() {
    fail();
    onClientDisconnect();
  }

  private void timeUp() {
    for (int i = 0; i < attempts.size(); i++) {
      Attempt attempt = attempts.get(i);
      if (!attempt.isOpen()) {
        continue;
      }
      if (goesOnPastDeadline(attempt)) {
        // Not one of the timers that are kept: a long response would add one to them each time.
        // Harmless once it is over.
        dispatcher
            .loop()
            .schedule(this::timeUp, Attempt.STREAM_STALL_MILLIS, TimeUnit.MILLISECONDS);
      } else {
        attempt.onDeadline();
      }
    }
    if (!state.isResolved()) {
      fail(); // the module holds it still: the client's time is up all the same
      dispatcher.onClientDisconnect(this);
    }
  }

  private boolean goesOnPastDeadline(Attempt attempt) {
    return attempt.isResponding() && call.isTimedToFirstByte() && attempt.canOutliveDeadline();
  }

  /**
   * Whether bytes of the attempt may go out now. What was true at the decision may not be when its
   * connection is up.
   */
  boolean canSend(Attempt attempt) {
    double now = dispatcher.now();
    if (state.isResolved() || !attempt.host.sendable || now >= deadlineAt) {
      return false;
    }
    if (attempts.isOutsideRepeatWindow(attempt, now)) {
      return false;
    }
    // Guards a client that left in the turn in which the connection came up, and was read after it.
    if ((attempts.size() > 1 || attempt.hasWaited()) && call.hasClientDisconnected()) {
      onClientDisconnect();
      return false;
    }
    return true;
  }

  /**
   * One more attempt has begun to go out. Guards rule 2: a host counts an attempt from its last
   * byte, and that one, too, has to be out while the class may be repeated after each other attempt
   * that may run.
   */
  void onWriteStarted() {
    for (int i = 0; attempts.size() > 1 && i < attempts.size(); i++) {
      Attempt attempt = attempts.get(i);
      if (attempt.isPartiallyWritten()) {
        double left = attempts.lastByteDeadline(attempt, deadlineAt) - dispatcher.now();
        schedule(left, attempt::endIfPartiallyWritten);
      }
    }
  }

  private void forgetIfDone() {
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
