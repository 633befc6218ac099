package leadferry.testbed;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Runs one release after another, each with two drivers, of three upstreams or two proxies.
 * Operators halt and roll back some of them.
 */
final class ReleaseWorkload {
  /** Release events that the report counts, with their keys in the report. */
  enum Event {
    BEGUN("begun"),
    DONE("done"),
    RETURNED("returned"),
    HALTED("halted"),
    ROLLED_BACK("back");

    private final String key;

    Event(String key) {
      this.key = key;
    }

    String key() {
      return key;
    }
  }

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int ACTION_MILLIS = 20_000;
  private static final int BAKE_MILLIS = 100;
  private static final int COMMAND_MILLIS = 30_000;
  private static final int UPSTREAMS_PER_RELEASE = 3;
  private static final long POLL_MILLIS = 200;
  private static final long HALT_TO_ROLLBACK_MILLIS = 500;
  private static final long HALTED_PAUSE_MILLIS = 300;

  /** A release that has not ended within this time after the end of the test counts as stuck. */
  private static final long STUCK_MILLIS = 6L * FaultTest.START_MILLIS;

  private final FaultTestPlan plan;
  private final FaultTestTopology topology;
  private final Operator operator;
  private final InvariantChecker checker;
  private final ProcessSupervisor.Targets versions;
  private final Path program;
  private final Map<Event, Integer> counts = new EnumMap<>(Event.class);
  private volatile boolean stopped;

  /**
   * Creates the workload. {@code program} is the script that the releases' commands call, see
   * {@link ProcessSupervisor#writeScript}.
   */
  ReleaseWorkload(
      FaultTestPlan plan,
      FaultTestTopology topology,
      Operator operator,
      InvariantChecker checker,
      ProcessSupervisor.Targets versions,
      Path program) {
    this.plan = plan;
    this.topology = topology;
    this.operator = operator;
    this.checker = checker;
    this.versions = versions;
    this.program = program;
  }

  /** Begins no further release. The current one is followed to its end. */
  void stop() {
    stopped = true;
  }

  /** Returns how often {@code event} has happened. */
  synchronized int countOf(Event event) {
    return counts.getOrDefault(event, 0);
  }

  private synchronized void count(Event event) {
    counts.merge(event, 1, Integer::sum);
  }

  /** Returns the plan of a release with one step for each list of targets. */
  ObjectNode planDocument(
      String name, String kind, String fromVersion, String version, List<List<String>> steps) {
    ObjectNode document =
        MAPPER
            .createObjectNode()
            .put("name", name)
            .put("of", kind)
            .put("from", fromVersion)
            .put("version", version)
            .put("action_ms", ACTION_MILLIS);
    ArrayNode stepList = document.putArray("steps");
    for (int i = 0; i < steps.size(); i++) {
      ObjectNode step =
          stepList
              .addObject()
              .put("name", "s" + i)
              .put("at_once", Math.max(plan.proxiesAllowed(), plan.upstreamsAllowed()))
              .put("bake_ms", BAKE_MILLIS);
      steps.get(i).forEach(step.putArray("targets")::add);
    }
    ObjectNode carry =
        document.putObject("carry").put("by", "command").put("timeout_ms", COMMAND_MILLIS);
    carry.putArray("command").add("bash").add(program.toString()).add("command");
    carry.putArray("check").add("bash").add(program.toString()).add("check");
    return document;
  }

  /** Runs releases until {@link #stop}. */
  void run() {
    Random random = new Random(plan.seed() * 17);
    List<List<String>> groups = groups();
    for (int number = 0; !stopped; number++) {
      List<String> group = groups.get(number % groups.size());
      if (!runRelease(number, group, random)) {
        return;
      }
    }
  }

  /**
   * Returns the groups of targets that are released together. Each target is in at most one group.
   */
  private List<List<String>> groups() {
    List<List<String>> groups = new ArrayList<>();
    for (int i = 1; i + 2 <= plan.upstreams(); i += UPSTREAMS_PER_RELEASE) {
      groups.add(List.of("h" + i, "h" + (i + 1), "h" + (i + 2)));
      int firstProxy = i / UPSTREAMS_PER_RELEASE * 2 + 1;
      if (firstProxy + 1 <= plan.proxies()) {
        groups.add(List.of("p" + firstProxy, "p" + (firstProxy + 1)));
      }
    }
    return groups;
  }

