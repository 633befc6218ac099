package leadferry.loadbalancer;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/** The design's draw: from a pool, d candidates, the one with the fewest own requests wins. */
final class EndpointPicker {
  private final LiveSettings settings;
  private final EndpointTable fleet;
  private final OutlierDetector health;
  private final Attempts attempts;
  private final AdmissionController admission;
  private final SplittableRandom random;
  private EndpointTable.Host[] local = {};
  private EndpointTable.Host[] remote = {};
  private final List<EndpointTable.Host> drawn = new ArrayList<>();
  private int size;
  private int changes = -1;
  private EndpointTable.Host best;
  private double bestCount;
  private double bestWait;
  private int equals;
  private boolean thrifty;

  EndpointPicker(
      LiveSettings settings,
      EndpointTable fleet,
      OutlierDetector health,
      Attempts attempts,
      AdmissionController admission,
      SplittableRandom random) {
    this.settings = settings;
    this.fleet = fleet;
    this.health = health;
    this.attempts = attempts;
    this.admission = admission;
    this.random = random;
  }

  /** The host for the next attempt of the call, or null where none may or should get it. */
  EndpointTable.Host pick(Attempts.Call c, double now) {
    return choose(c, candidates(c, now), now);
  }

  /** The candidates drawn for the next attempt of the call; valid until the next draw. */
  List<EndpointTable.Host> candidates(Attempts.Call c, double now) {
    // Guards against many proxies that use up the hosts' connections together (if1c0a3).
    double most = Tuning.HOST_PROXIES * fleet.ready().size() / settings.now().balancers();
    double own = Tuning.BASE_POOL + Tuning.POOL_PER_IN_FLIGHT * admission.peak(now);
    int wanted = (int) Math.max(Tuning.CHOICES, Math.min(own, most));
    if (changes != fleet.changes || wanted > size || wanted < size / 2) {
      rebuild(wanted);
    }
    drawn.clear();
    // Other zones are drawn from too once answers near here take a good part of the aim.
    if (!draw(local, c, now) && (drawn.isEmpty() || admission.pressure(now) > Tuning.SPILL_FROM)) {
      draw(remote, c, now);
    }
    return drawn;
  }

  /** The winner of these candidates, or of the panic fallback where none can be used. */
  EndpointTable.Host choose(Attempts.Call c, List<EndpointTable.Host> candidates, double now) {
    best = null;
    thrifty = random.nextInt(Tuning.EXPLORE) > 0;
    // A slow or spared host that is full of our own requests gives way to one that is not.
    for (int pass = 0; pass < 2 && best == null; pass++) {
      for (EndpointTable.Host h : candidates) {
        if (pass > 0 || !full(c, h)) {
          consider(h, now);
        }
      }
    }
    if (best == null) {
      best = anyAllowed(c, now);
    }
    return best;
  }

  /** Whether the host tells of a queue that can't be through in time. */
  boolean late(Attempts.Call c, EndpointTable.Host h, double now) {
    return full(c, h) || fleet.expectedAnswer(h, now) > Tuning.REFUSE_AT * usefulTime(c);
  }

  /** Whether our own requests at the host alone are such a queue. */
  private boolean full(Attempts.Call c, EndpointTable.Host h) {
    return fleet.ownAnswer(h) > Tuning.OWN_REFUSE_AT * usefulTime(c);
  }

  private static double usefulTime(Attempts.Call c) {
    return c.type.rules.aim() * Math.max(Tuning.LEAST_STANDING, c.standing);
  }

  /** Adds up to d of the pool's hosts to those drawn; true if one of them is due for a trial. */
  private boolean draw(EndpointTable.Host[] pool, Attempts.Call c, double now) {
    int seen = 0;
    for (int i = 0; i < 4 * Tuning.CHOICES && seen < Tuning.CHOICES && pool.length > 0; i++) {
      EndpointTable.Host h = pool[random.nextInt(pool.length)];
      if (drawn.contains(h)
          || !usable(h, c, now, pool == local ? pool.length : fleet.ready().size())) {
        continue;
      }
      if (h.ejected.trial && c.type.repeatable()) {
        drawn.clear(); // a trial: an ejected host that nobody draws would stay out for ever
        drawn.add(h);
        return true;
      }
      seen++;
      drawn.add(h);
    }
    return false;
  }

