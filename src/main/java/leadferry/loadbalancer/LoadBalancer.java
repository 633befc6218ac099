package leadferry.loadbalancer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The decisions of one client proxy. Feed it events with a clock in ms that never goes back; it
 * answers through {@link LoadBalancerActions}. Not safe for use from several threads at once.
 */
public final class LoadBalancer {
  private static final long FOLLOW_TIMER = -1;

  private final LiveSettings settings;
  private final LoadBalancerActions actions;
  private final SplittableRandom random;
  private final EndpointTable fleet;
  private final OutlierDetector health;
  private final Attempts attempts;
  private final AdmissionController admission;
  private final EndpointPicker draw;
  private final Map<String, Attempts.ClassState> classes = new HashMap<>();
  private final Map<Long, Attempts.Call> calls = new HashMap<>();
  private double followBackoff = Tuning.FOLLOW_BACKOFF;
  private boolean followTimer;

  /** Creates an instance that knows no host yet. */
  public LoadBalancer(Settings settings, long seed, LoadBalancerActions actions) {
    this.settings = new LiveSettings(settings);
    this.actions = actions;
    this.random = new SplittableRandom(seed);
    this.fleet = new EndpointTable(this.settings);
    this.health = new OutlierDetector(fleet, random, actions);
    this.attempts = new Attempts(this.settings);
    this.admission = new AdmissionController(this.settings, random, actions);
    this.draw = new EndpointPicker(this.settings, fleet, health, attempts, admission, random);
    onSettings(settings);
  }

  /**
   * Other settings hold from now on; open requests keep their class, and no more attempts than
   * then.
   */
  public void onSettings(Settings next) {
    settings.set(next);
    admission.tenants();
    Map<String, Attempts.ClassState> before = Map.copyOf(classes);
    classes.clear();
    for (Settings.RequestClass c : next.classes()) {
      classes.put(c.name(), new Attempts.ClassState(c, before.get(c.name())));
    }
  }

  /** Called once after creation, when actions may be taken. */
  public void onStart(double now) {
    if (settings.now().mustFollow()) {
      actions.follow();
    }
  }

  /** News from discovery. */
  public void onMembership(double now, EndpointListEvent kind, List<EndpointUpdate> entries) {
    fleet.apply(now, kind, entries, random);
    if (kind == EndpointListEvent.FAILED && settings.now().mustFollow() && !followTimer) {
      // Discovery is scarce: wait longer each time, at chance, but never past what is allowed.
      followTimer = true;
      actions.schedule(followBackoff * (0.5 + random.nextDouble()), FOLLOW_TIMER);
      followBackoff =
          Math.min(2 * followBackoff, Math.max(1, settings.now().rules().askWithin() / 2));
    } else if (kind == EndpointListEvent.DELTA || kind == EndpointListEvent.FULL) {
      followBackoff = Tuning.FOLLOW_BACKOFF;
    }
  }

  /** All that came by then (ms) has been told; what came since may still stand in the process. */
  public void onHeard(double until) {
    fleet.heard = until;
  }

  /** A client's request has come. */
  public void onRequest(double now, RequestArrival arrival) {
    Attempts.ClassState type =
        classes.computeIfAbsent(
            arrival.className(),
            n -> new Attempts.ClassState(Settings.RequestClass.unknown(n, arrival.budget()), null));
    Attempts.Call c =
        new Attempts.Call(arrival.id(), type, now, arrival.budget(), settings.now().limits());
    admission.arrived(now, type.rules, arrival.tenant());
    c.standing = admission.standing(arrival.tenant());
    attempts.earnRetry();
    calls.put(c.id, c);
    boolean refused = admission.refuses(now, type.rules, c.standing);
    // Guards against a jam that only memory holds up: a host known to have room gets the request.
    EndpointTable.Host idle = refused ? draw.pick(c, now) : null;
    if (!refused) {
      dispatch(c, now);
    } else if (idle != null && fleet.idle(idle, now)) {
      send(c, idle, now);
    } else {
      admission.ended(false);
      conclude(c, now);
    }
  }

