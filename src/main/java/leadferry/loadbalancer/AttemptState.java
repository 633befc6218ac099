package leadferry.loadbalancer;

/** State of one attempt of a request at an endpoint. */
final class AttemptState {
  final RequestState request;
  final int number;
  final Endpoint endpoint;

  /**
   * Zone of the endpoint when the attempt was sent. A later endpoint list may state another zone.
   */
  final String zone;

  final long cell;
  final double sentAtMillis;

  /** Number of this proxy's requests in flight at the endpoint just before this attempt. */
  final int ownInFlightAtSend;

  boolean isOpen = true;

  /** Whether the endpoint may have executed the request; false if the outcome rules that out. */
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

  /** Ends the attempt. Returns 1 if it was still counted as in flight, else 0. */
  int end(AttemptOutcome outcome) {
    isOpen = false;
    mayHaveRun = !outcome.hasNoEffect();
    request.openAttempts--;
    return removeFromInFlight();
  }

  /**
   * Removes the attempt from the in-flight count of its endpoint. Returns 1 if it was counted, else
   * 0.
   */
  int removeFromInFlight() {
    int removed = isInFlight ? 1 : 0;
    isInFlight = false;
    endpoint.inFlight -= removed;
    return removed;
  }
}
