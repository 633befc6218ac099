package leadferry.loadbalancer;

import java.util.List;
import java.util.function.Predicate;

/**
 * Selects the endpoints that this proxy sends to (subsetting): a window of the ring of endpoints,
 * whose size grows with the load of the proxy. The ring orders the endpoints by a hash of their
 * ids, in the same way for every proxy. A small subset keeps the request counts meaningful and the
 * connections few. The windows of the proxies start evenly spaced on the ring, so the subsets are
 * balanced, and a window moves little when endpoints come and go. There is one window for the
 * proxy's own zone and one for the other zones.
 */
final class EndpointSubset {
  /**
   * Subset size of a proxy without load. Large enough to lose a fifth of these endpoints and still
   * choose between several.
   */
  private static final int MIN_ENDPOINTS = 6;

  /** Endpoints added for each of this proxy's attempts in flight at the recent peak. */
  private static final double ENDPOINTS_PER_IN_FLIGHT = 1.5;

  /**
   * Target for the maximum number of proxies that share an endpoint. It is exceeded where the
   * subset would otherwise be smaller than {@link EndpointPicker#CHOICES}.
   */
  private static final double MAX_PROXIES_PER_ENDPOINT = 60;

  private final LiveSettings settings;
  private final EndpointTable endpoints;
  private final InFlightPeak inFlight;
  private Endpoint[] sameZone = {};
  private Endpoint[] otherZones = {};
  private int size;
  private int builtFromVersion = -1;

  EndpointSubset(LoadBalancerContext context) {
    this.settings = context.settings;
    this.endpoints = context.endpoints;
    this.inFlight = context.inFlight;
  }

  /** Updates the subset to the current endpoints and load. */
  void refresh(double nowMillis) {
    // Guards against many proxies that together exhaust the endpoints' connections.
    double maxSize =
        MAX_PROXIES_PER_ENDPOINT
            * endpoints.readyEndpoints().size()
            / settings.current().proxyCount();
    double neededSize = MIN_ENDPOINTS + ENDPOINTS_PER_IN_FLIGHT * inFlight.peak(nowMillis);
    int newSize = (int) Math.max(EndpointPicker.CHOICES, Math.min(neededSize, maxSize));
    if (builtFromVersion != endpoints.version() || newSize > size || newSize < size / 2) {
      rebuild(newSize);
    }
  }

  /**
   * Returns the subset in the proxy's own zone; endpoints of all zones if the proxy has no zone.
   */
  Endpoint[] sameZone() {
    return sameZone;
  }

  /** Returns the subset in the other zones. */
  Endpoint[] otherZones() {
    return otherZones;
  }

  private void rebuild(int newSize) {
    size = newSize;
    builtFromVersion = endpoints.version();
    List<Endpoint> ring = endpoints.readyEndpoints();
    String zone = settings.current().zone();
    Predicate<Endpoint> isSameZone = endpoint -> zone == null || zone.equals(endpoint.zone);
    sameZone = window(ring.stream().filter(isSameZone).toArray(Endpoint[]::new), newSize);
    otherZones =
        window(ring.stream().filter(isSameZone.negate()).toArray(Endpoint[]::new), newSize);
  }

  private Endpoint[] window(Endpoint[] ring, int windowSize) {
    if (ring.length <= windowSize) {
      return ring;
    }
    int start =
        (int)
            ((double) settings.current().proxyIndex()
                * ring.length
                / settings.current().proxyCount());
    Endpoint[] window = new Endpoint[windowSize];
    for (int i = 0; i < windowSize; i++) {
      window[i] = ring[Math.floorMod(start + i, ring.length)];
    }
    return window;
  }
}