  /** An attempt has ended. {@code over} tells that the request is over with it or before. */
  public void onOutcome(
      double now,
      long request,
      int number,
      AttemptOutcome result,
      double spent,
      boolean over,
      LoadReport load) {
    Attempts.Call c = calls.get(request);
    if (c == null || number < 0 || number >= c.attempts.size() || !c.attempts.get(number).open) {
      return;
    }
    Attempts.Attempt a = c.attempts.get(number);
    fleet.notePeak(a.host, now);
    admission.inFlight(now, -attempts.finish(a, result));
    fleet.reported(a.host, now, load);
    learn(a, result, now, atHost(spent, now), c);
    if (over && !c.ended) {
      c.ended = true;
      cancelOthers(c, -1);
    } else if (!c.ended && !c.streaming) {
      again(c, now);
    }
    forgetIfDone(c);
  }

  /** What of the time since a send was the host's: its answer may have stood here unread. */
  private double atHost(double spent, double now) {
    return Math.max(0, spent - fleet.behind(now));
  }

  private void learn(
      Attempts.Attempt a, AttemptOutcome result, double now, double spent, Attempts.Call c) {
    Attempts.ClassState type = c.type;
    if (c.answering == a && result == AttemptOutcome.CANCELLED) {
      return; // it waited for its client
    }
    admission.ended(result == AttemptOutcome.OK);
    switch (result) {
      case OK -> {
        health.succeeded(a.host, now);
        health.tried(a.host, type, now, true);
        if (!c.streaming) {
          double mean = type.meanAnswer;
          type.answered(spent);
          fleet.answered(a.host, now, spent / Math.max(0.1, mean));
          fleet.queued(a.host, a.ownBefore, spent);
          // Pressure goes by all of the time: this process, too, may be what has no room.
          admission.answered(now, spent + fleet.behind(now), type.rules.aim());
        }
      }
      case ERROR -> health.failed(a.host, now, true);
      case FULL -> {
        // Guards against a jam that spreads: a full host is busy, not broken, and the worst
        // pressure.
        if (fleet.idle(a.host, now)) {
          health.waits(a.host, now, true);
          health.closed(a.host, type, now);
        } else {
          health.crowded(a.host, now);
          admission.answered(now, 2 * type.rules.aim(), type.rules.aim());
        }
      }
      case TIMEOUT, RESET, CONNECT_FAILED -> {
        // A host that has answered others since is busy, or lost this one; a silent one is broken.
        // Guards against answers lost on the way that look like a jam: a host with room had none.
        if (result == AttemptOutcome.TIMEOUT && !c.streaming && !fleet.roomy(a.host, now)) {
          admission.answered(now, spent + fleet.behind(now), type.rules.aim());
        }
        if (result != AttemptOutcome.TIMEOUT || a.host.lastAnswer <= a.sentAt) {
          health.failed(a.host, now, false);
          if (result != AttemptOutcome.RESET) {
            actions.silent(a.host.id, now, a.sentAt);
          }
          if (result == AttemptOutcome.TIMEOUT && fleet.roomy(a.host, now)) {
            health.closed(a.host, type, now);
          }
        }
      }
      case CANCELLED -> {
        // Guards against clients that give up before their time-out would tell of a silent host.
        if (health.unanswered(a.host, now, type.silentAfter())) {
          health.failed(a.host, now, false);
          actions.silent(a.host.id, now, a.sentAt);
        }
      }
      default -> {} // moot: the host had no part in it
    }
  }

  private void again(Attempts.Call c, double now) {
    if (c.open > 0) {
      return; // another attempt may still answer
    }
    // Where answers come late, a further attempt would only feed the jam.
    if (now < c.deadline - Tuning.LAST_SEND
        && admission.pressure(now) <= Tuning.REFUSE_FROM + Tuning.REFUSE_SPAN / 2
        && attempts.takeRetry()) {
      dispatch(c, now);
    } else {
      conclude(c, now);
    }
  }

  /** The answer to a streamed request has begun; the attempt now belongs to the client. */
  public void onFirstByte(double now, long request, int number, double spent) {
    Attempts.Call c = calls.get(request);
    if (c == null || c.ended || c.streaming || number < 0 || number >= c.attempts.size()) {
      return;
    }
    Attempts.Attempt a = c.attempts.get(number);
    // Guards against slow readers of long answers that look like busy hosts: the work is done.
    admission.inFlight(now, -attempts.leave(a));
    learn(a, AttemptOutcome.OK, now, atHost(spent, now), c);
    c.streaming = true;
    c.answering = a;
    cancelOthers(c, number);
  }

