package leadferry.disruption;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Set;
import leadferry.disruption.FleetView.ProxyEviction;

/**
 * The replicated state as one proxy applies it: the newest {@link FleetView} received, and whether
 * the proxy itself is out of service. Callers pass in the time (ns, monotonic clock).
 *
 * <p>A view from any replica applies at once, because it only restricts the use of endpoints. The
 * proxy goes out of service itself only while its lease is valid. Guards against a process that was
 * suspended, resumes with an old grant in its socket buffer, and goes out of service although the
 * grant was released and another target evicted meanwhile. Returning to service needs no lease,
 * because the proxy counts as unavailable until then.
 */
public final class ProxyMemberView {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final String name;
  private long version = FleetView.NO_VERSION;
  private Set<String> drainedEndpoints = Set.of();

  /** Id of the grant that was last applied, "" for none. */
  private String grantId = "";

  private boolean grantUnlimited;

  /** Expiry time of the grant (ns); unused if the grant is unlimited. */
  private long grantExpiryNanos;

  private boolean outOfService;

  /** Received view that applies once the proxy's lease is valid, or null if none waits. */
  private FleetView pendingView;

  /** Creates the initial view of the proxy of the given name. */
  public ProxyMemberView(String name) {
    this.name = name;
  }

  /**
   * Applies a view in its wire form, see {@link FleetViewCodec}. A view older than the newest one
   * is ignored.
   *
   * @param hasValidLease whether the proxy's lease is valid now
   * @param nowNanos time of a monotonic clock
   * @return whether the view changed
   */
  public boolean applyView(JsonNode view, boolean hasValidLease, long nowNanos) {
    return applyView(FleetViewCodec.decode(view), hasValidLease, nowNanos);
  }

  /** Applies a view, see {@link #applyView(JsonNode, boolean, long)}. */
  boolean applyView(FleetView view, boolean hasValidLease, long nowNanos) {
    if (view.version() < version) {
      return false;
    }
    ProxyEviction eviction = view.evictionOf(name);
    boolean isNewGrant = eviction.isPresent() && !eviction.grantId().equals(grantId);
    if (isNewGrant && !hasValidLease) {
      pendingView = view;
      return false;
    }
    pendingView = null;
    if (isNewGrant) {
      grantUnlimited = eviction.isUnlimited();
      grantExpiryNanos = nowNanos + eviction.durationMillis() * NANOS_PER_MILLI;
    }
    boolean evicted = eviction.isPresent() && (isNewGrant || !isGrantExpired(nowNanos));
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
   * Applies the view that waits for a lease if the lease is valid, and ends a grant that has
   * expired by the proxy's own clock.
   *
   * @param hasValidLease whether the proxy's lease is valid now
   * @param nowNanos time of a monotonic clock
   * @return whether the view changed
   */
  public boolean refresh(boolean hasValidLease, long nowNanos) {
    if (pendingView != null && hasValidLease) {
      return applyView(pendingView, true, nowNanos);
    }
    if (outOfService && isGrantExpired(nowNanos)) {
      outOfService = false;
      return true;
    }
    return false;
  }

  private boolean isGrantExpired(long nowNanos) {
    return !grantUnlimited && nowNanos - grantExpiryNanos >= 0;
  }

  /**
   * Returns the version of the replicated state that the proxy applies, -1 before the first view.
   */
  public long version() {
    return version;
  }

  /** Prepares for a new session. The next view applies whatever its version is. */
  public void onSessionStarted() {
    version = FleetView.NO_VERSION;
    pendingView = null;
  }

  /** Returns the endpoints that get no requests. */
  public Set<String> drainedEndpoints() {
    return drainedEndpoints;
  }

  /** Returns whether the proxy itself is out of service by an eviction grant. */
  public boolean isOutOfService() {
    return outOfService;
  }

  /** Writes the view that the proxy stores on disk for a start without a reachable replica. */
  public void write(ObjectNode json) {
    Map<String, ProxyEviction> proxyEvictions =
        outOfService ? Map.of(name, new ProxyEviction(grantId, 0)) : Map.of();
    FleetViewCodec.encodeForRestart(
        new FleetView(version, false, drainedEndpoints, proxyEvictions), json);
  }
}
