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
  private Settings settings;

  /** Null where results are not counted, as in the proxy that the {@code platform} starts. */
  private OutcomeCounter counter;

  OutcomeReporter(Log log, Settings settings) {
    this.log = log;
    this.settings = settings;
  }

  void setCounter(OutcomeCounter next) {
    counter = next;
  }

  /** Applies the latency objectives of other settings. */
  void updateSettings(Settings next) {
    settings = next;
  }

  /** Reports an attempt that has ended {@code spentMillis} after it was sent. */
  void onAttemptEnded(
      Exchange exchange, Attempt attempt, AttemptOutcome outcome, double spentMillis) {
    if (counter != null && isCounted(outcome)) {
      boolean bad =
          outcome != AttemptOutcome.OK || spentMillis > objectiveMillis(exchange.className);
      counter.countAttempt(attempt.host.name, exchange.className, bad);
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
      boolean bad = !isSuccess || spentMillis > objectiveMillis(exchange.className);
      counter.countRequest(exchange.className, bad);
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
        exchange.className,
        "ms",
        Math.round(spentMillis),
        "id",
        exchange.requestId());
  }

  private static String logWord(AttemptOutcome outcome) {
    return outcome.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /**
   * Returns the latency objective (ms) of a class; a class that was not declared has none and gives
   * {@code Double.MAX_VALUE}.
   */
  private double objectiveMillis(String className) {
    for (Settings.RequestClass declared : settings.classes()) {
      if (declared.name().equals(className)) {
        return declared.latencyObjectiveMillis();
      }
    }
    return Double.MAX_VALUE;
  }
}
