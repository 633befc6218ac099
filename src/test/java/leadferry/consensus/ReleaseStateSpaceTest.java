package leadferry.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import leadferry.consensus.StateSpaceExplorer.Step;
import leadferry.disruption.DisruptionState;
import leadferry.disruption.ProxyMemberView;
import leadferry.release.CommandResult;
import leadferry.release.DriverAction;
import leadferry.release.ReleaseCommandCodec;
import leadferry.release.ReleaseController;
import leadferry.release.ReleaseView;
import leadferry.release.ReleaseViewCodec;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A release of two proxies of three, one allowed out: two drivers of which one crashes and one
 * stands still, commands that come late, a member lost, a halt, a rollback. The real ledger,
 * members and controllers; who serves, and what was run, is kept beside them.
 */
class ReleaseStateSpaceTest {
  private static final List<String> PROXIES = List.of("a", "b", "c");
  private static final String RELEASE = "r";

  /** A proxy's process, and the supervisor's memory of its fence. */
  private static final class Process {
    String version = "v1";
    long session;
    int incarnation;
    long number;
    ProxyMemberView view;
    boolean runs = true;
    long fence;

    boolean serves() {
      return runs && !view.away();
    }
  }

  private static final class Driver {
    ReleaseController controller;
    int lives;
    boolean stalled;
    final List<DriverAction> todo = new ArrayList<>();
  }

  /** A command on its way: it lands whatever becomes of its driver. */
  private record Flight(ReleaseController of, DriverAction what) {}

  private static final class World implements StateSpaceExplorer.World {
    FleetStateMachine ledger = new FleetStateMachine(new DisruptionState.Times(10, 10, 10));
    final Map<String, Process> processes = new TreeMap<>();
    final Map<String, Driver> drivers = new TreeMap<>();
    final List<Flight> flights = new ArrayList<>();
    final Set<String> ran = new HashSet<>();
    final boolean checks;
    String broken = "";
    long now;
    int crashes;
    int stalls;
    int losses;
    int orders;

    /** {@code begun} steps of an undisturbed release by X have been taken. */
    World(boolean checks, int begun) {
      this.checks = checks;
      for (String p : PROXIES) {
        processes.put(p, new Process());
        join(p);
      }
      timers().forEach(t -> apply(FleetStateMachine.ranOut(t)));
      ObjectNode plan =
          Json.object()
              .put("name", RELEASE)
              .put("of", "proxy")
              .put("version", "v2")
              .put("from", "v1")
              .put("halt_lost", 0);
      plan.putArray("steps")
          .addObject()
          .put("name", "all")
          .put("at_once", 2)
          .putArray("targets")
          .add("a")
          .add("b");
      ObjectNode carry = plan.putObject("carry").put("by", "command");
      carry.putArray("command").add("restart");
      if (checks) {
        carry.putArray("check").add("check");
      }
      if (!apply(Json.object().put("op", "release_start").<ObjectNode>set("plan", plan))
          .path("status")
          .asText()
          .equals("done")) {
        throw new IllegalStateException();
      }
      for (String d : List.of("X", "Y")) {
        drivers.put(d, new Driver());
        born(d);
      }
      for (int i = 0; i < begun; i++) {
        looks(drivers.get("X"));
        while (!drivers.get("X").todo.isEmpty()) {
          does(drivers.get("X"));
        }
        processes.keySet().forEach(this::news);
      }
    }

    private void born(String d) {
      Driver x = drivers.get(d);
      x.controller = new ReleaseController(d + ++x.lives, 1_000);
      x.todo.clear();
    }

    private List<String> timers() {
      return ledger.timers().keySet().stream()
          .filter(t -> !t.startsWith("session:") && !t.startsWith("release-"))
          .toList();
    }

    ObjectNode apply(ObjectNode e) {
      boolean halted = state().equals("halted") || state().equals("paused");
      ObjectNode o = ledger.apply(Json.bytes(e));
      seen = null;
      if (halted
          && e.path("op").asText().equals("release_intend")
          && o.path("status").asText().equals("granted")
          && leaving() > leavingBefore) {
        broken = "granted after the halt: " + e;
      }
      leavingBefore = leaving();
      Set<String> out = new TreeSet<>();
      processes.forEach(
          (n, p) -> {
            if (!p.serves() && !lost.contains(n)) {
              out.add(n);
            }
          });
      if (out.size() > 1) {
        broken = "out at once: " + out;
      }
      return o;
    }

    /** News reach a proxy, which goes by them and says so. */
    private void news(String n) {
      Process p = processes.get(n);
      if (p.runs && ledger.lives(n, p.session) && p.view.take(ledger.view(), true, now)) {
        tell(n);
      }
    }

    private boolean behind(String n) {
      Process p = processes.get(n);
      return p.runs && ledger.lives(n, p.session) && p.view.version() < ledger.version();
    }

    private long leavingBefore;
    private final Set<String> lost = new TreeSet<>();

    private long leaving() {
      long n = 0;
      for (JsonNode t : release().path("targets")) {
        n += t.path("phase").asText().equals("leaving") ? 1 : 0;
      }
      return n;
    }