  private boolean usable(EndpointTable.Host h, Attempts.Call c, double now, int among) {
    return attempts.allowed(c, h, now)
        && (c.attempts.isEmpty() || !c.tried(h))
        && health.available(h, now, c.type.silentAfter())
        && health.takes(h, c.type, now)
        && (fleet.warmth(h, now) >= 1 || credit(h, now, among));
  }

  private void consider(EndpointTable.Host h, double now) {
    double count = h.inFlight + health.charge(h, now);
    double wait = fleet.expectedWait(h, now, thrifty);
    boolean take;
    if (best == null || count < bestCount - 0.5) {
      take = true;
      equals = 1;
    } else if (count > bestCount + 0.5) {
      take = false;
    } else if (Math.abs(wait - bestWait) <= Tuning.WAIT_TIE * bestWait) {
      equals++;
      take = random.nextInt(equals) == 0;
    } else {
      take = wait < bestWait;
    }
    if (take) {
      best = h;
      bestCount = count;
      bestWait = wait;
    }
  }

  /**
   * Guards rule 4 without agreement: each proxy lends a cold host the part of its own mean share
   * among so many hosts that the host's least warmth and the fall multiple allow, so the sum over
   * all stays inside. A host of the pool is shared with few proxies only, and gets what those would
   * have given to all others. What counts is what hosts serve, not what clients ask: their retries
   * multiply in a jam.
   */
  private boolean credit(EndpointTable.Host h, double now, int among) {
    Settings.Rules rules = settings.now().rules();
    double share = admission.servedRate(now) / Math.max(1, among);
    double gain =
        Tuning.COLD_SHARE
            * rules.fallMultiple()
            * fleet.warmth(h, now)
            * share
            * (now - h.coldCreditAt);
    h.coldCreditAt = now;
    h.coldCredit = Math.min(h.coldCredit + gain, 1 + share * rules.fall() / 2);
    return h.coldCredit >= 1;
  }

  /** When the draw finds nobody: any host that may get it, healthy ones first (panic). */
  private EndpointTable.Host anyAllowed(Attempts.Call c, double now) {
    List<EndpointTable.Host> all = fleet.ready();
    int n = all.size();
    int start = n == 0 ? 0 : random.nextInt(n);
    EndpointTable.Host lastResort = null;
    for (int i = 0; i < n; i++) {
      EndpointTable.Host h = all.get((start + i) % n);
      if (!attempts.allowed(c, h, now) || (fleet.warmth(h, now) < 1 && !credit(h, now, n))) {
        continue;
      }
      if (health.available(h, now, c.type.silentAfter()) && !c.tried(h)) {
        return h;
      }
      if (c.attempts.isEmpty() && (lastResort == null || h.inFlight < lastResort.inFlight)) {
        lastResort = h;
      }
    }
    return lastResort;
  }

  private void rebuild(int wanted) {
    size = wanted;
    changes = fleet.changes;
    List<EndpointTable.Host> all = fleet.ready();
    Predicate<EndpointTable.Host> near =
        h -> settings.now().zone() == null || settings.now().zone().equals(h.zone);
    local = window(all.stream().filter(near).toArray(EndpointTable.Host[]::new), wanted);
    remote = window(all.stream().filter(near.negate()).toArray(EndpointTable.Host[]::new), wanted);
  }

  /** A stable, balanced subset: proxies start evenly spread over the ring of hosts. */
  private EndpointTable.Host[] window(EndpointTable.Host[] ring, int wanted) {
    if (ring.length <= wanted) {
      return ring;
    }
    int start =
        (int) ((double) settings.now().position() * ring.length / settings.now().balancers());
    EndpointTable.Host[] out = new EndpointTable.Host[wanted];
    for (int i = 0; i < wanted; i++) {
      out[i] = ring[Math.floorMod(start + i, ring.length)];
    }
    return out;
  }
}
