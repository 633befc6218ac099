package leadferry.engine;

import java.util.EnumSet;
import java.util.Locale;
import java.util.Set;
import leadferry.loadbalancer.AttemptOutcome;
import leadferry.loadbalancer.Settings;

/**
 * Reports the results of one pool's attempts and requests: logs each failed attempt, and passes all
 * results to the {@link OutcomeCounter} if one is set. Makes no decisions. Confined to the pool's
 * loop.
 */
final class OutcomeReporter {
  /** Outcomes of attempts that are logged. */
  private static final Set<AttemptOutcome> FAILURES =
      EnumSet.of(
          AttemptOutcome.ERROR,
          AttemptOutcome.FULL,
          AttemptOutcome.TIMEOUT,
          AttemptOutcome.CONNECT_FAILED,
          AttemptOutcome.RESET);

  private final Log log;

  /** Null where results are not counted, as in the proxy that the {@code platform} starts. */
  private OutcomeCounter counter;

  OutcomeReporter(Log log) {
    this.log = log;
  }

  void setCounter(OutcomeCounter next) {
    counter = next;
  }

  /** Reports an attempt that has ended {@code spentMillis} after it was sent. */
  void onAttemptEnded(
      Exchange exchange, Attempt attempt, AttemptOutcome outcome, double spentMillis) {
    if (counter != null && isCounted(outcome)) {
      Settings.RequestClass requestClass = exchange.requestClass();
      boolean bad =
          outcome != AttemptOutcome.OK || spentMillis > requestClass.latencyObjectiveMillis();
      counter.countAttempt(attempt.host.name, requestClass.name(), bad);
    }
    if (FAILURES.contains(outcome) && log.isDetailEnabled()) {
      logFailure(exchange, attempt, outcome, spentMillis);
    }
  }

  /**
   * Reports a request whose final response came {@code spentMillis} after the request was
   * submitted; {@code isSuccess} indicates whether it succeeded.
   */
  void onRequestEnded(Exchange exchange, boolean isSuccess, double spentMillis) {
    if (counter != null) {
      Settings.RequestClass requestClass = exchange.requestClass();
      boolean bad = !isSuccess || spentMillis > requestClass.latencyObjectiveMillis();
      counter.countRequest(requestClass.name(), bad);
    }
  }

  private static boolean isCounted(AttemptOutcome outcome) {
    return outcome != AttemptOutcome.CANCELLED && outcome != AttemptOutcome.MOOT;
  }

  private void logFailure(
      Exchange exchange, Attempt attempt, AttemptOutcome outcome, double spentMillis) {
    log.detail(
        "attempt",
        "outcome",
        logWord(outcome),
        "server",
        attempt.host.name,
        "attempt",
        attempt.number() + 1,
        "class",
        exchange.requestClass().name(),
        "ms",
        Math.round(spentMillis),
        "id",
        exchange.requestId());
  }

  private static String logWord(AttemptOutcome outcome) {
    return outcome.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
