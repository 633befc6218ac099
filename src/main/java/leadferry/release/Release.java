package leadferry.release;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import leadferry.disruption.DisruptionState;
import leadferry.disruption.Outcome;
import leadferry.disruption.Outcome.Status;
import leadferry.disruption.Target;
import leadferry.disruption.TargetType;
import leadferry.release.ReleaseTarget.At;
import leadferry.release.ReleaseTarget.Phase;

/**
 * One release, as the log's entries have brought it about.
 *
 * <pre>
 *            intended, acting, observed, verdict
 *                      |   |
 *   start --> RUNNING (forward) --last step judged--> DONE --back--> RUNNING (back) --> RETURNED
 *                |  ^                                                  ^      |
 *        pause,  |  | resume, override                                 | back | halt, pause
 *        halt    v  |                                                  |      v
 *               PAUSED, HALTED ----------------------------------------+---- HALTED, PAUSED
 * </pre>
 *
 * <p>Who may be out is not decided here: each target goes out by a permit of {@link
 * DisruptionState}, under all budgets, so a release never takes out more than drains might, and
 * forward and back alike. What is decided here is who is next, by whose hand (the driver's fence),
 * and whether it goes on at all. What is done to a target is told to the log before it is done
 * ({@code intended}, {@code acting}) and after it was seen ({@code observed}); an action whose
 * driver was lost is looked at by the next one, never assumed.
 */
final class Release {
  /** Where it stands. */
  enum State {
    RUNNING,
    PAUSED,
    HALTED,
    DONE,
    RETURNED,
    /** Given up as it stands. */
    ENDED;

    String word() {
      return name().toLowerCase(java.util.Locale.ROOT);
    }

    boolean over() {
      return this == DONE || this == RETURNED || this == ENDED;
    }
  }

  /** So often an action is begun anew at one target before the release halts. */
  private static final int MOST_TRIES = 3;

  final ReleasePlan plan;
  final long number;
  final String who;
  final String why;
  State state = State.RUNNING;
  String stateWhy = "";
  boolean forward = true;

  /** So many steps, from the first one on, are to be new. */
  int goal = 1;

  /** The driver, its lease and its fence; "" where there is none. */
  String driver = "";

  long driverLeaseMs;
  long fence;

  /**
   * Since which change all targets of the goal's steps are what they are to be and in service, 0
   * while they are not.
   */
  long baking;

  /** That has lasted for the step's baking time. */
  boolean baked;

  private boolean longestOver;
  private boolean lostDriver;
  private long orders;
  private final Set<String> forgiven = new TreeSet<>();
  private final Map<String, ReleaseTarget> items = new LinkedHashMap<>();

  Release(ReleasePlan plan, long number, String who, String why) {
    this.plan = plan;
    this.number = number;
    this.who = who;
    this.why = why;
    for (int s = 0; s < plan.steps().size(); s++) {
      for (String t : plan.steps().get(s).targets()) {
        items.put(t, new ReleaseTarget(t, s));
      }
    }
  }

  // --- drivers

  /** A driver asks for the lead; {@code next} is the fence that it would get. */
  Outcome drive(String name, long leaseMs, long next) {
    if (state.over()) {
      return Outcome.of(Status.REFUSED, "release " + plan.name() + " is " + state.word());
    }
    if (driver.equals(name)) {
      return Outcome.numbered(Status.DONE, fence);
    }
    if (!driver.isEmpty()) {
      return Outcome.of(Status.REFUSED, "driven by " + driver);
    }
    if (lostDriver && plan.haltOnTakeover() && state == State.RUNNING) {
      halt("its driver was lost");
    }
    lostDriver = false;
    driver = name;
    driverLeaseMs = leaseMs;
    fence = next;
    return Outcome.numbered(Status.DONE, fence);
  }

  /** The driver has gone, by its own word or because nothing was heard of it. */
  void undriven(long of, boolean byItself) {
    if (of == fence && !driver.isEmpty()) {
      driver = "";
      lostDriver = !byItself;
    }
  }

  private Outcome notMine(long of) {
    return driver.isEmpty() || of != fence
        ? Outcome.of(
            Status.CONFLICT,
            "fence "
                + of
                + " (expected: "
                + (driver.isEmpty() ? "a driver's that holds its lease" : fence + ", of " + driver)
                + ")")
        : null;
  }

  // --- what a driver does