    private ObjectNode seen;

    ObjectNode release() {
      if (seen == null) {
        seen = ledger.release(RELEASE);
      }
      return seen;
    }

    private ReleaseView view() {
      return ReleaseViewCodec.read(release());
    }

    String state() {
      return release().path("state").asText();
    }

    void join(String name) {
      Process p = processes.get(name);
      p.runs = true;
      p.view = new ProxyMemberView(name);
      p.number = 0;
      ObjectNode e =
          Json.object()
              .put("op", "join")
              .put("name", name)
              .put("incarnation", name + ++p.incarnation)
              .put("lease_ms", 1_000)
              .put("runs", p.version);
      ObjectNode o = ledger.apply(Json.bytes(e));
      seen = null;
      p.session = o.path("session").asLong();
      p.view.take(o.path("view"), true, now);
      tell(name);
    }

    void tell(String name) {
      Process p = processes.get(name);
      apply(
          Json.object()
              .put("op", "tell")
              .put("name", name)
              .put("session", p.session)
              .put("number", ++p.number)
              .put("seen", p.view.version())
              .put("serving", p.serves()));
    }

    /** A process ends and comes back with that version. */
    void restart(String name, String version) {
      Process p = processes.get(name);
      p.runs = false;
      if (ledger.lives(name, p.session)) {
        apply(Json.object().put("op", "leave").put("name", name).put("session", p.session));
      }
      p.version = version;
      join(name);
    }

    void land(Flight f) {
      flights.remove(f);
      if (f.what() instanceof DriverAction.RunChange change) {
        Process p = processes.get(change.target());
        if (change.fence() < p.fence) {
          f.of().changeEnded(change, new CommandResult(false, "fence"));
          return;
        }
        p.fence = change.fence();
        if (p.serves()) {
          broken = change + " landed while its target was in service";
        } else if (!ran.add(change.action() + "/" + change.attempt())) {
          broken = change + " ran twice";
        }
        restart(change.target(), change.version());
        f.of().changeEnded(change, new CommandResult(true, ""));
      } else if (f.what() instanceof DriverAction.CheckVersion check) {
        Process p = processes.get(check.target());
        p.fence = Math.max(p.fence, check.fence());
        f.of()
            .versionChecked(
                check, check.fence() < p.fence ? Optional.empty() : Optional.of(p.version));
      }
    }

    void looks(Driver d) {
      now += 600_000_000L;
      d.todo.addAll(d.controller.next(view(), Optional.empty(), !d.stalled, now));
    }

    void does(Driver d) {
      DriverAction next = d.todo.remove(0);
      if (next instanceof DriverAction.SubmitCommand submission) {
        apply(ReleaseCommandCodec.encode(submission.command()));
      } else {
        flights.add(new Flight(d.controller, next));
      }
    }

    private void operator(String op) {
      orders++;
      apply(Json.object().put("op", op).put("release", RELEASE).put("why", "walk"));
    }

    @Override
    public List<Step> steps() {
      List<Step> out = new ArrayList<>();
      drivers.forEach(
          (n, d) -> {
            boolean holds = d.controller.drives(view());
            if (!d.todo.isEmpty()) {
              out.add(new Step(n + " does", () -> does(d)));
            } else {
              out.add(new Step(n + " looks", () -> looks(d)));
            }
            if (crashes < 2) {
              out.add(
                  new Step(
                      n + " crashes",
                      () -> {
                        crashes++;
                        born(n);
                      }));
            }
            if (!d.stalled && stalls < 2) {
              out.add(
                  new Step(
                      n + " stands still",
                      () -> {
                        stalls++;
                        d.stalled = true;
                      }));
            }
            if (d.stalled && !holds) {
              out.add(new Step(n + " wakes", () -> d.stalled = false));
            }
          });
      for (int i = 0; i < flights.size(); i++) {
        Flight f = flights.get(i);
        out.add(new Step("lands " + i, () -> land(f)));
      }
      for (String t : ledger.timers().keySet()) {
        boolean driver = t.startsWith("release-driver:");
        boolean may =
            !driver
                || drivers.values().stream()
                    .noneMatch(d -> d.controller.drives(view()) && !d.stalled);
        if (!t.startsWith("session:") && !t.startsWith("release-longest") && may) {
          out.add(
              new Step(
                  "time " + t.replaceAll("[0-9]+$", ""), () -> apply(FleetStateMachine.ranOut(t))));
        }
      }
      if (restarts < 2) {
        out.add(new Step("keepers restart", this::restart));
      }
      if (orders < 4) {
        for (String op :
            List.of("release_halt", "release_resume", "release_back", "release_pause")) {
          out.add(new Step(op, () -> operator(op)));
        }
      }
      for (String n : PROXIES) {
        Process p = processes.get(n);
        if (losses < 1 && p.runs && !lost.contains(n)) {
          out.add(
              new Step(
                  "lost " + n,
                  () -> {
                    losses++;
                    lost.add(n);
                    apply(FleetStateMachine.ranOut(FleetStateMachine.timer(n, p.session)));
                  }));
        }
        if (behind(n)) {
          out.add(new Step("news " + n, () -> news(n)));
        }
        if (lost.contains(n)) {
          out.add(
              new Step(
                  "found " + n,
                  () -> {
                    lost.remove(n);
                    if (!ledger.lives(n, p.session)) {
                      join(n);
                    }
                  }));
        }
      }
      return out;
    }

