package leadferry.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import leadferry.soak.RequestRecord.Outcome;

/**
 * Judges a run by the rules of the protocol page, from records that clients, servers and discovery
 * made. It knows nothing of the program.
 */
final class SoakJudge {
  /** The rules by which a run is judged. */
  enum Rule {
    LOST,
    DUPLICATE,
    DRAIN,
    /** A server was told of more time than its client had left. */
    DEADLINE,
    CRASH
  }

  /** One broken rule: which request or process, and what was seen. */
  record Violation(Rule rule, String subject, String detail) {}

  /** An answer may be so late (ms) and only earns nothing. */
  private static final long LATE_MS = 500;

  /** An attempt may begin so long (ms) after its client has closed the connection. */
  private static final long LEAVER_MS = 100;

  /** A server may be told so much more time (ms) than its client has left. */
  private static final long TOLD_MS = 150;

  private final SoakHistory history;
  private final long graceMs;
  private final long slackMs;
  private final Map<String, List<AttemptRecord>> attempts;

  /**
   * @param graceMs what the settings allow after a notice of a drain
   * @param slackMs by which each limit is longer: the protocol's 50 ms and what the recording
   *     threads may be late
   */
  SoakJudge(SoakHistory history, long graceMs, long slackMs) {
    this.history = history;
    this.graceMs = graceMs;
    this.slackMs = slackMs;
    this.attempts = history.attempts().stream().collect(Collectors.groupingBy(AttemptRecord::id));
  }

  /** Every broken rule of the run. */
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
    return attempts.getOrDefault(request.id(), List.of());
  }

  private void judgeResponse(RequestRecord request, List<Violation> found) {
    long tookMs = (request.endedAtNanos() - request.sentAtNanos()) / 1_000_000;
    switch (request.outcome()) {
      case NO_RESPONSE ->
          found.add(new Violation(Rule.LOST, request.id(), "no answer: " + request.detail()));
      case SERVED, REFUSED, FAILED -> {
        if (tookMs > request.deadlineMs() + LATE_MS + slackMs) {
          found.add(
              new Violation(
                  Rule.LOST,
                  request.id(),
                  "answered after " + tookMs + " of " + request.deadlineMs() + " ms"));
        }
      }
      case TRUNCATED, CLIENT_DISCONNECTED -> {
        // cut short through a server's fault, as the client can tell; or nobody waits
      }
    }
    if (request.outcome() == Outcome.SERVED
        && attemptsOf(request).stream().noneMatch(AttemptRecord::mayHaveRun)) {
      found.add(new Violation(Rule.LOST, request.id(), "served, and no server ran it"));
    }
    if (request.detail().startsWith("foreign")) {
      found.add(new Violation(Rule.LOST, request.id(), request.detail()));
    }
  }

  private void judgeAttempts(RequestRecord request, List<Violation> found) {
    int ran = 0;
    for (AttemptRecord attempt : attemptsOf(request)) {
      ran += attempt.mayHaveRun() && attempt.completedAtNanos() != 0 ? 1 : 0;
      judgeBegin(request, attempt, found);
      long leftMs =
          request.deadlineMs() - (attempt.startedAtNanos() - request.sentAtNanos()) / 1_000_000;
      if (request.resentAtNanos() == 0
          && attempt.timeoutMs() > Math.max(0, leftMs) + TOLD_MS + slackMs) {
        found.add(
            new Violation(
                Rule.DEADLINE,
                request.id(),
                "told " + attempt.timeoutMs() + " ms, and " + leftMs + " were left"));
      }
      long drain = history.drainNotice(request.proxy(), attempt.upstream());
      if (attempt.startedAtNanos() - drain > (graceMs + slackMs) * 1_000_000) {
        found.add(
            new Violation(
                Rule.DRAIN,
                request.id(),
                "sent to "
                    + attempt.upstream()
                    + " "
                    + (attempt.startedAtNanos() - drain) / 1_000_000
                    + " ms after the notice"));
      }
    }
    if (request.unsafe() && ran > 1) {
      found.add(new Violation(Rule.DUPLICATE, request.id(), "ran " + ran + " times"));
    }
    if (request.outcome() == Outcome.REFUSED && ran > 0) {
      found.add(new Violation(Rule.DUPLICATE, request.id(), "refused, and ran"));
    }
  }

  private void judgeBegin(RequestRecord request, AttemptRecord attempt, List<Violation> found) {
    if (request.disconnectedAtNanos() != 0) {
      long after = (attempt.startedAtNanos() - request.disconnectedAtNanos()) / 1_000_000;
      if (after > LEAVER_MS + slackMs) {
        found.add(
            new Violation(
                Rule.LOST,
                request.id(),
                "attempt begun " + after + " ms after its client had left"));
      }
    } else if (request.endedAtNanos() != 0 && request.outcome() != Outcome.NO_RESPONSE) {
      long after = (attempt.startedAtNanos() - request.endedAtNanos()) / 1_000_000;
      if (after > slackMs) {
        found.add(
            new Violation(
                Rule.LOST, request.id(), "attempt begun " + after + " ms after its answer"));
      }
    }
    if (request.resentAtNanos() != 0 && attempt.startedAtNanos() < request.resentAtNanos()) {
      found.add(
          new Violation(
              Rule.LOST, request.id(), "forwarded, and its connection closed without an answer"));
    }
  }
}