  /** Asks for a target to go out; {@code action} is the number that its action would get. */
  Outcome intend(long of, String name, long action, DisruptionState disruption) {
    Outcome no = notMine(of);
    if (no != null) {
      return no;
    }
    ReleaseTarget i = items.get(name);
    if (i == null) {
      return Outcome.of(Status.UNKNOWN, "no target '" + name + "'");
    }
    if (i.phase != Phase.IN && i.fence == of && i.tries == 0) {
      return new Outcome(Status.GRANTED, i.permit, List.of(), i.action); // asked again
    }
    if (state != State.RUNNING) {
      return Outcome.of(
          state == State.HALTED ? Status.HALTED : Status.REFUSED,
          "release " + plan.name() + " is " + state.word() + why(stateWhy));
    }
    boolean stuck = i.phase == Phase.COMING && !forward;
    if ((i.phase != Phase.IN && !stuck) || i.at == wanted(i) || i.gone) {
      return Outcome.of(Status.REFUSED, name + " is not to be changed now");
    }
    long open = items.values().stream().filter(x -> x != i && x.phase != Phase.IN).count();
    int atOnce = plan.steps().get(i.step).atOnce();
    if (open >= atOnce) {
      return Outcome.of(Status.REFUSED, open + " of " + atOnce + " at once are under way");
    }
    String out = disruption.out(plan.of(), name);
    if (out != null) {
      // On the way back one that is lost, by the new version perhaps, is not waited for: it counts
      // as out already.
      String permit =
          forward ? "" : disruption.hold(plan.of(), name, "release " + plan.name(), "the way back");
      if (permit.isEmpty()) {
        return Outcome.of(Status.REFUSED, name + " is out: " + out);
      }
      begin(i, permit, action, of);
      return new Outcome(Status.GRANTED, permit, List.of(), action);
    }
    Outcome o =
        disruption.drain(
            plan.of(),
            name,
            0,
            false,
            "release " + plan.name(),
            plan.version() + ", step " + plan.steps().get(i.step).name());
    if (o.status() != Status.GRANTED) {
      return o;
    }
    begin(i, o.permit(), action, of);
    return new Outcome(Status.GRANTED, o.permit(), List.of(), action);
  }

  private static void begin(ReleaseTarget i, String permit, long action, long fence) {
    i.phase = Phase.LEAVING;
    i.permit = permit;
    i.action = action;
    i.fence = fence;
    i.tries = 0;
    i.late = false;
    i.found = "";
  }

  /** What changes the target is about to be begun: from here on it may have run. */
  Outcome acting(long of, String name, long action, DisruptionState disruption) {
    Outcome no = notMine(of);
    if (no != null) {
      return no;
    }
    ReleaseTarget i = items.get(name);
    if (i == null || i.action != action || (i.phase != Phase.LEAVING && i.phase != Phase.ACTING)) {
      return Outcome.of(Status.CONFLICT, name + ": not action " + action);
    }
    if (state != State.RUNNING) {
      return Outcome.of(
          state == State.HALTED ? Status.HALTED : Status.REFUSED,
          "release " + plan.name() + " is " + state.word());
    }
    if (!disruption.carriedOut(i.permit)) {
      return Outcome.of(Status.REFUSED, name + " is not out everywhere yet");
    }
    if (i.at == wanted(i)) {
      return Outcome.of(Status.REFUSED, name + " is what it is to be");
    }
    // One whose driver was lost is begun anew by the next: that is on record, and raises the number
    // that old commands are turned away by.
    if (i.phase == Phase.ACTING && i.found.isEmpty() && i.fence == of) {
      return Outcome.of(Status.REFUSED, name + " was acted on and not looked at since");
    }
    if (i.tries >= MOST_TRIES) {
      halt(name + ": begun " + i.tries + " times, and found " + i.found);
      return Outcome.of(Status.HALTED, stateWhy);
    }
    i.phase = Phase.ACTING;
    i.at = At.UNKNOWN;
    i.fence = of;
    i.found = "";
    i.reported = "";
    i.tries++;
    i.actedAt = disruption.changes();
    return Outcome.numbered(Status.DONE, action);
  }

