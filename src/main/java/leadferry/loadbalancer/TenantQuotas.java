package leadferry.loadbalancer;

import java.util.HashMap;
import java.util.Map;

/**
 * What a tenant's request weighs when load is shed: 1 within the tenant's share of the recent
 * requests, less the further the tenant is over it, never less than {@link
 * Settings#minPriorityWeight}.
 *
 * <p>Guards against a burst of one tenant that takes the place of the others' requests.
 */
final class TenantQuotas {
  /** Time constant of a tenant's share of the recent requests. */
  private static final double MEMORY_MILLIS = 10_000;

  /** Requests assumed to have come by quota before any is counted: a few arrivals prove nothing. */
  private static final double PRIOR_REQUESTS = 8;

  /** The recent requests of one tenant. */
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

  /** Takes the tenants of the settings in force; their usage is counted anew. */
  void onSettings() {
    usages.clear();
    for (Settings.Tenant tenant : settings.current().tenants()) {
      usages.put(tenant.name(), new Usage(tenant.quotaShare()));
    }
  }

  /** A request of the tenant has come; {@code tenant} may be null or unknown. */
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

  /** The priority weight of a request of the tenant, above 0 and at most 1. */
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
