package leadferry.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import leadferry.consensus.StateSpaceExplorer.Step;
import leadferry.disruption.DisruptionState;
import leadferry.disruption.ProxyMemberView;
import org.junit.jupiter.api.Test;

/**
 * All interleavings of three proxies, two operators, late views, late reports, lost sessions and
 * restarts, to a stated depth, in one thread: who really serves is kept beside the state machine
 * and compared with what it allows.
 */
class DrainStateSpaceTest {
  private static final List<String> PROXIES = List.of("a", "b", "c");
  private static final int ALLOWED = 1;
  private static final int DEPTH = Integer.getInteger("walk.depth", 6);

  private static final int LEASE_MILLIS = 1_000;
  private static final int DRAIN_MILLIS = 50;
  private static final int MAX_CRASHES = 1;

  /**
   * A proxy's process: what it goes by, what it really does, and what it has reported that is still
   * on its way.
   */
  private static final class Process {
    final ProxyMemberView view;
    final ArrayDeque<JsonNode> pushedViews = new ArrayDeque<>();
    final ArrayDeque<byte[]> reports = new ArrayDeque<>();
    boolean runs = true;
    boolean serves = true;
    long session;
    long reportNumber;

    Process(String name) {
      view = new ProxyMemberView(name);
    }
  }

  /** One state of the whole system, rebuilt by taking its steps. */
  private final class DrainModel implements StateSpaceExplorer.SystemModel {
    private final Predicate<DrainModel> invariant;

    final FleetStateMachine stateMachine =
        new FleetStateMachine(new DisruptionState.Times(10, 10, 10));
    final Map<String, Process> processes = new HashMap<>();
    final Set<String> permits = new TreeSet<>();
    int crashes;
    long pushedVersion;

    DrainModel(Predicate<DrainModel> invariant) {
      this.invariant = invariant;
      for (String name : PROXIES) {
        processes.put(name, new Process(name));
        join(name);
        processes.get(name).pushedViews.clear();
        report(name);
        stateMachine.apply(processes.get(name).reports.remove());
      }
    }

    ObjectNode apply(ObjectNode entry) {
      ObjectNode outcome = stateMachine.apply(Json.bytes(entry));
      JsonNode view = stateMachine.view();
      if (view.path("version").asLong() > pushedVersion) {
        pushedVersion = view.path("version").asLong();
        processes.forEach(
            (name, process) -> {
              if (process.runs && hasSession(name)) {
                process.pushedViews.add(view);
              }
            });
      }
      return outcome;
    }

    private boolean hasSession(String name) {
      long session = processes.get(name).session;
      return session > 0 && stateMachine.isSessionLive(name, session);
    }

    private void expireSession(String name) {
      String timer = SessionTable.timerName(name, processes.get(name).session);
      apply(LogEntryCodec.encodeExpiry(timer));
    }

    void join(String name) {
      Process process = processes.get(name);
      ObjectNode outcome =
          apply(
              Json.object()
                  .put("op", "join")
                  .put("name", name)
                  .put("incarnation", name + crashes)
                  .put("lease_ms", LEASE_MILLIS));
      if (outcome.path("status").asText().equals("done")) {
        process.session = outcome.path("session").asLong();
        process.reportNumber = 0;
        process.reports.clear();
        process.pushedViews.clear();
        process.view.onSessionStarted();
        take(name, outcome.path("view"));
      }
    }

    /** Goes by a pushed view, or by an answer to its joining, and reports so. */
    void take(String name, JsonNode view) {
      Process process = processes.get(name);
      if (process.view.applyView(view, stateMachine.isSessionLive(name, process.session), 0)) {
        process.serves = !process.view.isOutOfService();
        report(name);
      }
    }

    void report(String name) {
      Process process = processes.get(name);
      process.reports.add(
          Json.bytes(
              Json.object()
                  .put("op", "tell")
                  .put("name", name)
                  .put("session", process.session)
                  .put("number", ++process.reportNumber)
                  .put("seen", process.view.version())
                  .put("serving", process.serves)));
    }

    /** What can happen next. */
    @Override
    public List<Step> possibleSteps() {
      List<Step> steps = new ArrayList<>();
      for (String name : PROXIES) {
        addMessageSteps(name, steps);
        addFaultSteps(name, steps);
        addSessionSteps(name, steps);
      }
      addOperatorSteps(steps);
      for (String timer : stateMachine.timers().keySet()) {
        if (!SessionTable.isSessionTimer(timer)) {
          steps.add(new Step("time " + timer, () -> apply(LogEntryCodec.encodeExpiry(timer))));
        }
      }
      return steps;
    }

    private void addMessageSteps(String name, List<Step> steps) {
      Process process = processes.get(name);
      if (process.runs && !process.pushedViews.isEmpty()) {
        steps.add(new Step("news " + name, () -> take(name, process.pushedViews.remove())));
      }
      if (!process.reports.isEmpty()) {
        steps.add(new Step("word " + name, () -> apply(Json.parse(process.reports.remove()))));
      }
    }

