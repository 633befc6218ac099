package leadferry.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import leadferry.cli.FleetCommand.Change;
import leadferry.cli.FleetCommand.Target;
import leadferry.consensus.Json;
import leadferry.consensus.ReplicaClient;
import leadferry.consensus.ReplicaClient.UnreachableException;
import leadferry.daemon.ConfigurationException;
import leadferry.daemon.ReleaseFile;
import leadferry.release.ReleaseState;
import leadferry.release.ReleaseView;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Releases agreed across the fleet. */
@Command(
    name = "release",
    mixinStandardHelpOptions = true,
    description =
        "Replaces hosts or restarts proxies step by step, under the fleet's budgets, with a halt and a way back.",
    subcommands = {
      ReleaseCommand.PlanIt.class,
      ReleaseCommand.Start.class,
      ReleaseCommand.Drive.class,
      ReleaseCommand.Status.class,
      ReleaseCommand.Pause.class,
      ReleaseCommand.Resume.class,
      ReleaseCommand.Halt.class,
      ReleaseCommand.Back.class,
      ReleaseCommand.Override.class,
      ReleaseCommand.End.class,
      ReleaseCommand.History.class,
      ReleaseCommand.Next.class,
      ReleaseCommand.Report.class
    },
    footer = {
      "",
      "Exit status: as for fleet; of drive: 0 it is done, or is back where it was, 3 it was given up or is not known;",
      "of next: 0 there is something to do, 8 there is nothing."
    })
