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
  private static final int LEAST_ENDPOINTS = 6;

  /** More for each own attempt in flight at the recent peak. */
  private static final double ENDPOINTS_PER_IN_FLIGHT = 1.5;

  /** The most proxies that may share an endpoint where subsets can be kept so small. */
  private static final double MOST_PROXIES_PER_ENDPOINT = 60;

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
    double most = MOST_PROXIES_PER_ENDPOINT * endpoints.ready().size() / settings.now().balancers();
    double needed = LEAST_ENDPOINTS + ENDPOINTS_PER_IN_FLIGHT * inFlight.peak(nowMillis);
    int wanted = (int) Math.max(EndpointPicker.CHOICES, Math.min(needed, most));
    if (builtFromVersion != endpoints.version() || wanted > size || wanted < size / 2) {
      rebuild(wanted);
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

  private void rebuild(int wanted) {
    size = wanted;
    builtFromVersion = endpoints.version();
    List<Endpoint> ring = endpoints.ready();
    String zone = settings.now().zone();
    Predicate<Endpoint> near = endpoint -> zone == null || zone.equals(endpoint.zone);
    sameZone = window(ring.stream().filter(near).toArray(Endpoint[]::new), wanted);
    otherZones = window(ring.stream().filter(near.negate()).toArray(Endpoint[]::new), wanted);
  }

  private Endpoint[] window(Endpoint[] ring, int wanted) {
    if (ring.length <= wanted) {
      return ring;
    }
    int start =
        (int) ((double) settings.now().position() * ring.length / settings.now().balancers());
    Endpoint[] window = new Endpoint[wanted];
    for (int i = 0; i < wanted; i++) {
      window[i] = ring[Math.floorMod(start + i, ring.length)];
    }
    return window;
  }
}
