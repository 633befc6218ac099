package leadferry.loadbalancer;

import java.util.HashMap;
import java.util.Map;

/**
 * Computes the priority weight of a tenant's requests for load shedding. The weight is 1 while the
 * tenant is within its share of the recent requests. Beyond the share, the weight falls with the
 * excess, down to {@link Settings#minPriorityWeight}.
 *
 * <p>Guards against a burst of one tenant that displaces the requests of other tenants.
 */
final class TenantQuotas {
  /** Time constant of a tenant's share of the recent requests. */
  private static final double MEMORY_MILLIS = 10_000;

  /**
   * Number of assumed earlier requests that match the quotas. Keeps the first few arrivals of a
   * tenant from counting as an excess.
   */
  private static final double PRIOR_REQUESTS = 8;

  /** Recent requests of one tenant. */
  private static final class Usage {
    final double quotaShare;
    double requestCount;
    double lastArrivalMillis;

    Usage(double quotaShare) {
      this.quotaShare = quotaShare;
    }
  }

  private final LiveSettings settings;
  private final Map<String, Usage> usages = new HashMap<>();
  private double totalRequests;
  private double lastArrivalMillis;

  TenantQuotas(LiveSettings settings) {
    this.settings = settings;
  }

  /** Takes over the tenants of the current settings and resets their usage. */
  void onSettings() {
    usages.clear();
    for (Settings.Tenant tenant : settings.current().tenants()) {
      usages.put(tenant.name(), new Usage(tenant.quotaShare()));
    }
  }

  /** Counts a request of the tenant; {@code tenant} may be null or unknown. */
  void onArrival(String tenant, double nowMillis) {
    double decay = Math.exp(-(nowMillis - lastArrivalMillis) / MEMORY_MILLIS);
    totalRequests = totalRequests * decay + 1;
    lastArrivalMillis = nowMillis;
    Usage usage = usages.get(tenant);
    if (usage != null) {
      double tenantDecay = Math.exp(-(nowMillis - usage.lastArrivalMillis) / MEMORY_MILLIS);
      usage.requestCount = usage.requestCount * tenantDecay + 1;
      usage.lastArrivalMillis = nowMillis;
    }
  }

  /** Returns the priority weight of a request of the tenant, above 0 and at most 1. */
  double priorityWeight(String tenant) {
    Usage usage = usages.get(tenant);
    if (usage == null || usage.quotaShare <= 0) {
      return 1;
    }
    double usedShare =
        (usage.requestCount + PRIOR_REQUESTS * usage.quotaShare) / (totalRequests + PRIOR_REQUESTS);
    return Math.min(
        1, Math.max(settings.current().minPriorityWeight(), usage.quotaShare / usedShare));
  }
}
