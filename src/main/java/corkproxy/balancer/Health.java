package corkproxy.balancer;

import java.util.SplittableRandom;

/** Outlier detection: silence, failures, ejection with growing back-off, half-open trials. */
final class Health {
  private final Fleet fleet;
  private final SplittableRandom random;
  private final Actions actions;

  Health(Fleet fleet, SplittableRandom random, Actions actions) {
    this.fleet = fleet;
    this.random = random;
    this.actions = actions;
  }

  /** Whether the host may be a candidate; half-open hosts get one request at a time. */
  boolean available(Fleet.Host h, double now, double overdue) {
    if (now < h.ejectedUntil) {
      return false;
    }
    if (h.halfOpen) {
      return h.inFlight == 0;
    }
    return !silent(h, now, overdue);
  }

  /**
   * Guards against hosts that take work and answer nothing, hung or behind a queue of requests that
   * nobody waits for any more: time-outs tell of them too late. Such a host gets one request at a
   * time, and silence lasts from the first send without an answer since, however that one ended. It
   * can hurt where single answers regularly take longer than the aim.
   */
  boolean silent(Fleet.Host h, double now, double overdue) {
    return h.working() > 0 && unanswered(h, now, overdue);
  }

  /** Whether the host has answered nothing for so long since something was sent to it. */
  boolean unanswered(Fleet.Host h, double now, double overdue) {
    return Math.min(now, fleet.heard) - h.waitsSince > Math.max(Tuning.SILENCE_FLOOR, overdue * Math.max(1, h.slowness));
  }

  /** The host has got a request, or given a sign of life, with requests of ours still there. */
  void waits(Fleet.Host h, double now, boolean answered) {
    if (answered) {
      h.lastAnswer = now;
      h.waitsSince = h.working() > 0 ? now : Double.POSITIVE_INFINITY;
    } else {
      h.waitsSince = Math.min(h.waitsSince, now);
    }
  }

  /** The extra count that failures charge to a host: an empty failing host must not attract. */
  double charge(Fleet.Host h, double now) {
    return h.charge < 0.05 ? 0 : h.charge * Math.exp(-(now - h.chargeAt) / (fleet.pace() * Tuning.CHARGE_FADE));
  }

  void succeeded(Fleet.Host h, double now) {
    waits(h, now, true);
    h.failuresInRow = 0;
    h.failShare -= Tuning.FAILURE_ALPHA * h.failShare;
    if (h.halfOpen) {
      h.failShare = 0;
      readmit(h);
    }
  }

  void failed(Fleet.Host h, double now, boolean answered) {
    if (answered) {
      waits(h, now, true);
    }
    h.failuresInRow++;
    h.failShare += Tuning.FAILURE_ALPHA * (1 - h.failShare);
    h.charge = charge(h, now) + Tuning.FAILURE_CHARGE;
    h.chargeAt = now;
    if (now >= h.ejectedUntil
        && (h.halfOpen
            || h.failuresInRow >= Tuning.FAILURES_IN_A_ROW
            || h.failShare >= Tuning.FAILURE_SHARE)
        && fleet.spares(now)) {
      eject(h, now);
    }
  }

  /** The host turned work away as full: it is charged for it, but not held to be failing. */
  void crowded(Fleet.Host h, double now) {
    waits(h, now, true);
    h.charge = charge(h, now) + Tuning.FAILURE_CHARGE;
    h.chargeAt = now;
    if (h.halfOpen) {
      readmit(h);
    }
  }

  private void readmit(Fleet.Host h) {
    h.halfOpen = false;
    actions.log("host " + h.id + " readmitted");
  }

  private void eject(Fleet.Host h, double now) {
    if (now - h.lastEjection > fleet.pace() * Tuning.EJECT_FORGET) {
      h.ejections = 0;
    }
    double length = fleet.pace() * Math.min(Tuning.EJECT_MAX, Tuning.EJECT_BASE * Math.pow(2, h.ejections));
    h.ejections++;
    h.lastEjection = now;
    // Spread, so that many proxies do not try the host again in the same moment.
    h.ejectedUntil = now + length * (0.75 + 0.5 * random.nextDouble());
    if (!h.halfOpen) {
      actions.log("host " + h.id + " ejected");
    }
    h.halfOpen = true;
  }
}