final class ReleaseCommand implements Runnable {
  private static final int NOTHING = 8;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @java.lang.Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "Missing command");
  }

  /**
   * Reads a plan against the fleet as it is; null where that has been told on standard error, with
   * the status in {@code exit}.
   */
  private static ObjectNode plan(Target target, Path file, int[] exit) {
    try (ReplicaClient c = target.client()) {
      ObjectNode status = c.call(Json.object().put("op", "status"), target.until());
      return ReleaseFile.read(file, status);
    } catch (ConfigurationException e) {
      System.err.println(e.getMessage());
      exit[0] = 2;
    } catch (UnreachableException e) {
      System.err.println("no keeper can be reached: " + e.getMessage());
      exit[0] = FleetCommand.UNREACHABLE;
    }
    return null;
  }

  @Command(
      name = "plan",
      mixinStandardHelpOptions = true,
      description =
          "Judges a plan against the fleet as it is and prints its steps; changes nothing.")
  static final class PlanIt implements Callable<Integer> {
    @Mixin private Target target;

    @Parameters(paramLabel = "FILE", description = "TOML with a [release] table.")
    private Path file;

    @java.lang.Override
    public Integer call() throws UnreachableException {
      int[] exit = new int[1];
      ObjectNode plan = plan(target, file, exit);
      if (plan == null) {
        return exit[0];
      }
      ObjectNode o = Json.object().put("status", "done");
      o.set("plan", plan);
      List<String> never = new ArrayList<>();
      try (ReplicaClient c = target.client()) {
        for (JsonNode step : plan.path("steps")) {
          for (JsonNode t : step.path("targets")) {
            ObjectNode e =
                c.call(
                    Json.object()
                        .put("op", "explain")
                        .put("kind", plan.path("of").asText())
                        .put("name", t.asText()),
                    target.until());
            for (JsonNode b : e.path("bounds")) {
              if (b.path("allowed").asInt() < 1) {
                never.add(
                    t.asText()
                        + ": "
                        + b.path("bound").asText()
                        + " allows "
                        + b.path("allowed").asInt()
                        + " of "
                        + b.path("of").asInt());
              }
            }
          }
        }
      } catch (UnreachableException e) {
        System.err.println("no keeper can be reached: " + e.getMessage());
        return FleetCommand.UNREACHABLE;
      }
      if (!never.isEmpty()) {
        o.put("status", "refused");
        never.forEach(o.putArray("why")::add);
      }
      return target.told(o, PlanIt::print);
    }

    private static void print(ObjectNode o) {
      JsonNode plan = o.path("plan");
      System.out.println(
          plan.path("name").asText()
              + ": "
              + plan.path("of").asText()
              + "s from "
              + plan.path("from").asText()
              + " to "
              + plan.path("version").asText());
      int n = 0;
      for (JsonNode s : plan.path("steps")) {
        List<String> targets = new ArrayList<>();
        s.path("targets").forEach(t -> targets.add(t.asText()));
        System.out.println(
            "  step "
                + n++
                + " "
                + s.path("name").asText()
                + ": "
                + s.path("at_once").asInt()
                + " at once of "
                + targets.size()
                + ", bakes "
                + s.path("bake_ms").asLong()
                + " ms: "
                + String.join(" ", targets));
      }
      if (o.has("why")) {
        System.out.println("no budget would ever allow:");
        o.path("why").forEach(w -> System.out.println("  " + w.asText()));
      }
    }
  }

  @Command(
      name = "start",
      mixinStandardHelpOptions = true,
      description = "Puts a plan into the ledger; drivers carry it out.")
  static final class Start extends Change {
    @Parameters(paramLabel = "FILE", description = "TOML with a [release] table.")
    private Path file;

    @java.lang.Override
    public Integer call() {
      int[] exit = new int[1];
      ObjectNode plan = plan(target, file, exit);
      return plan == null ? exit[0] : change(entry("release_start").<ObjectNode>set("plan", plan));
    }
  }

  @Command(
      name = "drive",
      mixinStandardHelpOptions = true,
      description =
          "Carries a release out until it is over. Any number of processes may; one at a time acts, the next goes on where it was lost.")
  static final class Drive implements Callable<Integer> {
    @Mixin private Target target;

    @Parameters(paramLabel = "RELEASE", description = "Which.")
    private String name;

    @Option(names = "--as", required = true, description = "This driver's name, for the audit.")
    private String as;

    @Option(
        names = "--lease-ms",
        defaultValue = "3000",
        description = "Silent for so long, it is taken for lost: 200 to 600000.")
    private long leaseMs;

    @java.lang.Override
    public Integer call() {
      if (leaseMs < 200 || leaseMs > 600_000 || as.isBlank() || as.length() > 64) {
        throw new CommandLine.ParameterException(
            target.commandLine(),
            "--lease-ms "
                + leaseMs
                + ", --as '"
                + as
                + "' (expected: 200 to 600000, 1 to 64 characters)");
      }
      try (ReplicaClient c = target.client();
          ReleaseDriver d =
              new ReleaseDriver(
                  c,
                  as,
                  name,
                  leaseMs,
                  line -> System.out.println(java.time.Instant.now() + " " + line))) {
        return d.run()
            .map(ReleaseView::state)
            .filter(state -> state == ReleaseState.COMPLETED || state == ReleaseState.ROLLED_BACK)
            .map(state -> 0)
            .orElse(FleetCommand.REFUSED);
      }
    }
  }

  /** What names one release. */
  abstract static class OfOne extends Change {
    @Parameters(paramLabel = "RELEASE", description = "Which.")
    private String name;

    ObjectNode of(String op) {
      return entry(op).put("release", name);
    }
  }

  @Command(
      name = "pause",
      mixinStandardHelpOptions = true,
      description = "Nobody new goes out until resume; what is under way ends by itself.")
  static final class Pause extends OfOne {
    @java.lang.Override
    public Integer call() {
      return change(of("release_pause"));
    }
  }

  @Command(
      name = "resume",
      mixinStandardHelpOptions = true,
      description = "Goes on after a pause or a halt, in the direction that it had.")
  static final class Resume extends OfOne {
    @java.lang.Override
    public Integer call() {
      return change(of("release_resume"));
    }
  }

  @Command(
      name = "halt",
      mixinStandardHelpOptions = true,
      description = "From the entry on that says so, nobody new goes out.")
  static final class Halt extends OfOne {
    @java.lang.Override
    public Integer call() {
      return change(of("release_halt"));
    }
  }

  @Command(
      name = "back",
      mixinStandardHelpOptions = true,
      description = "The way back: the newest first, under the same budgets.")
  static final class Back extends OfOne {
    @Option(
        names = "--to-step",
        defaultValue = "0",
        description = "So many steps, from the first on, stay new.")
    private int toStep;

    @java.lang.Override
    public Integer call() {
      return change(of("release_back").put("to_step", toStep));
    }
  }

  @Command(
      name = "override",
      mixinStandardHelpOptions = true,
      description = "Your word against a guard, with who and why in the audit.")
  static final class Override extends OfOne {
    @Option(
        names = "--what",
        required = true,
        description =
            "verdict: the step that has baked is good; lost: those who are lost now are no reason.")
    private String what;

    @java.lang.Override
    public Integer call() {
      return change(of("release_override").put("what", what));
    }
  }

  @Command(
      name = "end",
      mixinStandardHelpOptions = true,
      description = "Gives a release up as it stands; others may have its targets then.")
  static final class End extends OfOne {
    @java.lang.Override
    public Integer call() {
      return change(of("release_end"));
    }
  }

  @Command(
      name = "status",
      mixinStandardHelpOptions = true,
      description = "Where a release stands, or all of them in a line each.")
  static final class Status implements Callable<Integer> {
    @Mixin private Target target;

    @Parameters(
        paramLabel = "RELEASE",
        arity = "0..1",
        defaultValue = "",
        description = "Which; all of them without.")
    private String name;

    @Option(
        names = "--watch",
        description = "Tells again whenever something has changed, until it is ended.")
    private boolean watch;

    @java.lang.Override
    public Integer call() throws InterruptedException {
      ObjectNode request = Json.object().put("op", "release").put("release", name);
      return watch ? target.watch(request, Status::print) : target.ask(request, Status::print);
    }

    static void print(ObjectNode o) {
      if (o.has("why") && !o.has("state")) {
        Change.print(o);
        return;
      }
      for (JsonNode r : o.path("releases")) {
        System.out.println(
            r.path("number").asLong()
                + " "
                + r.path("name").asText()
                + ": "
                + r.path("of").asText()
                + "s to "
                + r.path("version").asText()
                + ", "
                + r.path("state").asText()
                + " "
                + r.path("direction").asText()
                + ", step "
                + r.path("goal").asInt()
                + " of "
                + r.path("steps").asInt()
                + why(r));
      }
      if (!o.has("state")) {
        return;
      }
      System.out.println(
          o.path("name").asText()
              + " is "
              + o.path("state").asText()
              + ", "
              + o.path("direction").asText()
              + why(o)
              + (o.path("driver").asText().isEmpty()
                  ? "; nobody drives"
                  : "; driven by "
                      + o.path("driver").asText()
                      + ", fence "
                      + o.path("fence").asLong()));
      Map<String, int[]> zones = new LinkedHashMap<>();
      for (JsonNode t : o.path("targets")) {
        int[] n = zones.computeIfAbsent(t.path("zone").asText(), z -> new int[3]);
        n[2]++;
        n[t.path("at").asText().equals("new") && t.path("phase").asText().equals("in") ? 0 : 1] +=
            t.path("at").asText().equals("new") || !t.path("phase").asText().equals("in") ? 1 : 0;
      }
      zones.forEach(
          (z, n) ->
              System.out.printf(
                  java.util.Locale.ROOT, "  zone %-8s [%s] %d of %d%n", z, bar(n), n[0], n[2]));
      for (JsonNode t : o.path("targets")) {
        if (!t.path("phase").asText().equals("in")
            || t.path("lost").asBoolean()
            || t.path("late").asBoolean()) {
          System.out.println(
              "  "
                  + t.path("name").asText()
                  + " "
                  + t.path("phase").asText()
                  + ", "
                  + t.path("at").asText()
                  + (t.path("out").isNull() ? "" : ", " + t.path("out").asText())
                  + (t.path("found").asText().isEmpty()
                      ? ""
                      : ", found " + t.path("found").asText())
                  + (t.path("late").asBoolean() ? ", LATE" : ""));
          t.path("awaited")
              .properties()
              .forEach(
                  e ->
                      System.out.println(
                          "    awaits " + e.getKey() + ": " + e.getValue().asText()));
        }
      }
    }

    private static String why(JsonNode r) {
      return r.path("state_why").asText().isEmpty()
          ? ""
          : " (" + r.path("state_why").asText() + ")";
    }

    /** New, under way, old. */
    private static String bar(int[] n) {
      int width = Math.min(40, n[2]);
      int fresh = width * n[0] / n[2];
      int open = n[1] == 0 ? 0 : Math.max(1, width * n[1] / n[2]);
      return "#".repeat(fresh)
          + "~".repeat(Math.min(open, width - fresh))
          + ".".repeat(Math.max(0, width - fresh - open));
    }
  }

  @Command(
      name = "history",
      mixinStandardHelpOptions = true,
      description = "What was done and decided, and by whom; the newest last.")
  static final class History implements Callable<Integer> {
    @Mixin private Target target;

    @Parameters(paramLabel = "RELEASE", description = "Which.")
    private String name;

    @java.lang.Override
    public Integer call() {
      return target.ask(
          Json.object().put("op", "status").put("history", true),
          o ->
              o.path("history")
                  .forEach(
                      h -> {
                        if (h.path("release").asText().equals(name)
                            || h.path("why").asText().contains("release " + name)) {
                          System.out.println(Json.text(h));
                        }
                      }));
    }
  }

  @Command(
      name = "next",
      mixinStandardHelpOptions = true,
      description = "For an agent: what is to be done to this target now.")
  static final class Next implements Callable<Integer> {
    @Mixin private Target target;

    @Parameters(paramLabel = "RELEASE", description = "Which.")
    private String name;

    @Option(names = "--as", required = true, description = "The target whose agent asks.")
    private String as;

    @java.lang.Override
    public Integer call() {
      ObjectNode o;
      try (ReplicaClient c = target.client()) {
        o = c.call(Json.object().put("op", "release").put("release", name), target.until());
      } catch (UnreachableException e) {
        System.err.println("no keeper can be reached: " + e.getMessage());
        return FleetCommand.UNREACHABLE;
      }
      ObjectNode todo = Json.object().put("status", "done");
      for (JsonNode t : o.path("targets")) {
        boolean acts =
            t.path("phase").asText().equals("acting")
                && t.path("found").asText().isEmpty()
                && t.path("reported").asText().isEmpty();
        if (t.path("name").asText().equals(as) && acts) {
          todo.put("action", t.path("action").asLong())
              .put("try", t.path("tries").asInt())
              .put("fence", t.path("fence").asLong());
          todo.put(
              "version",
              o.path(t.path("wanted").asText().equals("new") ? "version" : "from").asText());
        }
      }
      boolean some = todo.has("action");
      if (some || !o.has("targets")) {
        return target.told(some ? todo : o, some ? Next::print : Change::print);
      }
      return NOTHING;
    }

    private static void print(ObjectNode t) {
      System.out.println(
          "action="
              + t.path("action")
              + " try="
              + t.path("try")
              + " fence="
              + t.path("fence")
              + " version="
              + t.path("version").asText());
    }
  }

  @Command(
      name = "report",
      mixinStandardHelpOptions = true,
      description = "For an agent: what its target is now, after an action that it was given.")
  static final class Report implements Callable<Integer> {
    @Mixin private Target target;

    @Parameters(paramLabel = "RELEASE", description = "Which.")
    private String name;

    @Option(names = "--as", required = true, description = "The target whose agent tells.")
    private String as;

    @Option(names = "--action", required = true, description = "As next gave it.")
    private long action;

    @Option(names = "--try", required = true, description = "As next gave it.")
    private int tries;

    @Option(names = "--found", required = true, description = "The version that runs there now.")
    private String found;

    @java.lang.Override
    public Integer call() {
      ObjectNode entry =
          Json.object()
              .put("op", "release_reported")
              .put("release", name)
              .put("target", as)
              .put("action", action)
              .put("tries", tries)
              .put("found", found);
      return target.ask(Json.object().put("op", "submit").set("entry", entry), Change::print);
    }
  }
}
