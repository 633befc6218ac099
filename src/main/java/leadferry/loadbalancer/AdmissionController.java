package leadferry.loadbalancer;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

/** Own rate and load, and early refusal when the aim can't be met. */
final class AdmissionController {
  /** The part of recent requests that came from a tenant. */
  private static final class Share {
    final double portion;
    double count;
    double at;

    Share(double portion) {
      this.portion = portion;
    }
  }

  private final SplittableRandom random;
  private final LoadBalancerActions actions;
  private final LiveSettings settings;
  private final Map<String, Share> shares = new HashMap<>();
  private double sum;
  private double servedPart = 1;
  private double rate;
  private double rateAt;
  private double peak;
  private double peakAt;
  private int open;
  private double pressure;
  private double pressureAt;
  private double meanValue;
  private boolean overloaded;

  AdmissionController(LiveSettings settings, SplittableRandom random, LoadBalancerActions actions) {
    this.settings = settings;
    this.random = random;
    this.actions = actions;
  }

  /** Takes the tenants of the settings in force; their shares are counted anew. */
  void tenants() {
    shares.clear();
    for (Settings.Tenant t : settings.now().tenants()) {
      shares.put(t.name(), new Share(t.portion()));
    }
  }

  void arrived(double now, Settings.RequestClass rules, String tenant) {
    Share s = shares.get(tenant);
    double fade = Math.exp(-(now - rateAt) / Tuning.SHARE_MEMORY);
    sum = sum * fade + 1;
    if (s != null) {
      s.count = s.count * Math.exp(-(now - s.at) / Tuning.SHARE_MEMORY) + 1;
      s.at = now;
    }
    rate = rate(now) + 1 / Tuning.RATE_MEMORY;
    rateAt = now;
    meanValue += 0.02 * (rules.value() - meanValue);
  }

  /**
   * Worth of a tenant's request, 1 within its share. Guards against a burst of one tenant that is
   * worth little and would take the place of the others' requests.
   */
  double standing(String tenant) {
    Share s = shares.get(tenant);
    if (s == null || s.portion <= 0) {
      return 1;
    }
    double part = (s.count + Tuning.SHARE_PRIOR * s.portion) / (sum + Tuning.SHARE_PRIOR);
    return Math.min(1, Math.max(settings.now().overShareWorth(), s.portion / part));
  }

  /** Notes whether an attempt, or a request refused for its lateness, was of use. */
  void ended(boolean served) {
    servedPart += Tuning.LATENCY_ALPHA * ((served ? 1 : 0) - servedPart);
  }

  /** Own requests per ms that get served: in a jam far fewer than those that come. */
  double servedRate(double now) {
    return rate(now) * Math.max(Tuning.LEAST_SERVED, servedPart);
  }

  /** Own requests per ms. */
  double rate(double now) {
    return rate * Math.exp(-(now - rateAt) / Tuning.RATE_MEMORY);
  }

  void inFlight(double now, int change) {
    open += change;
    peak = Math.max(open, peak(now));
    peakAt = now;
  }

  /** The recent peak of own attempts in flight. */
  double peak(double now) {
    return Math.max(open, peak * Math.exp(-(now - peakAt) / Tuning.PEAK_MEMORY));
  }

  /** Notes an answer (or the lack of one by then) against the aim of its class. */
  void answered(double now, double elapsed, double aim) {
    double gap = now - pressureAt;
    pressure = pressure(now);
    // A proxy with few requests weighs each one more, or it would learn of a jam after its end.
    double weight =
        Math.min(
            0.3, Math.max(Tuning.LATENCY_ALPHA, gap / (Tuning.PRESSURE_MEMORY * settings.pace())));
    pressure += weight * (Math.min(2, elapsed / aim) - pressure);
    pressureAt = now;
  }

  /** Recent answer time as part of the aim, 0 to 2. */
  double pressure(double now) {
    return pressure * Math.exp(-(now - pressureAt) / (Tuning.PRESSURE_FADE * settings.pace()));
  }

  /** Whether to refuse on arrival: as answers near the aim, ever more, the least worth first. */
  boolean refuses(double now, Settings.RequestClass rules, double standing) {
    double over = (pressure(now) - Tuning.REFUSE_FROM) / Tuning.REFUSE_SPAN;
    boolean turned = overloaded ? pressure(now) < Tuning.REFUSE_FROM / 2 : over > 0.5;
    if (turned) {
      overloaded = !overloaded;
      actions.log(overloaded ? "overload: refusing early" : "overload over");
    }
    if (over <= 0) {
      return false;
    }
    double relative = meanValue > 0 ? Math.max(0.2, standing * rules.value() / meanValue) : 1;
    return random.nextDouble() < Math.min(Tuning.REFUSE_MOST, over / relative);
  }
}
