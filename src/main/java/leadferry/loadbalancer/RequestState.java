package leadferry.loadbalancer;

import java.util.ArrayList;
import java.util.List;

/** A client's request while it waits for its final answer or has attempts open. */
final class RequestState {
  /** Nothing new is started this close to the client's deadline. */
  private static final double MIN_ATTEMPT_MILLIS = 5;

  final long id;

  /** The latency of its class, as the settings were when it came. */
  final LatencyEstimate latencyEstimate;

  final double deadlineMillis;

  /** The most attempts that the settings allowed when it came. */
  final int maxAttempts;

  final List<AttemptState> attempts = new ArrayList<>(2);

  /** See {@link TenantQuotas#priorityWeight}. */
  double priorityWeight = 1;

  /** Pressure sheds it, unless the endpoint picked for it has room. */
  boolean isDrawnForShedding;

  /** Attempts without an outcome. */
  int openAttempts;

  /** It has had its final answer, or its client has disconnected. */
  boolean isEnded;

  /** Attempt whose response has begun to reach the client, or null. */
  AttemptState streamingAttempt;

  RequestState(
      long id,
      LatencyEstimate latencyEstimate,
      double nowMillis,
      double budgetMillis,
      Settings.Limits limits) {
    this.id = id;
    this.latencyEstimate = latencyEstimate;
    this.deadlineMillis = nowMillis + budgetMillis;
    this.maxAttempts = limits.maxAttempts();
  }

  Settings.RequestClass requestClass() {
    return latencyEstimate.requestClass;
  }

  /** Whether its response has begun to reach the client. */
  boolean isStreaming() {
    return streamingAttempt != null;
  }

  /** Whether its class may be repeated in any case. */
  boolean isRepeatable() {
    return requestClass().semantics() != Settings.Semantics.AT_MOST_ONCE;
  }

  /** Whether there is time left for another attempt. */
  boolean hasTimeForAttempt(double nowMillis) {
    return nowMillis < deadlineMillis - MIN_ATTEMPT_MILLIS;
  }

  boolean hasTried(Endpoint endpoint) {
    for (int i = 0; i < attempts.size(); i++) {
      if (attempts.get(i).endpoint == endpoint) {
        return true;
      }
    }
    return false;
  }

  /** The attempt of that number, or null. */
  AttemptState attempt(int number) {
    return number < 0 || number >= attempts.size() ? null : attempts.get(number);
  }

  AttemptState lastAttempt() {
    return attempts.get(attempts.size() - 1);
  }

  /** Begins an attempt at the endpoint. */
  void startAttempt(Endpoint endpoint, double nowMillis) {
    attempts.add(new AttemptState(this, attempts.size(), endpoint, nowMillis));
    openAttempts++;
  }
}
