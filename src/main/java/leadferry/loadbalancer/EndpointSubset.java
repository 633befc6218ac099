package leadferry.loadbalancer;

import java.util.List;
import java.util.function.Predicate;

/**
 * Which endpoints does this proxy send to? A window of the ring of endpoints, as large as its load
 * needs: counts stay telling, connections few. Proxies start evenly spread over the ring, so the
 * subsets are balanced, and a window moves little when endpoints come and go. There is one window
 * of the proxy's own zone and one of the others.
 */
final class EndpointSubset {
  /** Endpoints for a proxy with no load; enough to lose a fifth of them and still choose. */
  private static final int MIN_ENDPOINTS = 6;

  /** More for each own attempt in flight at the recent peak. */
  private static final double ENDPOINTS_PER_IN_FLIGHT = 1.5;

  /** The most proxies that may share an endpoint where subsets can be kept so small. */
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

  /** Brings the subset up to date with the endpoints and the load. */
  void refresh(double nowMillis) {
    // Guards against many proxies that use up the endpoints' connections together.
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

  /** Those of the proxy's own zone; all of them where it has none. */
  Endpoint[] sameZone() {
    return sameZone;
  }

  /** Those of other zones. */
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
