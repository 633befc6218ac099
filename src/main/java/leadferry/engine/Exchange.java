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
  final long id;
  final String className;
  final double takenAt;
  private final Dispatcher dispatcher;
  private final ClientCall call;
  private double deadlineAt;
  private final FallbackPools fallback;
  private final List<Attempt> attempts = new ArrayList<>(2);
  private final List<Future<?>> timers = new ArrayList<>(2);
  private int open;
  private boolean answered;
  private boolean mayHaveRun;
  private boolean moved;

  /** Its end has been counted, or is nobody's to count. */
  private boolean tallied;

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
    this.takenAt = dispatcher.now();
    this.call = call;
    this.deadlineAt = deadlineAt;
    this.fallback = fallback;
    call.carriedBy(this);
    later(deadlineAt - dispatcher.now(), this::timeUp);
  }

  Dispatcher dispatcher() {
    return dispatcher;
  }

  /**
   * The request has come whole, and its time counts from now on; it must have had more until then.
   */
  public void timed(double budget) {
    deadlineAt = dispatcher.now() + budget;
    later(budget, this::timeUp);
  }

  /** Runs something later unless the request and its attempts are all over by then. */
  void later(double delay, Runnable what) {
    long nanos = Math.max(0, (long) (delay * 1e6));
    timers.add(dispatcher.loop().schedule(what, nanos, TimeUnit.NANOSECONDS));
  }

  /** Whether the final answer has been given, or nobody waits for one. */
  public boolean answered() {
    return answered;
  }

  /** How long (ms) the client still waits; at least 1. */
  public long remainingMs() {
    return Math.max(1, (long) (deadlineAt - dispatcher.now()));
  }

  /** The request's id as its client knows it, or null; for the log. */
  String requestId() {
    return call.id();
  }

  /** The pool that has it, or null. */
  public String pool() {
    return dispatcher.name();
  }

  /** Attempts so far in this pool, withheld ones included. */
  public int attempts() {
    return attempts.size();
  }

  /** The server of the last of them, or null. */
  public String server() {
    return attempts.isEmpty() ? null : attempts.get(attempts.size() - 1).host.name;
  }

  // --- attempts

  void send(UpstreamHost host, double apart) {
    Attempt a = call.attempt(this, host, attempts.size(), dispatcher.now());
    attempts.add(a);
    open++;
    if (!call.replayable()
        || attempts.size() > dispatcher.maxAttempts()
        || (attempts.size() > 1 && !dispatcher.retryAllowed())) {
      a.withhold();
    } else {
      a.start(apart);
    }
  }

  void cancel(int number) {
    if (!answered && call.comes()) {
      // Guards against a host that is called silent while it waits for the rest of the request
      // itself.
      return;
    }
    attempts.get(number).cancel();
  }

  void attemptEnded(Attempt a, AttemptOutcome result, double spent, LoadReport report) {
    open--;
    mayHaveRun |= !result.neverRan();
    if (answered && !result.neverRan() && result != AttemptOutcome.CANCELLED) {
      tally(
          result
              == AttemptOutcome
                  .OK); // its answer is the one that the client has had, or has had a part of
    }
    dispatcher.outcome(this, a, result, spent, answered && !answering(), report);
    forgetIfDone();
  }

  /** The answer of this attempt goes to the client while it comes. */
  void answerBegun(int number, double spent) {
    dispatcher.firstByte(this, number, spent);
    withdrawUnsent();
  }

  /** Whether an answer is going to the client. Guards it against the end of another attempt. */
  private boolean answering() {
    for (int i = 0; i < attempts.size(); i++) {
      if (attempts.get(i).open() && attempts.get(i).answering()) {
        return true;
      }
    }
    return false;
  }

  // --- the one final answer

  void refuse(double coolDown) {
    if (!answered && move()) {
      return;
    }
    if (claim()) {
      tally(false);
      call.refused(coolDown);
      forgetIfDone();
    }
  }

  /** Fails the request unless it has been answered. */
  public void fail() {
    if (claim()) {
      tally(false);
      call.failed(dispatcher.now() >= deadlineAt);
      forgetIfDone();
    }
  }

  private void tally(boolean well) {
    if (!tallied) {
      tallied = true;
      dispatcher.ended(this, well);
    }
  }

  /** Whether the caller may give the final answer now; true once. */
  public boolean claim() {
    boolean first = !answered;
    answered = true;
    return first;
  }

  /**
   * Lets the next pool take the request. Guards rule 2: what may have run in this pool may be
   * repeated elsewhere only where its class is safe, since another pool is no group that drops its
   * repeats.
   */
  private boolean move() {
    FallbackPools.Next next = fallback == null ? null : fallback.next(mayHaveRun);
    double left = deadlineAt - dispatcher.now();
    if (next == null || left <= 0) {
      return false;
    }
    answered = true;
    tallied = true;
    moved = true;
    forgetIfDone();
    next.dispatcher().take(call, next.arrival().within(left), next.fallback());
    return true;
  }

  // --- ends

  /** The client has gone before its answer. */
  public void clientGone() {
    if (answered && open == 0) {
      return;
    }
    boolean began = answered;
    answered = true;
    tallied |= !began;
    dispatcher.clientGone(this);
    // What is out without an answer is the module's to call off, where the deployment lets it. One
    // whose
    // answer streams, or whose request has failed on its client's side, has nobody to go to; one
    // whose request
    // never comes whole would wait at its host for the rest.
    for (int i = 0; (began || call.comes()) && i < attempts.size(); i++) {
      if (attempts.get(i).open()) {
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
    clientGone();
  }

  private void timeUp() {
    for (int i = 0; i < attempts.size(); i++) {
      Attempt a = attempts.get(i);
      if (a.open() && !(a.answering() && call.timedToFirstByte() && a.goesOn())) {
        a.timeUp();
      } else if (a.open()) {
        // Not one of the timers that are kept: a long answer would add one to them each time.
        // Harmless once it is over.
        dispatcher.loop().schedule(this::timeUp, Attempt.STILL_MS, TimeUnit.MILLISECONDS);
      }
    }
    if (!answered) {
      fail(); // the module holds it still: the client's time is up all the same
      dispatcher.clientGone(this);
    }
  }

  /**
   * Whether bytes of the attempt may go out now. What was true at the decision may not be when its
   * connection is up.
   */
  boolean maySend(Attempt a) {
    double now = dispatcher.now();
    if (answered || !a.host.sendable || now >= deadlineAt) {
      return false;
    }
    // Guards rule 2: the window was judged when the wait began, and what was sent meanwhile was not
    // judged at all.
    for (int i = 0; i < attempts.size(); i++) {
      Attempt other = attempts.get(i);
      if (other != a && other.mayRun() && now - other.wroteAt() >= a.apart()) {
        return false;
      }
    }
    // Guards a client that left in the turn in which the connection came up, and was read after it.
    if ((attempts.size() > 1 || a.waited()) && call.abandoned()) {
      clientGone();
      return false;
    }
    return true;
  }

  /**
   * One more attempt has begun to go out. Guards rule 2: a host counts an attempt from its last
   * byte, and that one, too, has to be out while the class may be repeated after each other attempt
   * that may run.
   */
  void begun() {
    for (int i = 0; attempts.size() > 1 && i < attempts.size(); i++) {
      Attempt a = attempts.get(i);
      if (!a.unfinished()) {
        continue;
      }
      double left = deadlineAt - dispatcher.now();
      for (int k = 0; k < attempts.size(); k++) {
        Attempt other = attempts.get(k);
        left =
            k != i && other.mayRun()
                ? Math.min(left, other.wroteAt() + a.apart() - dispatcher.now())
                : left;
      }
      later(
          left,
          () -> {
            if (a.unfinished()) {
              a.moot();
            }
          });
    }
  }

  /**
   * Ends what is out for nobody and of which the last byte is not: it never ran. Guards rule 1
   * where the module may not cancel, and so does not: a connection that comes up late would carry
   * it on after its end.
   */
  private void withdrawUnsent() {
    for (int i = 0; i < attempts.size(); i++) {
      Attempt a = attempts.get(i);
      if (a.open() && !a.mayHaveRun()) {
        a.moot();
      }
    }
  }

  private void forgetIfDone() {
    if (answered && open > 0) {
      withdrawUnsent();
    }
    if (answered && open == 0) {
      for (int i = 0; i < timers.size(); i++) {
        timers.get(i).cancel(false);
      }
      timers.clear();
      if (!moved) {
        call.free();
      }
      dispatcher.forget(this);
    }
  }
}