  /**
   * What the target was seen to be after its action, or before any; "" where nothing that could be
   * named was there.
   */
  Outcome observed(
      long of, String name, long action, String version, String text, DisruptionState disruption) {
    Outcome no = notMine(of);
    if (no != null) {
      return no;
    }
    ReleaseTarget i = items.get(name);
    if (i == null || i.action != action) {
      return Outcome.of(Status.CONFLICT, name + ": not action " + action);
    }
    if (i.phase == Phase.COMING || i.phase == Phase.IN) {
      return Outcome.numbered(Status.DONE, action); // told again
    }
    i.fence = of;
    i.found = version.isEmpty() ? "nothing that tells its version" : version;
    i.at =
        version.equals(plan.version()) ? At.NEW : version.equals(plan.from()) ? At.OLD : At.UNKNOWN;
    boolean untouched = i.phase == Phase.LEAVING;
    if (i.at == wanted(i) || (i.at != At.UNKNOWN && state != State.RUNNING && !i.held)) {
      disruption.undo(
          i.permit,
          "release " + plan.name() + ": " + (untouched ? "given back untouched" : i.found));
      i.phase = Phase.COMING;
      i.held = false;
      return Outcome.numbered(Status.DONE, action);
    }
    if (state == State.RUNNING && (i.at == At.UNKNOWN || i.tries >= MOST_TRIES)) {
      halt(
          name
              + " after "
              + i.tries
              + " tries: found "
              + i.found
              + (text.isEmpty() ? "" : "; " + text));
    }
    return Outcome.numbered(Status.DONE, action);
  }

  /** An agent's word of the action that it was given: what the target is now. */
  Outcome reported(String name, long action, int tries, String version) {
    ReleaseTarget i = items.get(name);
    if (i == null || i.phase != Phase.ACTING || i.action != action || i.tries != tries) {
      return Outcome.of(
          Status.CONFLICT,
          name
              + ": action "
              + action
              + ", try "
              + tries
              + " is not under way"
              + (i == null ? "" : " (expected: " + i.action + ", " + i.tries + ")"));
    }
    i.reported = version;
    return Outcome.of(Status.DONE);
  }

  /** A judgement of the step that has baked, with its evidence. */
  Outcome verdict(long of, int step, boolean go, String evidence) {
    Outcome no = notMine(of);
    if (no != null) {
      return no;
    }
    if (state != State.RUNNING || !forward || step != goal - 1) {
      return Outcome.of(Status.CONFLICT, "step " + step + " is not the one that is to be judged");
    }
    if (!go) {
      halt("step " + plan.steps().get(step).name() + ": " + evidence);
      if (plan.backOnVerdict()) {
        return back(0, "by verdict: " + evidence);
      }
      return Outcome.of(Status.DONE);
    }
    if (!baked) {
      return Outcome.of(Status.REFUSED, "step " + plan.steps().get(step).name() + " has not baked");
    }
    advance(evidence);
    return Outcome.of(Status.DONE);
  }

  private void advance(String evidence) {
    unbake();
    if (goal < plan.steps().size()) {
      goal++;
    } else if (items.values().stream().allMatch(i -> i.gone || i.at == At.NEW)) {
      become(State.DONE, evidence);
    }
  }

  // --- what operators ask

  Outcome pause(String text) {
    if (state != State.RUNNING) {
      return notNow("running");
    }
    become(State.PAUSED, text);
    return Outcome.of(Status.DONE);
  }

  Outcome resume(String text) {
    if (state != State.PAUSED && state != State.HALTED) {
      return notNow("paused or halted");
    }
    become(State.RUNNING, text);
    tryAnew();
    longestOver = false;
    return Outcome.of(Status.DONE);
  }

  Outcome halted(String text) {
    if (state.over()) {
      return notNow("under way");
    }
    halt(text.isEmpty() ? "halted" : text);
    return Outcome.of(Status.DONE);
  }

  /** The way back, until only the first {@code toStep} steps are new. */
  Outcome back(int toStep, String text) {
    if (toStep < 0 || toStep >= plan.steps().size()) {
      return Outcome.of(
          Status.MALFORMED,
          "to_step: " + toStep + " (expected: 0 to " + (plan.steps().size() - 1) + ")");
    }
    if (state == State.RETURNED || state == State.ENDED) {
      return notNow("under way or done");
    }
    forward = false;
    goal = Math.min(goal, toStep);
    unbake();
    become(State.RUNNING, text);
    tryAnew();
    return Outcome.of(Status.DONE);
  }

