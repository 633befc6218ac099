package leadferry.engine;

import java.util.EnumSet;
import java.util.Locale;
import java.util.Set;
import leadferry.loadbalancer.AttemptOutcome;
import leadferry.loadbalancer.Settings;

/**
 * Tells people and counters what became of the attempts and requests of one pool: failed attempts
 * in the log one by one, all of them to the {@link OutcomeCounter} if there is one. Decides
 * nothing. Confined to the pool's loop.
 */
final class OutcomeReporter {
  /** Outcomes of attempts that have a line in the log. */
  private static final Set<AttemptOutcome> FAILURES =
      EnumSet.of(
          AttemptOutcome.ERROR,
          AttemptOutcome.FULL,
          AttemptOutcome.TIMEOUT,
          AttemptOutcome.CONNECT_FAILED,
          AttemptOutcome.RESET);

  private final Log log;
  private Settings settings;

  /** Null where nobody counts, and so in the platform's process. */
  private OutcomeCounter counter;

  OutcomeReporter(Log log, Settings settings) {
    this.log = log;
    this.settings = settings;
  }

  void setCounter(OutcomeCounter next) {
    counter = next;
  }

  /** The latency objectives of these hold from now on. */
  void updateSettings(Settings next) {
    settings = next;
  }

  /** An attempt has ended, {@code spentMillis} after it was sent. */
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

  /** A request has had its final answer, {@code spentMillis} after it was taken. */
  void onRequestEnded(Exchange exchange, boolean well, double spentMillis) {
    if (counter != null) {
      boolean bad = !well || spentMillis > objectiveMillis(exchange.className);
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
        "ms",
        Math.round(spentMillis),
        "id",
        exchange.requestId());
  }

  private static String logWord(AttemptOutcome outcome) {
    return outcome.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** The latency objective (ms) of a class; none for one that was not declared. */
  private double objectiveMillis(String className) {
    for (Settings.RequestClass declared : settings.classes()) {
      if (declared.name().equals(className)) {
        return declared.latencyObjectiveMillis();
      }
    }
    return Double.MAX_VALUE;
  }
}
