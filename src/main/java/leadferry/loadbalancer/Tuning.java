package leadferry.loadbalancer;

/** Every constant of the module, with its reason. None is fitted to one deployment. */
final class Tuning {
  private Tuning() {}

  /**
   * Candidates drawn: two for the paper, more as light proxies' counts tie; far more would herd
   * many proxies.
   */
  static final int CHOICES = 5;

  /** Hosts in the pool of a proxy with no load; enough to lose a fifth of them and still choose. */
  static final int BASE_POOL = 6;

  /**
   * Pool hosts for each own request in flight at its recent peak: counts stay small, connections
   * few.
   */
  static final double POOL_PER_IN_FLIGHT = 1.5;

  /** The most proxies that may share a host where pools can be kept so small. */
  static final double HOST_PROXIES = 60;

  /** How long (ms) the peak of own requests in flight is remembered; shrinking pools costs. */
  static final double PEAK_MEMORY = 15_000;

  /** Smoothing of latency figures by sample: about the last ten answers. */
  static final double LATENCY_ALPHA = 0.1;

  /** Time constant (ms) at which a host's own latency fades towards that of its kind. */
  static final double SLOWNESS_FADE = 10_000;

  /** One draw in so many looks at no connection: a host that has none would never be learnt of. */
  static final int EXPLORE = 4;

  /** Two expected waits closer than this part are equal, and chance decides: avoids herding. */
  static final double WAIT_TIE = 0.1;

  /**
   * Time constants (in aims) at which a load report fades towards the mean of all, and that mean to
   * newer ones.
   */
  static final double REPORT_FADE = 7.5;

  static final double MEAN_FADE = 2;

  /** A report younger than this (in aims) says more of a host than what answers took of late. */
  static final double REPORT_FRESH = 0.5;

  /** Requests a host is taken to hold without queueing, when reports are weighed. */
  static final double REPORT_BASE = 4;

  /** Silence shorter than this (ms) is never held against a host: pauses and jitter. */
  static final double SILENCE_FLOOR = 40;

  /** Part of the hosts that may be ejected at once: about what has been seen broken together. */
  static final double MOST_EJECTED = 0.4;

  /** Share of failures (smoothed) that ejects a host: three in a row, or half of the last few. */
  static final double FAILURE_SHARE = 0.48;

  /** Smoothing of the failure share: about the last five outcomes. */
  static final double FAILURE_ALPHA = 0.2;

  /** First ejection (in aims), doubled each time up to the last. */
  static final double EJECT_BASE = 2.5;

  static final double EJECT_MAX = 20;

  /** The longest (in aims) that a host is left out for one class; a trial there costs little. */
  static final double CLOSED_MAX = 5;

  /** After this time (in aims) without an ejection the back-off starts anew. */
  static final double EJECT_FORGET = 75;

  /** What one failure adds to a host's count, so that fast errors do not make it look idle. */
  static final double FAILURE_CHARGE = 2;

  /** Time constant (in aims) at which that charge decays. */
  static final double CHARGE_FADE = 5;

  /** Part of the fall multiple that all proxies together may use on a cold host. */
  static final double COLD_SHARE = 0.5;

  /** The least part taken to be served: or a cold fleet that fails once would never be tried. */
  static final double LEAST_SERVED = 0.05;

  /** Time constant (ms) of the proxy's own arrival rate. */
  static final double RATE_MEMORY = 3_000;

  /** Retries earned by each request, and the most that can be saved up. */
  static final double RETRY_RATIO = 0.2;

  static final double RETRY_SAVINGS = 10;

  /** An attempt is overdue this many mean deviations past the mean answer time of its class. */
  static final double OVERDUE_DEVIATIONS = 5;

  /** Time (ms) kept back from a repeat window for clocks and queues on the way. */
  static final double WINDOW_MARGIN = 20;

  /** Time (ms) before the client's own deadline below which nothing new is started. */
  static final double LAST_SEND = 5;

  /** A report of at least this many requests held tells of a queue, whatever the cores. */
  static final double QUEUE_SEEN = 6;

  /** A report of more than this many times a queue over the mean is cut to that. */
  static final double PLAUSIBLE = 4;

  /** Part by which each answer moves the median time per request held. */
  static final double QUEUE_STEP = 0.01;

  /** Part of the aim after which a refused client is told to come back. */
  static final double COME_BACK = 0.25;

  /** Part of the aim past which the expected answer of the winner is too late to begin. */
  static final double REFUSE_AT = 0.7;

  /** The same of what only our own requests at the winner will take, which needs no guess. */
  static final double OWN_REFUSE_AT = 0.45;

  /** Pressure at which hosts of other zones are drawn from as well. */
  static final double SPILL_FROM = 0.35;

  /** Pressure (answer time as part of the aim) at which early refusal begins. */
  static final double REFUSE_FROM = 0.4;

  /** Pressure above that at which everything of mean worth would be refused. */
  static final double REFUSE_SPAN = 0.6;

  /** The most of a mean class that is refused: the rest finds out when the jam is over. */
  static final double REFUSE_MOST = 0.9;

  /** A proxy with fewer answers than one in a tenth of this time (in aims) weighs each one more. */
  static final double PRESSURE_MEMORY = 7.5;

  /** Time constant (in aims) at which pressure fades when no answers come: queues drain slowly. */
  static final double PRESSURE_FADE = 25;

  /** Time constant (ms) of tenants' parts of the own traffic. */
  static final double SHARE_MEMORY = 10_000;

  /** Requests taken to have come by portion before any is counted: a few arrivals prove nothing. */
  static final double SHARE_PRIOR = 8;

  /** The least part of the allowed queue that a tenant far over its share may still use. */
  static final double LEAST_STANDING = 0.4;

  /** First wait (ms) before discovery is asked again, doubled up to half of the time allowed. */
  static final double FOLLOW_BACKOFF = 500;
}
