package leadferry.disruption;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Set;
import leadferry.disruption.FleetView.ProxyEviction;

/**
 * What one proxy goes by: the newest {@link FleetView} that it has, and what follows for itself.
 * Times are passed in (ns, monotonic).
 *
 * <p>A view is acted on at once, whoever brings it, because it only narrows. One thing needs a
 * lease that holds at that moment: to go out of service itself. Guards against a process that was
 * suspended, resumes with an old grant in its socket, and goes out of service when the grant has
 * long been given to another. Coming back needs no lease: while it was out, it counted as
 * unavailable.
 */
public final class ProxyMemberView {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final String name;
  private long version = FleetView.NO_VERSION;
  private Set<String> drainedEndpoints = Set.of();

  /** The grant that was last acted on, "" for none. */
  private String grantId = "";

  private boolean grantUnlimited;

  /** When the grant expires (ns); means nothing where it is unlimited. */
  private long grantExpiryNanos;

  private boolean outOfService;

  /** A view with a grant that waits for a lease that holds, or null. */
  private FleetView pendingView;

  /** A view that knows nothing yet, of the proxy of that name. */
  public ProxyMemberView(String name) {
    this.name = name;
  }

  /**
   * Takes a view in its form on the wire, see {@link FleetViewCodec}; one older than the newest
   * changes nothing.
   *
   * @param leaseHolds whether the proxy's lease holds at this moment
   * @param nowNanos monotonic clock
   * @return whether anything is different now
   */
  public boolean applyView(JsonNode view, boolean leaseHolds, long nowNanos) {
    return applyView(FleetViewCodec.decode(view), leaseHolds, nowNanos);
  }

  /** Takes a view, see {@link #applyView(JsonNode, boolean, long)}. */
  boolean applyView(FleetView view, boolean leaseHolds, long nowNanos) {
    if (view.version() < version) {
      return false;
    }
    ProxyEviction eviction = view.evictionOf(name);
    boolean isNewGrant = eviction.isPresent() && !eviction.grantId().equals(grantId);
    if (isNewGrant && !leaseHolds) {
      pendingView = view;
      return false;
    }
    pendingView = null;
    if (isNewGrant) {
      grantUnlimited = eviction.isUnlimited();
      grantExpiryNanos = nowNanos + eviction.durationMillis() * NANOS_PER_MILLI;
    }
    boolean evicted = eviction.isPresent() && (isNewGrant || !grantExpired(nowNanos));
    boolean changed =
        view.version() != version
            || !view.drainedEndpoints().equals(drainedEndpoints)
            || evicted != outOfService;
    version = view.version();
    drainedEndpoints = view.drainedEndpoints();
    grantId = eviction.grantId();
    outOfService = evicted;
    return changed;
  }

  /**
   * Takes the view that waited for a lease, if the lease holds; ends a grant that has expired by
   * the proxy's own clock.
   *
   * @param leaseHolds whether the proxy's lease holds at this moment
   * @param nowNanos monotonic clock
   * @return whether anything is different now
   */
  public boolean refresh(boolean leaseHolds, long nowNanos) {
    if (pendingView != null && leaseHolds) {
      return applyView(pendingView, true, nowNanos);
    }
    if (outOfService && grantExpired(nowNanos)) {
      outOfService = false;
      return true;
    }
    return false;
  }

  private boolean grantExpired(long nowNanos) {
    return !grantUnlimited && nowNanos - grantExpiryNanos >= 0;
  }

  /** The version of the agreed state that it goes by, -1 before any. */
  public long version() {
    return version;
  }

  /** Begins a session: the next view is taken whatever its version. */
  public void onSessionStarted() {
    version = FleetView.NO_VERSION;
    pendingView = null;
  }

  /** Hosts that get no requests. */
  public Set<String> drainedEndpoints() {
    return drainedEndpoints;
  }

  /** Whether the proxy itself is out of service by an eviction grant. */
  public boolean isOutOfService() {
    return outOfService;
  }

  /** Writes what is kept on disk for a start without replicas. */
  public void write(ObjectNode json) {
    Map<String, ProxyEviction> proxyEvictions =
        outOfService ? Map.of(name, new ProxyEviction(grantId, 0)) : Map.of();
    FleetViewCodec.encodeForRestart(
        new FleetView(version, false, drainedEndpoints, proxyEvictions), json);
  }
}
