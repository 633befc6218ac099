package leadferry.loadbalancer;

/** One send of a request to an endpoint. */
final class AttemptState {
  final RequestState request;
  final int number;
  final Endpoint endpoint;

  /** Where the endpoint stood when the attempt went out: lists may say otherwise by now. */
  final String zone;

  final long cell;
  final double sentAtMillis;

  /** Own requests in flight there before it. */
  final int ownInFlightAtSend;

  boolean isOpen = true;
  boolean mayHaveRun = true;
  boolean isCancelled;
  private boolean isInFlight = true;

  AttemptState(RequestState request, int number, Endpoint endpoint, double nowMillis) {
    this.request = request;
    this.number = number;
    this.endpoint = endpoint;
    this.zone = endpoint.zone;
    this.cell = endpoint.cell;
    this.sentAtMillis = nowMillis;
    this.ownInFlightAtSend = endpoint.inFlight;
    endpoint.inFlight++;
  }

  /** Ends it; 1 if it was in flight still, else 0. */
  int end(AttemptOutcome outcome) {
    isOpen = false;
    mayHaveRun = !outcome.hasNoEffect();
    request.openAttempts--;
    return removeFromInFlight();
  }

  /** Takes it off what is in flight at the endpoint: 1 if it was, else 0. */
  int removeFromInFlight() {
    int removed = isInFlight ? 1 : 0;
    isInFlight = false;
    endpoint.inFlight -= removed;
    return removed;
  }
}
