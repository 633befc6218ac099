package leadferry.loadbalancer;

import java.util.ArrayList;
import java.util.List;

/** Requests and their attempts: what has run, what may be repeated, and the retry budget. */
final class Attempts {
  /** One send of a request to a host. */
  static final class Attempt {
    final Call call;
    final int number;
    final EndpointTable.Host host;
    final String zone;
    final long cell;
    final double sentAt;
    int ownBefore;
    boolean open = true;
    boolean counted = true;
    boolean mayHaveRun = true;
    boolean cancelled;

    Attempt(Call call, int number, EndpointTable.Host host, double sentAt) {
      this.call = call;
      this.number = number;
      this.host = host;
      this.zone = host.zone;
      this.cell = host.cell;
      this.sentAt = sentAt;
    }
  }

  /** A client's request while it is held or has attempts out. */
  static final class Call {
    final long id;
    final ClassState type;
    final double arrivedAt;
    final double deadline;
    final int maxAttempts;
    double standing = 1;
    final List<Attempt> attempts = new ArrayList<>(2);
    int open;
    boolean ended;
    boolean streaming;
    Attempt answering;

    Call(long id, ClassState type, double arrivedAt, double budget, Settings.Limits limits) {
      this.id = id;
      this.type = type;
      this.arrivedAt = arrivedAt;
      this.deadline = arrivedAt + budget;
      this.maxAttempts = limits.maxAttempts();
    }

    boolean tried(EndpointTable.Host h) {
      return attempts.stream().anyMatch(a -> a.host == h);
    }
  }

  /** A class of requests with its observed answer time. */
  static final class ClassState {
    final Settings.RequestClass rules;
    double meanAnswer;
    double deviation;
    int samples;

    /** {@code before} is the class of that name under the settings before, or null. */
    ClassState(Settings.RequestClass rules, ClassState before) {
      this.rules = rules;
      this.meanAnswer = before == null ? rules.aim() / 4 : before.meanAnswer; // until answers come
      this.deviation = before == null ? meanAnswer : before.deviation;
      this.samples = before == null ? 0 : before.samples;
    }

    void answered(double spent) {
      samples++;
      double alpha = Math.max(1.0 / (samples + 4), Tuning.LATENCY_ALPHA / 2);
      deviation += alpha * (Math.abs(spent - meanAnswer) - deviation);
      meanAnswer += alpha * (spent - meanAnswer);
    }

    /** Past this an attempt is overdue: repeating a merely long one would waste its work. */
    double overdueAfter() {
      return meanAnswer + Tuning.OVERDUE_DEVIATIONS * deviation;
    }

    /** Silence of a host past this is held against it: what comes after the aim is of no use. */
    double silentAfter() {
      return Math.min(rules.aim(), overdueAfter());
    }

    boolean repeatable() {
      return rules.semantics() != Settings.Semantics.AT_MOST_ONCE;
    }
  }

  private final LiveSettings settings;
  private double retrySavings = Tuning.RETRY_SAVINGS;

  Attempts(LiveSettings settings) {
    this.settings = settings;
  }

  /**
   * The one place that decides whether a request may go to {@code target}, or be refused where
   * {@code target} is null. Guards rule 1 (nothing after the end) and rule 2 (no effect twice).
   */
  boolean allowed(Call c, EndpointTable.Host target, double now) {
    if (c.ended || c.streaming) {
      return false;
    }
    Settings.Limits limits = settings.now().limits();
    if (target != null
        && (!target.sendable
            || c.attempts.size() >= Math.min(c.maxAttempts, limits.maxAttempts())
            || (c.open > 0 && !limits.parallelTries())
            || now >= c.deadline)) {
      return false;
    }
    Settings.RequestClass rules = c.type.rules;
    if (rules.semantics() == Settings.Semantics.IDEMPOTENT) {
      return true;
    }
    for (int i = 0; i < c.attempts.size(); i++) {
      Attempt a = c.attempts.get(i);
      if (!a.mayHaveRun) {
        continue;
      }
      if (now - a.sentAt >= rules.repeatsWithin() - Tuning.WINDOW_MARGIN) {
        return false;
      }
      boolean sameGroup =
          switch (rules.scope()) {
            case ALL -> true;
            case ZONE -> target != null && a.zone != null && a.zone.equals(target.zone);
            case CELL -> target != null && a.cell == target.cell;
          };
      if (!sameGroup) {
        return false;
      }
    }
    return true;
  }

  Attempt start(Call c, EndpointTable.Host h, double now) {
    Attempt a = new Attempt(c, c.attempts.size(), h, now);
    c.attempts.add(a);
    c.open++;
    a.ownBefore = h.inFlight;
    h.inFlight++;
    return a;
  }

  /** Ends the attempt; 1 if it was in flight still, else 0. */
  int finish(Attempt a, AttemptOutcome result) {
    a.open = false;
    a.mayHaveRun = !result.neverRan();
    a.call.open--;
    return leave(a);
  }

  /** Takes the attempt off what is in flight: 1 if it was, else 0. */
  int leave(Attempt a) {
    int one = a.counted ? 1 : 0;
    a.counted = false;
    a.host.inFlight -= one;
    return one;
  }

  void earnRetry() {
    retrySavings = Math.min(Tuning.RETRY_SAVINGS, retrySavings + Tuning.RETRY_RATIO);
  }

  /** Takes one retry from the budget; without it, retries would feed an overload. */
  boolean takeRetry() {
    boolean enough = retrySavings >= 1;
    retrySavings -= enough ? 1 : 0;
    return enough;
  }
}
