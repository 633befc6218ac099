package leadferry.loadbalancer;

import java.util.ArrayList;
import java.util.List;

/** State of a client's request until it has its final response and no open attempts. */
final class RequestState {
  /** Minimum time that must be left before the client's deadline for an attempt to start. */
  private static final double MIN_ATTEMPT_MILLIS = 5;

  final long id;

  /** What the settings in force when the request arrived allow for it. */
  final RequestPolicy policy;

  /** Latency estimate of the request's class. */
  final LatencyEstimate latencyEstimate;

  final double deadlineMillis;

  final List<AttemptState> attempts = new ArrayList<>(2);

  /** See {@link TenantQuotas#priorityWeight}. */
  double priorityWeight = 1;

  /**
   * Whether the random draw by pressure selected the request for shedding. If the endpoint chosen
   * for the request is idle, the request is admitted nevertheless.
   */
  boolean isDrawnForShedding;

  /** Number of attempts without an outcome. */
  int openAttempts;

  /** Whether the request has had its final response, or its client has disconnected. */
  boolean isEnded;

  /** Attempt whose response has started to reach the client, or null. */
  AttemptState streamingAttempt;

  RequestState(RequestArrival arrival, LatencyEstimate latencyEstimate, double nowMillis) {
    this.id = arrival.id();
    this.policy = arrival.policy();
    this.latencyEstimate = latencyEstimate;
    this.deadlineMillis = nowMillis + arrival.budgetMillis();
  }

  Settings.RequestClass requestClass() {
    return policy.requestClass();
  }

  /** See {@link LatencyEstimate#silentAfterMillis}. */
  double silentAfterMillis() {
    return latencyEstimate.silentAfterMillis(requestClass().latencyObjectiveMillis());
  }

  /** Returns whether the response has started to reach the client. */
  boolean isStreaming() {
    return streamingAttempt != null;
  }

  /** Returns whether requests of the class may be repeated at all. */
  boolean isRepeatable() {
    return requestClass().semantics() != Settings.Semantics.AT_MOST_ONCE;
  }

  /** Returns whether enough time is left for another attempt. */
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

  /** Returns the attempt with this number, or null. */
  AttemptState attempt(int number) {
    return number < 0 || number >= attempts.size() ? null : attempts.get(number);
  }

  AttemptState lastAttempt() {
    return attempts.get(attempts.size() - 1);
  }

  /** Adds an attempt at the endpoint. */
  void startAttempt(Endpoint endpoint, double nowMillis) {
    attempts.add(new AttemptState(this, attempts.size(), endpoint, nowMillis));
    openAttempts++;
  }
}