    private void addFaultSteps(String name, List<Step> steps) {
      if (!processes.get(name).runs || crashes >= MAX_CRASHES) {
        return;
      }
      steps.add(new Step("crash " + name, () -> crash(name)));
      steps.add(
          new Step(
              "cut off " + name,
              () -> {
                crashes++; // stopped, say: what was on its way to it stays there
                // Its own lease is over before this is applied: LeaseTest.
                expireSession(name);
              }));
    }

    private void crash(String name) {
      Process process = processes.get(name);
      crashes++;
      process.runs = false;
      process.serves = false;
      process.pushedViews.clear();
      process.reports.clear();
    }

    private void addSessionSteps(String name, List<Step> steps) {
      Process process = processes.get(name);
      boolean lives = hasSession(name);
      if (!process.runs && lives) {
        steps.add(new Step("expire " + name, () -> expireSession(name)));
      }
      if (!lives) {
        steps.add(
            new Step(
                "join " + name,
                () -> {
                  process.serves &= process.runs || !process.view.isOutOfService();
                  process.runs = true;
                  join(name);
                }));
      }
    }

    private void addOperatorSteps(List<Step> steps) {
      for (String name : List.of("a", "b")) {
        steps.add(new Step("drain " + name, () -> drain(name)));
      }
      for (String permit : permits) {
        ObjectNode undo = Json.object().put("op", "undo").put("permit", permit);
        steps.add(new Step("undo " + permit, () -> apply(undo)));
      }
    }

    private void drain(String name) {
      ObjectNode outcome =
          apply(
              Json.object()
                  .put("op", "drain")
                  .put("kind", "proxy")
                  .put("name", name)
                  .put("for_ms", DRAIN_MILLIS));
      if (outcome.has("permit")) {
        permits.add(outcome.path("permit").asText());
      }
    }

    /** Those that are out by decision, not by the walk's own crash. */
    Set<String> out() {
      Set<String> out = new TreeSet<>();
      processes.forEach(
          (name, process) -> {
            if (process.runs && !process.serves) {
              out.add(name);
            }
          });
      return out;
    }

    @Override
    public String violation() {
      return invariant.test(this) ? "" : "out: " + out();
    }

    /** The state but for numbers that only count up: what matters of those is their order. */
    @Override
    public String stateKey() {
      ObjectNode snapshot = Json.parse(stateMachine.snapshot());
      snapshot.remove(List.of("audit", "entries", "calls"));
      StringBuilder text = new StringBuilder(Json.text(snapshot));
      processes.forEach(
          (name, process) -> {
            text.append(name)
                .append(process.runs)
                .append(process.serves)
                .append("\"seen\":")
                .append(process.view.version())
                .append("\"id\":")
                .append(process.session);
            process.pushedViews.forEach(view -> text.append(Json.text(view)));
            process.reports.forEach(
                report -> text.append(new String(report, StandardCharsets.UTF_8)));
          });
      return HexFormat.of()
          .formatHex(digest(replaceCountersByRanks(text.append(crashes).toString())));
    }
  }

  /** Replaces numbers that only count up by their ranks, so that only their order counts. */
  static String replaceCountersByRanks(String text) {
    String ranked = text;
    for (String names :
        List.of(
            "version|since|end_since|seen",
            "change|settling|joined|acted_at|baking",
            "said|number",
            "id|session")) {
      Pattern counter = Pattern.compile("\"(" + names + ")\":(\\d+)");
      TreeSet<Long> values = new TreeSet<>();
      counter
          .matcher(ranked)
          .results()
          .forEach(match -> values.add(Long.parseLong(match.group(2))));
      Map<Long, Integer> ranks = new HashMap<>();
      values.forEach(value -> ranks.put(value, value == 0 ? 0 : ranks.size() + 1));
      ranked =
          counter
              .matcher(ranked)
              .replaceAll(
                  match ->
                      "\"" + match.group(1) + "\":" + ranks.get(Long.parseLong(match.group(2))));
    }
    return ranked;
  }

  private static byte[] digest(String text) {
    try {
      return MessageDigest.getInstance("MD5").digest(text.getBytes(StandardCharsets.UTF_8));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  @Test
  void neverMoreProxiesAreOutByDecisionThanAllowed() {
    StateSpaceExplorer explorer =
        new StateSpaceExplorer(() -> new DrainModel(world -> world.out().size() <= ALLOWED));
    assertThat(explorer.exploreAll(DEPTH)).isEmpty();
    System.out.println(
        "drains walked: " + explorer.stateCount() + " states to a depth of " + DEPTH);
    assertThat(explorer.stateCount()).isGreaterThan(1_000);
  }

  @Test
  void walksAtRandomFarBeyondThatDepthKeepThePromise() {
    StateSpaceExplorer explorer =
        new StateSpaceExplorer(() -> new DrainModel(world -> world.out().size() <= ALLOWED));
    for (long seed = 1; seed <= Integer.getInteger("walk.seeds", 300); seed++) {
      assertThat(explorer.randomWalk(seed, 60)).as("seed " + seed).isEmpty();
    }
  }

  @Test
  void whatARandomWalkFindsIsCutDownToWhatMatters() {
    assertThat(
            new StateSpaceExplorer(() -> new DrainModel(world -> !world.out().contains("a")))
                .randomWalk(1, 60))
        .hasSize(3)
        .contains("drain a", "news a", "=> out: [a]");
  }
}