  /** The client has gone; attempts that are out still get their outcome. */
  public void onClientGone(double now, long request) {
    Attempts.Call c = calls.get(request);
    if (c != null && !c.ended) {
      c.ended = true;
      cancelOthers(c, -1);
      forgetIfDone(c);
    }
  }

  /** A host has told its load outside of an attempt. */
  public void onReport(double now, long host, LoadReport load) {
    fleet.reported(fleet.get(host), now, load);
  }

  /**
   * What peers agree on: the host is silent, and stays out for so long (ms), or, with 0, answers. A
   * hint, no more.
   */
  public void onHint(double now, long host, double length) {
    EndpointTable.Host h = fleet.get(host);
    if (h != null && (length > 0 ? fleet.spares(now) : h.ejected.trial)) {
      health.hinted(h, now, length);
    }
  }

  /** A timer has come due. */
  public void onTimer(double now, long token) {
    if (token == FOLLOW_TIMER) {
      followTimer = false;
      actions.follow();
      return;
    }
    Attempts.Call c = calls.get(token);
    if (c == null || c.ended || c.streaming) {
      return;
    }
    if (c.open > 0) {
      overdue(c, now);
    }
  }

  /** The last attempt is overdue: a second copy, or where only one may be out, another in place. */
  private void overdue(Attempts.Call c, double now) {
    // Guards against copies of costly requests feeding a jam: only silence earns a second copy.
    Attempts.Attempt last = c.attempts.get(c.attempts.size() - 1);
    if (now >= c.deadline - Tuning.LAST_SEND
        || admission.pressure(now) > Tuning.REFUSE_FROM
        || !health.silent(last.host, now, 0.99 * c.type.overdueAfter())) {
      return;
    }
    if (settings.now().limits().parallelTries()) {
      EndpointTable.Host h = attempts.takeRetry() ? draw.pick(c, now) : null;
      if (h != null) {
        send(c, h, now);
      }
    } else if (settings.now().limits().cancel() && !last.cancelled) {
      last.cancelled = true;
      actions.cancel(c.id, last.number);
    }
  }

  private void dispatch(Attempts.Call c, double now) {
    EndpointTable.Host h = draw.pick(c, now);
    // Guards against a jam: where even the winner can't answer in time, no work is begun.
    if (h == null || (c.attempts.isEmpty() && draw.late(c, h, now))) {
      conclude(c, now);
    } else {
      send(c, h, now);
    }
  }

  private void send(Attempts.Call c, EndpointTable.Host h, double now) {
    attempts.start(c, h, now);
    h.coldCredit -= fleet.warmth(h, now) < 1 ? 1 : 0;
    fleet.notePeak(h, now);
    health.waits(h, now, false);
    health.tried(h, c.type, now, false);
    admission.inFlight(now, 1);
    actions.send(c.id, h.id, c.type.rules.repeatsWithin() - Tuning.WINDOW_MARGIN);
    double due = c.type.overdueAfter() * Math.max(1, fleet.slowness(h, now));
    if (c.type.repeatable() && now + due < c.deadline && c.attempts.size() < 3) {
      actions.schedule(due, c.id);
    }
  }

  /** The final answer, where no attempt can bring it any more. */
  private void conclude(Attempts.Call c, double now) {
    if (attempts.allowed(c, null, now)) {
      // A client that asks again at once meets the same queue; later than this its aim is gone.
      double wait =
          settings.now().limits().retryAfter() ? Tuning.COME_BACK * c.type.rules.aim() : 0;
      actions.refuse(c.id, wait);
    } else {
      actions.fail(c.id);
    }
    c.ended = true;
    forgetIfDone(c);
  }

  private void cancelOthers(Attempts.Call c, int keep) {
    if (c.open == 0 || !settings.now().limits().cancel()) {
      return;
    }
    for (Attempts.Attempt a : c.attempts) {
      if (a.open && a.number != keep && !a.cancelled) {
        a.cancelled = true;
        actions.cancel(c.id, a.number);
      }
    }
  }

  private void forgetIfDone(Attempts.Call c) {
    if (c.ended && c.open == 0) {
      calls.remove(c.id);
    }
  }
}
