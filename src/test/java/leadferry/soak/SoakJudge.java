package leadferry.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import leadferry.soak.RequestRecord.Outcome;

/**
 * Checks a run against the rules of the protocol page. It uses only what clients, upstreams and
 * discovery recorded, and no state of the program under test.
 */
final class SoakJudge {
  /** Rules that a run may break. */
  enum Rule {
    LOST,
    DUPLICATE,
    DRAIN,
    /** An upstream was sent a longer timeout than its client had left. */
    DEADLINE,
    CRASH
  }

  /** A broken rule, with the request or process that broke it and what was recorded. */
  record Violation(Rule rule, String subject, String detail) {}

  /** Time in milliseconds past the deadline within which a response is late, but not lost. */
  private static final long MAX_LATE_RESPONSE_MS = 500;

  /**
   * Time in milliseconds after the disconnect of a client within which an attempt may still start.
   */
  private static final long MAX_ATTEMPT_AFTER_DISCONNECT_MS = 100;

  /**
   * Milliseconds by which the timeout sent to an upstream may exceed the time that its client has
   * left.
   */
  private static final long MAX_EXCESS_TIMEOUT_MS = 150;

  private final SoakHistory history;
  private final long drainGraceMs;
  private final long slackMs;
  private final Map<String, List<AttemptRecord>> attemptsById;

  /**
   * @param drainGraceMs the time in milliseconds after a drain notice within which the settings
   *     still allow attempts
   * @param slackMs the milliseconds added to each limit: the 50 ms of the protocol plus the delay
   *     of the recording threads
   */
  SoakJudge(SoakHistory history, long drainGraceMs, long slackMs) {
    this.history = history;
    this.drainGraceMs = drainGraceMs;
    this.slackMs = slackMs;
    this.attemptsById =
        history.attempts().stream().collect(Collectors.groupingBy(AttemptRecord::id));
  }

  /** Returns every violation of a rule in the run. */
  List<Violation> violations() {
    List<Violation> found = new ArrayList<>();
    for (RequestRecord request : history.requests()) {
      judgeResponse(request, found);
      judgeAttempts(request, found);
    }
    history.crashes().forEach(what -> found.add(new Violation(Rule.CRASH, "process", what)));
    return found;
  }

  private List<AttemptRecord> attemptsOf(RequestRecord request) {
    return attemptsById.getOrDefault(request.id(), List.of());
  }

  private void judgeResponse(RequestRecord request, List<Violation> found) {
    long tookMs = (request.endedAtNanos() - request.sentAtNanos()) / 1_000_000;
    switch (request.outcome()) {
      case NO_RESPONSE ->
          found.add(new Violation(Rule.LOST, request.id(), "no response: " + request.detail()));
      case SERVED, REFUSED, FAILED -> {
        if (tookMs > request.deadlineMs() + MAX_LATE_RESPONSE_MS + slackMs) {
          found.add(
              new Violation(
                  Rule.LOST,
                  request.id(),
                  "response after " + tookMs + " ms (deadline: " + request.deadlineMs() + " ms)"));
        }
      }
      case TRUNCATED, CLIENT_DISCONNECTED -> {
        // a client recognizes a truncated response, which an upstream fault may cause; no client
        // waits after a disconnect
      }
    }
    if (request.outcome() == Outcome.SERVED
        && attemptsOf(request).stream().noneMatch(AttemptRecord::mayHaveRun)) {
      found.add(
          new Violation(
              Rule.LOST, request.id(), "served without an attempt that ran on an upstream"));
    }
    if (request.detail().startsWith("foreign")) {
      found.add(new Violation(Rule.LOST, request.id(), request.detail()));
    }
  }

  private void judgeAttempts(RequestRecord request, List<Violation> found) {
    int runs = 0;
    for (AttemptRecord attempt : attemptsOf(request)) {
      runs += attempt.mayHaveRun() && attempt.completedAtNanos() != 0 ? 1 : 0;
      judgeAttemptStart(request, attempt, found);
      long remainingMs =
          request.deadlineMs() - (attempt.startedAtNanos() - request.sentAtNanos()) / 1_000_000;
      if (request.resentAtNanos() == 0
          && attempt.timeoutMs() > Math.max(0, remainingMs) + MAX_EXCESS_TIMEOUT_MS + slackMs) {
        found.add(
            new Violation(
                Rule.DEADLINE,
                request.id(),
                "timeout sent: "
                    + attempt.timeoutMs()
                    + " ms (remaining for the client: "
                    + remainingMs
                    + " ms)"));
      }
      long drainNoticeNanos = history.drainNotice(request.proxy(), attempt.upstream());
      if (attempt.startedAtNanos() - drainNoticeNanos > (drainGraceMs + slackMs) * 1_000_000) {
        found.add(
            new Violation(
                Rule.DRAIN,
                request.id(),
                "attempt sent to "
                    + attempt.upstream()
                    + " "
                    + (attempt.startedAtNanos() - drainNoticeNanos) / 1_000_000
                    + " ms after the drain notice"));
      }
    }
    if (request.unsafe() && runs > 1) {
      found.add(new Violation(Rule.DUPLICATE, request.id(), "ran " + runs + " times"));
    }
    if (request.outcome() == Outcome.REFUSED && runs > 0) {
      found.add(new Violation(Rule.DUPLICATE, request.id(), "refused although it may have run"));
    }
  }

  private void judgeAttemptStart(
      RequestRecord request, AttemptRecord attempt, List<Violation> found) {
    if (request.disconnectedAtNanos() != 0) {
      long delayMs = (attempt.startedAtNanos() - request.disconnectedAtNanos()) / 1_000_000;
      if (delayMs > MAX_ATTEMPT_AFTER_DISCONNECT_MS + slackMs) {
        found.add(
            new Violation(
                Rule.LOST,
                request.id(),
                "attempt started " + delayMs + " ms after its client disconnected"));
      }
    } else if (request.endedAtNanos() != 0 && request.outcome() != Outcome.NO_RESPONSE) {
      long delayMs = (attempt.startedAtNanos() - request.endedAtNanos()) / 1_000_000;
      if (delayMs > slackMs) {
        found.add(
            new Violation(
                Rule.LOST, request.id(), "attempt started " + delayMs + " ms after its response"));
      }
    }
    if (request.resentAtNanos() != 0 && attempt.startedAtNanos() < request.resentAtNanos()) {
      found.add(
          new Violation(
              Rule.LOST,
              request.id(),
              "forwarded, but the client connection closed without a response"));
    }
  }
}
