package leadferry.loadbalancer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** The host view: membership, drain state, own requests in flight, latency and load figures. */
final class EndpointTable {
  /** A host as this instance knows it. */
  static final class Host {
    final long id;
    final long ring;
    String zone;
    String kind;
    long cell;
    boolean sendable;
    final double onlineSince;
    int listMark;

    int inFlight;
    double lastAnswer = Double.NEGATIVE_INFINITY;
    double waitsSince = Double.POSITIVE_INFINITY;

    double slowness = 1;
    int samples;
    double lastSample = Double.NEGATIVE_INFINITY;
    double others;
    double reportAt = Double.NEGATIVE_INFINITY;
    double ownPeak;
    double ownPeakAt;

    double failShare;
    double charge;
    double chargeAt;
    final Backoff ejected = new Backoff();
    final Map<String, Backoff> closed = new HashMap<>(2);

    double coldCredit;
    double coldCreditAt;

    Host(long id, double onlineSince, double now, double credit) {
      this.id = id;
      this.onlineSince = onlineSince;
      this.coldCredit = credit;
      this.coldCreditAt = now;
      long z = id * 0x9E3779B97F4A7C15L;
      z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
      this.ring = z ^ (z >>> 27);
    }
  }

  /**
   * Time out of the draw, longer each time that it comes again, then trials until one is answered.
   */
  static final class Backoff {
    private int times;
    private double last = Double.NEGATIVE_INFINITY;
    double until;
    boolean trial;

    /** Begins it; spread, so that many proxies do not try the host again in the same moment. */
    void begin(double now, double pace, double most, SplittableRandom random) {
      times = now - last > pace * Tuning.EJECT_FORGET ? 0 : times;
      double length = pace * Math.min(most, Tuning.EJECT_BASE * Math.pow(2, times++));
      last = now;
      until = now + length * (0.75 + 0.5 * random.nextDouble());
      trial = true;
    }
  }

  /** Speed of a kind of machine, the prior for hosts with few answers of their own. */
  private static final class KindSpeed {
    double slowness = 1;
    int samples;
    int queues;
    double msPerHeld;
  }

  final LiveSettings settings;
  private final Map<Long, Host> byId = new HashMap<>();
  private final List<Host> ready = new ArrayList<>();
  private final Map<String, KindSpeed> kinds = new HashMap<>();
  private int mark;
  private double meanOthers;
  private double meanAt = Double.NEGATIVE_INFINITY;

  /** Grows each time that the set of ready hosts changes. */
  int changes;

  double heard = Double.POSITIVE_INFINITY;

  EndpointTable(LiveSettings settings) {
    this.settings = settings;
  }

  /** How long (ms) ago what came to this process was last read: no host can be blamed for it. */
  double behind(double now) {
    return Math.max(0, now - heard);
  }

  Host get(long id) {
    return byId.get(id);
  }

  /** Hosts that may get requests, in ring order. */
  List<Host> ready() {
    return ready;
  }

  void apply(
      double now, EndpointListEvent kind, List<EndpointUpdate> entries, SplittableRandom random) {
    if (kind == EndpointListEvent.FAILED) {
      return;
    }
    mark++;
    boolean different = false;
    for (EndpointUpdate e : entries) {
      if (e.condition() == EndpointUpdate.Condition.GONE) {
        different |= byId.remove(e.id()) != null;
        continue;
      }
      Host h = byId.get(e.id());
      if (h == null || e.onlineSince() != h.onlineSince) {
        // A new process owes nothing to what the old one did; its credit starts at chance, so that
        // many proxies told at once do not all send at once.
        h = new Host(e.id(), e.onlineSince(), now, random.nextDouble());
        byId.put(h.id, h);
        different = true;
      }
      boolean sendable = e.condition() == EndpointUpdate.Condition.READY;
      h.zone = e.zone();
      h.kind = e.kind();
      h.cell = e.cell();
      h.listMark = mark;
      different |= sendable != h.sendable;
      h.sendable = sendable;
    }
    if (kind != EndpointListEvent.DELTA) {
      different |= byId.values().removeIf(h -> h.listMark != mark);
    }
    if (different) {
      rebuild();
    }
  }

  private void rebuild() {
    ready.clear();
    byId.values().stream().filter(h -> h.sendable).forEach(ready::add);
    ready.sort(
        (a, b) -> a.ring != b.ring ? Long.compare(a.ring, b.ring) : Long.compare(a.id, b.id));
    changes++;
  }

  /** The least part of its capacity that a host has now: 1 when warm. */
  double warmth(Host h, double now) {
    double age = now - h.onlineSince;
    double cold = settings.now().rules().cold();
    if (h.onlineSince <= 0 || age >= cold) {
      return 1;
    }
    double from = settings.now().rules().startCapacity();
    return from + (1 - from) * Math.max(0, age) / cold;
  }

  void answered(Host h, double now, double relative) {
    double capped = Math.min(relative, 8);
    double own = slowness(h, now);
    // The first answers weigh more: a light proxy would otherwise take a minute to learn.
    h.slowness = own + Math.max(Tuning.LATENCY_ALPHA, 1.0 / (++h.samples + 2)) * (capped - own);
    h.lastSample = now;
    KindSpeed k = kinds.computeIfAbsent(h.kind, x -> new KindSpeed());
    k.slowness +=
        Math.max(Tuning.LATENCY_ALPHA / 2, 1.0 / (++k.samples + 4)) * (capped - k.slowness);
  }