    private void round() {
      List.copyOf(flights).forEach(this::land);
      for (Driver d : drivers.values()) {
        while (!d.todo.isEmpty()) {
          does(d);
        }
        looks(d);
      }
      processes.keySet().forEach(this::news);
      timers().forEach(t -> apply(FleetStateMachine.ranOut(t)));
      String timer =
          ledger.timers().keySet().stream()
              .filter(t -> t.startsWith("release-driver:"))
              .findFirst()
              .orElse("");
      if (!timer.isEmpty()
          && drivers.values().stream().noneMatch(d -> d.controller.drives(view()))) {
        apply(FleetStateMachine.ranOut(timer));
      }
    }

    /** All keepers start anew from a snapshot. */
    private void restart() {
      restarts++;
      byte[] before = ledger.snapshot();
      ledger = new FleetStateMachine(new DisruptionState.Times(10, 10, 10));
      ledger.restore(before);
      seen = null;
      if (!java.util.Arrays.equals(before, ledger.snapshot())) {
        broken = "another state after a snapshot";
      }
    }

    private int restarts;

    /** Everything works from here on: the release is taken back, and all serve the old version. */
    void end() {
      new ArrayList<>(lost)
          .forEach(
              n -> {
                lost.remove(n);
                if (!ledger.lives(n, processes.get(n).session)) {
                  join(n);
                }
              });
      drivers.values().forEach(d -> d.stalled = false);
      if (state().equals("halted")) {
        for (int i = 0; i < 40 && broken.isEmpty(); i++) {
          round();
        }
        for (JsonNode t : release().path("targets")) {
          if (broken.isEmpty()
              && state().equals("halted")
              && !t.path("phase").asText().equals("in")
              && !t.path("at").asText().equals("unknown")) {
            broken = "halted, and not given back: " + t;
          }
        }
      }
      String state = state();
      if (!state.equals("returned")) {
        apply(
            Json.object().put("op", "release_back").put("release", RELEASE).put("why", "the end"));
      }
      for (int i = 0; i < 300 && broken.isEmpty() && !state().equals("returned"); i++) {
        if (state().equals("halted")) {
          apply(
              Json.object()
                  .put("op", "release_resume")
                  .put("release", RELEASE)
                  .put("why", "the end"));
        }
        round();
      }
      processes.forEach(
          (n, p) -> {
            if (broken.isEmpty()
                && (!state().equals("returned") || !p.version.equals("v1") || !p.serves())) {
              broken = "not taken back: " + release();
            }
          });
    }

    @Override
    public String key() {
      ObjectNode o = Json.read(ledger.snapshot());
      o.remove(List.of("audit", "calls", "entries"));
      StringBuilder s = new StringBuilder(DrainStateSpaceTest.ranked(Json.text(o)));
      processes.forEach(
          (n, p) ->
              s.append(n).append(p.version).append(p.runs).append(p.view.away()).append(p.fence));
      drivers.forEach((n, d) -> s.append(n).append(d.stalled).append(d.todo));
      flights.forEach(f -> s.append(f.what()));
      return s.append(crashes).append(stalls).append(losses).append(orders).append(lost).toString();
    }

    @Override
    public boolean likely(String step) {
      return step.contains("does")
          || step.contains("looks")
          || step.contains("lands")
          || step.startsWith("time settle")
          || step.startsWith("news");
    }

    @Override
    public String broken() {
      return broken;
    }
  }

  @ParameterizedTest
  @CsvSource({"true,0", "true,2", "true,3", "false,3", "true,4", "false,4"})
  void allInterleavingsKeepThePromises(boolean checks, int begun) {
    int depth = Integer.getInteger("release.depth", 3);
    StateSpaceExplorer walk = new StateSpaceExplorer(() -> new World(checks, begun));
    assertThat(walk.all(depth)).isEmpty();
    System.out.println(
        "releases walked: "
            + walk.states()
            + " states to a depth of "
            + depth
            + " from step "
            + begun);
    assertThat(walk.states()).isGreaterThan(100);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void walksAtRandomKeepThePromisesAndAllCanBeTakenBackAfterwards(boolean checks) {
    StateSpaceExplorer walk = new StateSpaceExplorer(() -> new World(checks, 0));
    int[] ran = new int[1];
    for (long seed = 1; seed <= Integer.getInteger("release.seeds", 100); seed++) {
      assertThat(
              walk.random(
                  seed,
                  80,
                  w -> {
                    ran[0] += ((World) w).ran.size();
                    ((World) w).end();
                  }))
          .as("seed " + seed)
          .isEmpty();
    }
    System.out.println("releases walked at random: " + ran[0] + " commands ran before the end");
    assertThat(ran[0]).isPositive();
  }
}