  /**
   * Operators want it tried again: each action has its time anew, and one more try at the least.
   */
  private void tryAnew() {
    for (ReleaseTarget i : items.values()) {
      i.late = false;
      i.tries = Math.min(i.tries, MOST_TRIES - 1);
    }
  }

  /**
   * An operator's word against a guard: the step that has baked is good, or the lost are no reason.
   */
  Outcome override(String what, String text, DisruptionState disruption) {
    switch (what) {
      case "verdict" -> {
        if (!forward || state.over() || !baked) {
          return notNow("waiting for a verdict on a step that has baked");
        }
        become(State.RUNNING, text);
        advance("overridden: " + text);
      }
      case "lost" -> forgiven.addAll(lost(disruption.lost()));
      default -> {
        return Outcome.of(Status.MALFORMED, "what: '" + what + "' (expected: verdict or lost)");
      }
    }
    return Outcome.of(Status.DONE);
  }

  /** Gives it up as it stands, so that another release may have its targets. */
  Outcome end(String text) {
    if (items.values().stream().anyMatch(i -> i.phase != Phase.IN)) {
      return Outcome.of(
          Status.REFUSED, "targets are under way: halt it, and wait until they are back");
    }
    become(State.ENDED, text);
    return Outcome.of(Status.DONE);
  }

  private Outcome notNow(String expected) {
    return Outcome.of(
        Status.REFUSED,
        "release " + plan.name() + " is " + state.word() + " (expected: " + expected + ")");
  }

  private static String why(String text) {
    return text.isEmpty() ? "" : ": " + text;
  }

  void halt(String text) {
    become(State.HALTED, text);
  }

  private void become(State next, String text) {
    state = next;
    stateWhy = text;
  }

  private void unbake() {
    baking = 0;
    baked = false;
  }

  // --- time

  /** What runs out, and after how long (ms). */
  void timers(Map<String, Long> to) {
    if (!driver.isEmpty()) {
      to.put("release-driver:" + plan.name() + ":" + fence, driverLeaseMs);
    }
    if (state == State.RUNNING) {
      if (!longestOver) {
        to.put("release-longest:" + plan.name() + ":" + number, plan.longestMs());
      }
      if (baking > 0 && !baked) {
        to.put("release-bake:" + plan.name() + ":" + baking, plan.steps().get(goal - 1).bakeMs());
      }
      for (ReleaseTarget i : items.values()) {
        if (i.phase != Phase.IN && !i.late && !i.held) {
          to.put("release-action:" + plan.name() + ":" + i.action, plan.actionMs());
        }
      }
    }
  }

  void timeout(String kind, long n) {
    switch (kind) {
      case "release-driver" -> undriven(n, false);
      case "release-longest" -> {
        longestOver = true;
        halt("its time of " + plan.longestMs() + " ms is over");
      }
      case "release-bake" -> baked = true;
      default -> {
        for (ReleaseTarget i : items.values()) {
          if (i.action == n && i.phase != Phase.IN) {
            i.late = true;
            halt(
                i.name
                    + " is not back in service after "
                    + plan.actionMs()
                    + " ms: "
                    + word(i)
                    + (i.found.isEmpty() ? "" : ", found " + i.found));
          }
        }
      }
    }
  }

  // --- what follows from all that

  private At wanted(ReleaseTarget i) {
    return i.step < goal ? At.NEW : At.OLD;
  }

  /** Lost ones that this release has not taken out itself. */
  private Set<String> lost(Set<String> all) {
    Set<String> lost = new TreeSet<>(all);
    items.values().stream().filter(i -> i.phase != Phase.IN).forEach(i -> lost.remove(i.name));
    lost.removeAll(forgiven);
    return lost;
  }