  /** Learns, where a host holds many requests, how long each of them takes it. */
  void queued(Host h, int ownBefore, double spent) {
    double held = ownBefore + h.others;
    if (held >= Tuning.QUEUE_SEEN) {
      KindSpeed k = kinds.computeIfAbsent(h.kind, x -> new KindSpeed());
      double each = spent / (held + 1);
      // The median: a few heavy requests say nothing of how long the next one will take.
      double step = Math.max(Tuning.QUEUE_STEP, 1.0 / (++k.queues + 4));
      k.msPerHeld =
          k.msPerHeld == 0 ? each : k.msPerHeld * (each > k.msPerHeld ? 1 + step : 1 - step);
    }
  }

  /** The time (ms) that a queue reported not long ago will take; 0 where nothing tells. */
  double expectedAnswer(Host h, double now) {
    KindSpeed k = kinds.get(h.kind);
    // Past its fading a report tells nothing: or a host that nobody sends to would stay crowded.
    double held =
        now - h.reportAt > (Tuning.REPORT_FADE * settings.pace()) ? h.inFlight : held(h, now);
    return k == null || held <= Tuning.QUEUE_SEEN ? 0 : k.msPerHeld * (held + 1);
  }

  /** The time (ms) that our own requests at the host will take by themselves. */
  double ownAnswer(Host h) {
    KindSpeed k = kinds.get(h.kind);
    return k == null || h.inFlight < Tuning.QUEUE_SEEN / 2 ? 0 : k.msPerHeld * (h.inFlight + 1);
  }

  /** Whether the host has just told that it has room at once, whatever answers took of late. */
  boolean idle(Host h, double now) {
    return now - h.reportAt < Tuning.REPORT_FRESH * settings.pace()
        && held(h, now) < Tuning.QUEUE_SEEN / 2;
  }

  /** Whether reports tell of no queue there; where they are old, those of all hosts do. */
  boolean roomy(Host h, double now) {
    return meanAt >= 0 && held(h, now) < Tuning.QUEUE_SEEN;
  }

  /** Requests the host holds: our own in flight, and the others' as told, fading to their mean. */
  private double held(Host h, double now) {
    double fresh = Math.exp(-(now - h.reportAt) / (Tuning.REPORT_FADE * settings.pace()));
    return h.inFlight + meanOthers + fresh * (h.others - meanOthers);
  }

  /** The recent peak of own requests at the host, which its reports, coming late, may count yet. */
  double ownPeak(Host h, double now) {
    return Math.max(h.inFlight, h.ownPeak * Math.exp(-(now - h.ownPeakAt) / settings.pace()));
  }

  /** To be called after an own request has come to the host's count, and before one leaves it. */
  void notePeak(Host h, double now) {
    h.ownPeak = ownPeak(h, now);
    h.ownPeakAt = now;
  }

  /** Guards against a jam that is taken for broken hosts: the few left would get all the load. */
  boolean spares(double now) {
    return 1 + ready.stream().filter(h -> now < h.ejected.until).count()
        <= Math.max(1, Tuning.MOST_EJECTED * ready.size());
  }

  /**
   * Guards against a jam that is our own echo: late reports count requests of ours that are gone,
   * so only what is over the peak of our own is the others'. It reads too little where others come
   * and go with us. No single report counts for far more than hosts are known to hold.
   */
  void reported(Host h, double now, LoadReport report) {
    if (h == null || report == null || Double.isNaN(report.held())) {
      return;
    }
    double most = Tuning.PLAUSIBLE * (meanOthers + Tuning.QUEUE_SEEN);
    h.others = Math.min(most, Math.max(0, report.held() - ownPeak(h, now)));
    // A proxy with few answers weighs each one more: its mean would be older than the reports that
    // it stands in for.
    double weight =
        Math.min(0.3, Math.max(0.02, (now - meanAt) / (Tuning.MEAN_FADE * settings.pace())));
    h.reportAt = meanAt = now;
    meanOthers += weight * (h.others - meanOthers);
  }

  /**
   * How slowly the host answers against the mean. Its own answers fade towards its kind's: or a
   * host that was slow once would never be drawn again by a proxy whose counts are all zero.
   */
  double slowness(Host h, double now) {
    KindSpeed k = kinds.get(h.kind);
    double prior = k == null ? 1 : k.slowness;
    return prior + (h.slowness - prior) * Math.exp(-(now - h.lastSample) / Tuning.SLOWNESS_FADE);
  }

  /** Expected wait in units of the mean answer time; decides between equal counts only. */
  double expectedWait(Host h, double now, boolean thrifty) {
    double slow = slowness(h, now);
    // A new connection costs the host work, and a place of which it has few: as a request more
    // would.
    int opens = thrifty && (h.inFlight > 0 || now - h.lastAnswer >= settings.keepIdle()) ? 1 : 0;
    return meanAt >= 0 ? slow * (Tuning.REPORT_BASE + held(h, now) + opens) : slow;
  }
}