  /** Runs one release from start to end. Returns false if it could not begin. */
  private boolean runRelease(int number, List<String> group, Random random) {
    String name = "rel" + number;
    String first = group.get(0);
    ObjectNode document =
        planDocument(
            name,
            first.startsWith("h") ? DrainTarget.HOST : DrainTarget.PROXY,
            versions.version(first),
            "v" + (number + 2),
            List.of(group.subList(0, 1), group.subList(1, group.size())));
    document.put("halt_lost", 0).put("on_missing", "wait");
    ObjectNode entry = Operator.entry("release_start").set("plan", document);
    JsonNode outcome =
        operator.submit(entry, name, random.nextInt(plan.replicas()), FaultTest.START_MILLIS);
    if (outcome == null || !outcome.path("status").asText().equals("done")) {
      checker.addViolation("release " + name + " could not be started: " + outcome);
      return false;
    }
    count(Event.BEGUN);
    List<String> drivers = List.of("d" + number + "a", "d" + number + "b");
    try {
      for (String driver : drivers) {
        topology.startDriver(driver, name);
      }
      follow(name, random, rollbackTime(random));
    } catch (IOException e) {
      checker.addViolation("a driver could not be started: " + e.getMessage());
    }
    drivers.forEach(topology::endDriver);
    return true;
  }

  /**
   * Returns when an operator rolls the release back, in nanoseconds, or {@link Long#MAX_VALUE} for
   * never.
   */
  private static long rollbackTime(Random random) {
    return random.nextInt(3) == 0
        ? System.nanoTime() + 1_000_000_000L * (3 + random.nextInt(5))
        : Long.MAX_VALUE;
  }

  /**
   * Follows a release until it ends. Resumes or rolls back a halted release, and rolls back at
   * {@code rollbackNanos}.
   */
  private void follow(String name, Random random, long rollbackNanos) {
    boolean rolledBack = false;
    long deadlineNanos = Long.MAX_VALUE;
    for (int polls = 0; ; polls++) {
      JsonNode release = releaseStatus(name);
      String state = release == null ? "" : release.path("state").asText();
      if (isOver(state)) {
        count(state.equals(Event.DONE.key()) ? Event.DONE : Event.RETURNED);
        return;
      }
      deadlineNanos = deadline(deadlineNanos);
      if (System.nanoTime() > deadlineNanos) {
        checker.addViolation("release " + name + " did not end in time: " + release);
        return;
      }
      if (!rolledBack && System.nanoTime() > rollbackNanos) {
        rolledBack = true;
        rollBack(name);
      } else if (state.equals(Event.HALTED.key())) {
        proceed(name, random.nextInt(4) == 0 ? "release_back" : "release_resume", polls);
      }
      Threads.sleepMillis(POLL_MILLIS);
    }
  }

  private static boolean isOver(String state) {
    return state.equals(Event.DONE.key()) || state.equals(Event.RETURNED.key());
  }

  /**
   * Returns the time until which a release may continue, in nanoseconds. It counts from the end of
   * the test.
   */
  private long deadline(long deadlineNanos) {
    boolean counts = stopped && deadlineNanos == Long.MAX_VALUE;
    return counts ? System.nanoTime() + STUCK_MILLIS * 1_000_000L : deadlineNanos;
  }

  private void rollBack(String name) {
    count(Event.ROLLED_BACK);
    call("release_halt", name, name + "-halt");
    Threads.sleepMillis(HALT_TO_ROLLBACK_MILLIS);
    call("release_back", name, name + "-back");
  }

  private void proceed(String name, String operation, int callNumber) {
    count(Event.HALTED);
    Threads.sleepMillis(HALTED_PAUSE_MILLIS);
    call(operation, name, name + "-go" + callNumber);
  }

  private void call(String operation, String release, String callId) {
    ObjectNode entry = Operator.entry(operation).put("release", release);
    operator.submit(entry, callId, 0, FaultTest.START_MILLIS);
  }

  /**
   * Returns the status of a release as the replicas report it, or null if no replica responded in
   * time.
   */
  JsonNode releaseStatus(String name) {
    ObjectNode question = MAPPER.createObjectNode().put("op", "release").put("release", name);
    return operator.query(question, 0, FaultTest.START_MILLIS);
  }
}