  /**
   * Takes note of what the entry before has changed in the fleet.
   *
   * @param action gives numbers of actions
   * @param newest whether no later release has any of its targets: only then what it has done still
   *     counts
   */
  void look(DisruptionState disruption, java.util.function.LongSupplier action, boolean newest) {
    if (state == State.ENDED || state == State.RETURNED || (state == State.DONE && !newest)) {
      return;
    }
    Set<String> known = disruption.byName(plan.of()).keySet();
    for (ReleaseTarget i : items.values()) {
      if (i.phase == Phase.COMING && disruption.out(plan.of(), i.name) == null) {
        i.phase = Phase.IN;
        i.permit = "";
        i.late = false;
        i.order = ++orders;
      }
      i.gone = i.phase == Phase.IN && !known.contains(i.name);
      wrong(i, disruption, action);
    }
    if (state == State.DONE) {
      items.values().stream()
          .filter(i -> !i.gone && i.at != At.NEW)
          .findFirst()
          .ifPresent(i -> become(State.RUNNING, i.name + " came back with " + i.found));
    }
    if (state == State.RUNNING && !disruption.halted().isEmpty()) {
      halt("the fleet is halted: " + disruption.halted());
    }
    Set<String> allLost = disruption.lost();
    Set<String> lost = lost(allLost);
    forgiven.retainAll(allLost);
    if (state == State.RUNNING && plan.haltLost() > 0 && lost.size() >= plan.haltLost()) {
      halt("lost meanwhile: " + String.join(", ", lost));
    }
    if (state == State.RUNNING && forward && !plan.skipMissing()) {
      // What is lost after it was changed speaks against the change, whatever else may be lost.
      items.values().stream()
          .filter(i -> i.phase == Phase.IN && i.at == At.NEW && lost.contains(i.name))
          .findFirst()
          .ifPresent(i -> halt(i.name + " is new, and lost"));
    }
    boolean all = whole(disruption, allLost);
    if (state == State.RUNNING && forward) {
      if (!all) {
        unbake();
      } else if (baking == 0) {
        baking = disruption.changes() + 1;
      }
    } else if (state == State.RUNNING
        && all
        && items.values().stream().allMatch(i -> i.gone || i.at == wanted(i))) {
      become(
          goal == 0 ? State.RETURNED : State.HALTED,
          goal == 0 ? stateWhy : "back to step " + goal + ", as asked");
      forward |= state == State.HALTED;
    }
  }

  /**
   * Who comes back with another version than it was given was down while it was changed, or was
   * changed by somebody else.
   */
  private void wrong(
      ReleaseTarget i, DisruptionState disruption, java.util.function.LongSupplier action) {
    String told =
        plan.of() == TargetType.PROXY && i.phase == Phase.IN ? disruption.version(i.name, -1) : "";
    At at = told.equals(plan.version()) ? At.NEW : told.equals(plan.from()) ? At.OLD : At.UNKNOWN;
    if (told.isEmpty() || told.equals(DisruptionState.NO_VERSION) || at == i.at) {
      return;
    }
    i.at = at;
    i.found = told;
    String permit =
        plan.hold() && at != wanted(i)
            ? disruption.hold(plan.of(), i.name, "release " + plan.name(), "came back with " + told)
            : "";
    if (!permit.isEmpty()) {
      begin(i, permit, action.getAsLong(), 0);
      i.found = told;
      i.held = true;
    }
  }

  /**
   * Whether every target of the goal's steps, and on the way back every target, is what it is to
   * be, and in service.
   */
  private boolean whole(DisruptionState disruption, Set<String> lost) {
    for (ReleaseTarget i : items.values()) {
      if (i.gone || (forward && i.step >= goal)) {
        continue;
      }
      boolean missing = i.phase == Phase.IN && lost.contains(i.name);
      if (missing && plan.skipMissing()) {
        continue;
      }
      if (i.phase != Phase.IN || i.at != wanted(i) || disruption.out(plan.of(), i.name) != null) {
        return false;
      }
    }
    return true;
  }

  boolean holds(String permit) {
    return !permit.isEmpty()
        && items.values().stream().anyMatch(i -> i.permit.equals(permit) && i.phase != Phase.IN);
  }

  boolean shares(ReleasePlan other) {
    return plan.of() == other.of() && other.targets().stream().anyMatch(items::containsKey);
  }

  private static String word(Enum<?> e) {
    return e.name().toLowerCase(java.util.Locale.ROOT);
  }

  private static String word(ReleaseTarget i) {
    return word(i.phase);
  }

