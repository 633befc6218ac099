package leadferry.loadbalancer;

import java.util.SplittableRandom;

/** Outlier detection: silence, failures, ejection with growing back-off, half-open trials. */
final class OutlierDetector {
  private final EndpointTable fleet;
  private final SplittableRandom random;
  private final LoadBalancerActions actions;

  OutlierDetector(EndpointTable fleet, SplittableRandom random, LoadBalancerActions actions) {
    this.fleet = fleet;
    this.random = random;
    this.actions = actions;
  }

  /** Whether the host may be a candidate; half-open hosts get one request at a time. */
  boolean available(EndpointTable.Host h, double now, double overdue) {
    if (now < h.ejected.until) {
      return false;
    }
    if (h.ejected.trial) {
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
  boolean silent(EndpointTable.Host h, double now, double overdue) {
    return h.inFlight > 0 && unanswered(h, now, overdue);
  }

  /** Whether the host has answered nothing for so long since something was sent to it. */
  boolean unanswered(EndpointTable.Host h, double now, double overdue) {
    return Math.min(now, fleet.heard) - h.waitsSince
        > Math.max(Tuning.SILENCE_FLOOR, overdue * Math.max(1, h.slowness));
  }

  /** The host has got a request, or given a sign of life, with requests of ours still there. */
  void waits(EndpointTable.Host h, double now, boolean answered) {
    if (answered) {
      h.lastAnswer = now;
      h.waitsSince = h.inFlight > 0 ? now : Double.POSITIVE_INFINITY;
    } else {
      h.waitsSince = Math.min(h.waitsSince, now);
    }
  }

  /** The extra count that failures charge to a host: an empty failing host must not attract. */
  double charge(EndpointTable.Host h, double now) {
    return h.charge < 0.05
        ? 0
        : h.charge * Math.exp(-(now - h.chargeAt) / (fleet.settings.pace() * Tuning.CHARGE_FADE));
  }

  void succeeded(EndpointTable.Host h, double now) {
    waits(h, now, true);
    h.failShare -= Tuning.FAILURE_ALPHA * h.failShare;
    if (h.ejected.trial) {
      h.failShare = 0;
      readmit(h);
    }
  }

  void failed(EndpointTable.Host h, double now, boolean answered) {
    if (answered) {
      waits(h, now, true);
    }
    h.failShare += Tuning.FAILURE_ALPHA * (1 - h.failShare);
    h.charge = charge(h, now) + Tuning.FAILURE_CHARGE;
    h.chargeAt = now;
    if (now >= h.ejected.until
        && (h.ejected.trial || h.failShare >= Tuning.FAILURE_SHARE)
        && fleet.spares(now)) {
      eject(h, now);
    }
  }

  /** The host turned work away as full: it is charged for it, but not held to be failing. */
  void crowded(EndpointTable.Host h, double now) {
    waits(h, now, true);
    h.charge = charge(h, now) + Tuning.FAILURE_CHARGE;
    h.chargeAt = now;
    if (h.ejected.trial) {
      readmit(h);
    }
  }

  /**
   * The host turned work of a class away, or never answered it, with room to spare. Guards against
   * hosts that limit or lose one class: without it they lose those that they serve as well, and the
   * others are pushed over.
   */
  void closed(EndpointTable.Host h, Attempts.ClassState type, double now) {
    EndpointTable.Backoff b =
        h.closed.computeIfAbsent(type.rules.name(), x -> new EndpointTable.Backoff());
    if (!b.trial) {
      actions.log("host " + h.id + " closed to " + type.rules.name());
    }
    b.begin(now, fleet.settings.pace(), Tuning.CLOSED_MAX, random);
  }

  /**
   * Whether the host may be tried with the class: not while that is closed there, then once in an
   * aim.
   */
  boolean takes(EndpointTable.Host h, Attempts.ClassState type, double now) {
    return !h.closed.containsKey(type.rules.name()) || now >= h.closed.get(type.rules.name()).until;
  }

  /** A request of the class goes to the host, or, {@code served}, has been answered there. */
  void tried(EndpointTable.Host h, Attempts.ClassState type, double now, boolean served) {
    EndpointTable.Backoff b = h.closed.get(type.rules.name());
    if (b != null && b.trial) {
      b.trial = !served;
      b.until = served ? now : now + type.rules.aim();
    }
  }

  /**
   * Leaves the host out for so long on the word of others, or, with 0, takes it back as if it had
   * answered here.
   */
  void hinted(EndpointTable.Host h, double now, double length) {
    h.ejected.until = length > 0 ? Math.max(h.ejected.until, now + length) : now;
    h.ejected.trial = true;
    if (length == 0) {
      h.failShare = h.charge = 0;
      readmit(h);
    }
  }

  private void readmit(EndpointTable.Host h) {
    h.ejected.trial = false;
    actions.log("host " + h.id + " readmitted");
  }

  private void eject(EndpointTable.Host h, double now) {
    if (!h.ejected.trial) {
      actions.log("host " + h.id + " ejected");
    }
    h.ejected.begin(now, fleet.settings.pace(), Tuning.EJECT_MAX, random);
  }
}