  /** All that staff and drivers go by. */
  void status(ObjectNode to, DisruptionState disruption) {
    plan.write(to);
    to.put("number", number)
        .put("who", who)
        .put("why", why)
        .put("state", state.word())
        .put("state_why", stateWhy);
    to.put("direction", forward ? "forward" : "back")
        .put("goal", goal)
        .put("driver", driver)
        .put("fence", fence);
    to.put("baking", baking).put("baked", baked);
    Set<String> lost = disruption.lost();
    Map<String, Target> subjects = disruption.byName(plan.of());
    ArrayNode is = to.putArray("targets");
    for (ReleaseTarget i : items.values()) {
      ObjectNode n =
          is.addObject()
              .put("name", i.name)
              .put("step", i.step)
              .put("phase", word(i.phase))
              .put("at", word(i.at));
      n.put("wanted", word(wanted(i)))
          .put("permit", i.permit)
          .put("action", i.action)
          .put("fence", i.fence)
          .put("tries", i.tries);
      n.put("found", i.found)
          .put("late", i.late)
          .put("held", i.held)
          .put("gone", i.gone)
          .put("order", i.order);
      n.put("lost", lost.contains(i.name))
          .put("out", disruption.out(plan.of(), i.name))
          .put("zone", subjects.containsKey(i.name) ? subjects.get(i.name).zone() : Target.NONE);
      n.put("carried_out", i.phase == Phase.LEAVING && disruption.carriedOut(i.permit));
      // What a proxy tells of itself since its action began is the sight of it.
      String told =
          plan.of() == TargetType.PROXY && i.phase == Phase.ACTING
              ? disruption.version(i.name, i.actedAt)
              : "";
      n.put("told", told.isEmpty() ? i.reported : told);
      if (i.phase == Phase.LEAVING && plan.of() == TargetType.HOST) {
        ObjectNode w = n.putObject("awaited");
        disruption.awaited(i.permit).forEach(w::put);
      }
    }
  }

  // --- snapshots

  void snapshot(ObjectNode to) {
    plan.write(to.putObject("plan"));
    to.put("number", number)
        .put("who", who)
        .put("why", why)
        .put("state", state.name())
        .put("state_why", stateWhy);
    to.put("forward", forward)
        .put("goal", goal)
        .put("driver", driver)
        .put("driver_lease_ms", driverLeaseMs)
        .put("fence", fence);
    to.put("baking", baking)
        .put("baked", baked)
        .put("longest_over", longestOver)
        .put("lost_driver", lostDriver)
        .put("orders", orders);
    forgiven.forEach(to.putArray("forgiven")::add);
    ArrayNode is = to.putArray("items");
    for (ReleaseTarget i : items.values()) {
      ObjectNode n =
          is.addObject()
              .put("name", i.name)
              .put("phase", i.phase.name())
              .put("at", i.at.name())
              .put("permit", i.permit);
      n.put("action", i.action)
          .put("fence", i.fence)
          .put("acted_at", i.actedAt)
          .put("tries", i.tries)
          .put("found", i.found)
          .put("reported", i.reported);
      n.put("late", i.late).put("held", i.held).put("gone", i.gone).put("order", i.order);
    }
  }

  static Release restore(JsonNode n) {
    Release r =
        new Release(
            ReleasePlan.read(n.path("plan"), new ArrayList<>()),
            n.path("number").asLong(),
            n.path("who").asText(),
            n.path("why").asText());
    r.state = State.valueOf(n.path("state").asText());
    r.stateWhy = n.path("state_why").asText();
    r.forward = n.path("forward").asBoolean();
    r.goal = n.path("goal").asInt();
    r.driver = n.path("driver").asText();
    r.driverLeaseMs = n.path("driver_lease_ms").asLong();
    r.fence = n.path("fence").asLong();
    r.baking = n.path("baking").asLong();
    r.baked = n.path("baked").asBoolean();
    r.longestOver = n.path("longest_over").asBoolean();
    r.lostDriver = n.path("lost_driver").asBoolean();
    r.orders = n.path("orders").asLong();
    n.path("forgiven").forEach(f -> r.forgiven.add(f.asText()));
    for (JsonNode x : n.path("items")) {
      ReleaseTarget i = r.items.get(x.path("name").asText());
      i.phase = Phase.valueOf(x.path("phase").asText());
      i.at = At.valueOf(x.path("at").asText());
      i.permit = x.path("permit").asText();
      i.action = x.path("action").asLong();
      i.fence = x.path("fence").asLong();
      i.actedAt = x.path("acted_at").asLong();
      i.tries = x.path("tries").asInt();
      i.found = x.path("found").asText();
      i.reported = x.path("reported").asText();
      i.late = x.path("late").asBoolean();
      i.held = x.path("held").asBoolean();
      i.gone = x.path("gone").asBoolean();
      i.order = x.path("order").asLong();
    }
    return r;
  }
}
