package leadferry.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.Callable;
import leadferry.consensus.Json;
import leadferry.consensus.ReplicaClient;
import leadferry.consensus.ReplicaClient.UnreachableException;
import leadferry.daemon.ConfigurationException;
import leadferry.daemon.ReplicaFile;
import leadferry.engine.Addresses;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** What operators ask of the fleet's ledger. */
@Command(
    name = "fleet",
    mixinStandardHelpOptions = true,
    description =
        "Takes proxies and hosts of a fleet out of service and back, and tells who is out.",
    subcommands = {
      FleetCommand.Drain.class,
      FleetCommand.Leave.class,
      FleetCommand.Undo.class,
      FleetCommand.Halt.class,
      FleetCommand.Resume.class,
      FleetCommand.Fence.class,
      FleetCommand.Forget.class,
      FleetCommand.Budgets.class,
      FleetCommand.Status.class,
      FleetCommand.Explain.class,
      FleetCommand.History.class,
      FleetCommand.Health.class,
      ReleaseCliCommand.class
    },
    footer = {
      "",
      "Exit status: 0 done or granted, 1 internal, 2 faulty arguments or file, 3 refused, 4 halted, 5 no keeper can be reached,",
      "6 undecided: it was sent, and what became of it is not known; ask again with the same --id, 7 granted, and somebody is awaited."
    })
final class FleetCommand implements Runnable {
  static final int REFUSED = 3;
  static final int HALTED = 4;
  static final int UNREACHABLE = 5;
  static final int UNDECIDED = 6;
  static final int AWAITED = 7;
  private static final long WATCH_MS = 500;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "Missing command");
  }

  /** What all of them share. */
  static final class Target {
    @Option(names = "--fleet", required = true, description = "The fleet's name.")
    private String fleet;

    @Option(
        names = "--keeper",
        required = true,
        paramLabel = "NAME=IP:PORT",
        description = "A keeper; may be repeated.")
    private Map<String, String> keepers = new LinkedHashMap<>();

    @Option(
        names = "--timeout-s",
        defaultValue = "10",
        description = "How long an answer is waited for.")
    private double timeout;

    @Option(names = "--json", description = "The answer as JSON on standard output.")
    private boolean json;

    @CommandLine.Spec(CommandLine.Spec.Target.MIXEE)
    private CommandLine.Model.CommandSpec spec;

    private long until;

    ReplicaClient client() {
      Map<String, InetSocketAddress> at = new LinkedHashMap<>();
      keepers.forEach(
          (name, text) -> {
            InetSocketAddress a = Addresses.parse(text);
            if (a == null || a.getPort() == 0) {
              throw new CommandLine.ParameterException(
                  spec.commandLine(),
                  "--keeper " + name + "=" + text + " (expected: NAME=IP:PORT)");
            }
            at.put(name, a);
          });
      if (!(timeout > 0 && timeout <= 86_400)) {
        throw new CommandLine.ParameterException(
            spec.commandLine(), "--timeout-s " + timeout + " (expected: above 0, at most 86400)");
      }
      until = System.nanoTime() + (long) (timeout * 1e9);
      return new ReplicaClient(fleet, at, m -> {});
    }

    /**
     * Asks, prints, and gives the exit status; {@code then} prints what has been answered for
     * people.
     */
    int ask(ObjectNode request, java.util.function.Consumer<ObjectNode> then) {
      try (ReplicaClient c = client()) {
        return told(c.call(request, until), then);
      } catch (UnreachableException e) {
        return unreached(e, request);
      }
    }

    /** Asks again and again and prints what has changed; ends only with this process. */
    int watch(ObjectNode request, java.util.function.Consumer<ObjectNode> then)
        throws InterruptedException {
      String last = "";
      try (ReplicaClient c = client()) {
        while (true) {
          ObjectNode o;
          try {
            o = c.call(request, System.nanoTime() + (long) (timeout * 1e9));
            o.remove("id");
          } catch (UnreachableException e) {
            o = Json.object().put("status", "unreachable").put("why", e.getMessage());
          }
          String text = Json.text(o);
          if (!text.equals(last)) {
            last = text;
            if (json) {
              System.out.println(text);
            } else {
              System.out.println("-- " + Instant.now());
              if (o.path("status").asText().equals("unreachable")) {
                System.out.println("no keeper can be reached: " + o.path("why").asText());
              } else {
                then.accept(o);
              }
            }
          }
          Thread.sleep(WATCH_MS);
        }
      }
    }

    CommandLine commandLine() {
      return spec.commandLine();
    }

    /** When (ns) the time for an answer is over; counts from {@link #client}. */
    long until() {
      return until;
    }

    int told(ObjectNode o, java.util.function.Consumer<ObjectNode> then) {
      o.remove("id");
      if (json) {
        System.out.println(Json.text(o));
      } else {
        then.accept(o);
      }
      return switch (o.path("status").asText(o.has("error") ? "malformed" : "done")) {
        case "done", "granted" -> 0;
        case "refused", "unknown", "conflict" -> REFUSED;
        case "halted" -> HALTED;
        default -> 2;
      };
    }

    private int unreached(UnreachableException e, ObjectNode request) {
      boolean decides = e.sent && request.path("op").asText().equals("submit");
      ObjectNode o =
          Json.object()
              .put("status", decides ? "undecided" : "unreachable")
              .put("why", e.getMessage());
      if (decides) {
        o.put("call", request.path("entry").path("call").asText());
      }
      if (json) {
        System.out.println(Json.text(o));
      } else {
        System.out.println(
            decides
                ? "undecided ("
                    + e.getMessage()
                    + "): ask again with --id "
                    + o.path("call").asText()
                : "no keeper can be reached: " + e.getMessage());
      }
      return decides ? UNDECIDED : UNREACHABLE;
    }
  }

  /** What changes something. */
  abstract static class Change implements Callable<Integer> {
    @Mixin Target target;

    @Option(names = "--why", required = true, description = "The reason, for the audit.")
    String why;

    @Option(names = "--who", description = "Who asks; the user of this shell where it is left out.")
    String who = System.getProperty("user.name");

    @Option(
        names = "--id",
        description =
            "The call's id: with the one of an earlier call, its one true outcome is told.")
    String id = UUID.randomUUID().toString();

    ObjectNode entry(String op) {
      return Json.object()
          .put("op", op)
          .put("call", id)
          .put("who", who)
          .put("why", why)
          .put("at", Instant.now().toEpochMilli());
    }

    int change(ObjectNode entry) {
      return target.ask(
          Json.object().put("op", "submit").set("entry", entry), o -> Change.print(o));
    }

    static void print(ObjectNode o) {
      System.out.println(
          o.path("status").asText(o.path("error").asText())
              + (o.has("permit") ? ", permit " + o.path("permit").asText() : "")
              + (o.path("again").asBoolean() ? " (as was answered before)" : ""));
      o.path("why").forEach(w -> System.out.println("  " + w.asText()));
    }
  }

  /** What takes somebody out, and may wait until that is so. */
  abstract static class Outage extends Change {
    /** Asks for it, and waits until it is carried out. */
    int awaited(ObjectNode entry) {
      try (ReplicaClient c = target.client()) {
        ObjectNode request = Json.object().put("op", "submit").set("entry", entry);
        ObjectNode granted;
        try {
          granted = c.call(request, target.until);
        } catch (UnreachableException e) {
          return target.unreached(e, request);
        }
        if (!granted.path("status").asText().equals("granted")) {
          return target.told(granted, Change::print);
        }
        ObjectNode now = granted;
        while (System.nanoTime() < target.until) {
          try {
            now =
                c.call(
                    Json.object()
                        .put("op", "permit")
                        .put("permit", granted.path("permit").asText()),
                    target.until);
          } catch (UnreachableException e) {
            break;
          }
          if (now.path("carried_out").asBoolean()) {
            return target.told(
                granted.put("carried_out", true),
                o -> System.out.println("out, permit " + o.path("permit").asText()));
          }
          c.listen(System.nanoTime() + 50_000_000L);
        }
        granted.put("carried_out", false).set("awaited", now.path("awaited"));
        target.told(
            granted,
            o -> {
              System.out.println(
                  "granted, permit " + o.path("permit").asText() + ", and not out everywhere yet:");
              o.path("awaited")
                  .properties()
                  .forEach(
                      e -> System.out.println("  " + e.getKey() + " " + e.getValue().asText()));
            });
        return AWAITED;
      }
    }
  }

  @Command(
      name = "leave",
      mixinStandardHelpOptions = true,
      description = {
        "Before a proxy is stopped for good: takes it out where budgets allow it, and waits until it is. End its process after exit status 0;",
        "it is forgotten as soon as it has told that it ends."
      })
  static final class Leave extends Outage {
    @Parameters(paramLabel = "PROXY", description = "Which.")
    private String name;

    @Override
    public Integer call() {
      return awaited(entry("drain").put("kind", "proxy").put("name", name).put("leave", true));
    }
  }

  @Command(
      name = "drain",
      mixinStandardHelpOptions = true,
      description = "Takes a proxy or a host out of service, where budgets allow it.")
  static final class Drain extends Outage {
    @Parameters(index = "0", paramLabel = "proxy|host", description = "What it is.")
    private String kind;

    @Parameters(index = "1", paramLabel = "NAME", description = "Which.")
    private String name;

    @Option(
        names = "--for",
        paramLabel = "TIME",
        description = "Ends by itself after 30s, 10m or 2h; without it, with undo.")
    private String time;

    @Option(
        names = "--wait",
        description = "Waits until it is out everywhere, at most --timeout-s.")
    private boolean wait;

    @Override
    public Integer call() {
      ObjectNode entry = entry("drain").put("kind", kind).put("name", name).put("for_ms", millis());
      return wait ? awaited(entry) : change(entry);
    }

    private long millis() {
      if (time == null) {
        return 0;
      }
      java.util.regex.Matcher m =
          java.util.regex.Pattern.compile("([0-9]{1,9})(ms|s|m|h)").matcher(time);
      if (!m.matches()) {
        throw new CommandLine.ParameterException(
            target.spec.commandLine(), "--for " + time + " (expected: as 500ms, 30s, 10m or 2h)");
      }
      return Long.parseLong(m.group(1))
          * switch (m.group(2)) {
            case "ms" -> 1;
            case "s" -> 1_000;
            case "m" -> 60_000;
            default -> 3_600_000;
          };
    }
  }

  @Command(
      name = "undo",
      mixinStandardHelpOptions = true,
      description = "Gives back what a permit took out.")
  static final class Undo extends Change {
    @Parameters(paramLabel = "PERMIT", description = "The permit's id.")
    private String permit;

    @Override
    public Integer call() {
      return change(entry("undo").put("permit", permit));
    }
  }

  @Command(
      name = "halt",
      mixinStandardHelpOptions = true,
      description = "Nothing more is granted, anywhere, until resume.")
  static final class Halt extends Change {
    @Override
    public Integer call() {
      return change(entry("halt"));
    }
  }

  @Command(name = "resume", mixinStandardHelpOptions = true, description = "Ends a halt.")
  static final class Resume extends Change {
    @Override
    public Integer call() {
      return change(entry("resume"));
    }
  }

  @Command(
      name = "fence",
      mixinStandardHelpOptions = true,
      description = "Your word that a lost proxy's process is dead.")
  static final class Fence extends Change {
    @Parameters(paramLabel = "PROXY", description = "Which.")
    private String name;

    @Override
    public Integer call() {
      return change(entry("fence").put("name", name));
    }
  }

  @Command(
      name = "forget",
      mixinStandardHelpOptions = true,
      description = "Takes a proxy that has gone for good out of all counts.")
  static final class Forget extends Change {
    @Parameters(paramLabel = "PROXY", description = "Which.")
    private String name;

    @Override
    public Integer call() {
      return change(entry("forget").put("name", name));
    }
  }

  @Command(
      name = "budgets",
      mixinStandardHelpOptions = true,
      description = "Puts the budgets of a file in force, in place of all others.")
  static final class Budgets extends Change {
    @Parameters(paramLabel = "FILE", description = "TOML with [[budget]] tables.")
    private Path file;

    @Option(
        names = "--against",
        defaultValue = "0",
        description = "The version that they replace: 'budgets_version' of status.")
    private long against;

    @Override
    public Integer call() {
      ObjectNode entry = entry("budgets").put("against", against);
      try {
        entry.set("budgets", ReplicaFile.budgets(file));
      } catch (ConfigurationException e) {
        System.err.println(e.getMessage());
        return 2;
      }
      return change(entry);
    }
  }

  @Command(
      name = "status",
      mixinStandardHelpOptions = true,
      description = "Who is out and why, permits and budgets.")
  static final class Status implements Callable<Integer> {
    @Mixin private Target target;

    @Option(
        names = "--watch",
        description =
            "Tells again whenever something has changed, until it is ended; unreachable keepers are told and asked again.")
    private boolean watch;

    @Override
    public Integer call() throws InterruptedException {
      ObjectNode request = Json.object().put("op", "status");
      return watch ? target.watch(request, Status::print) : target.ask(request, Status::print);
    }

    private static void print(ObjectNode o) {
      String halted = o.path("halted").asText();
      System.out.println(
          "version " + o.path("version") + (halted.isEmpty() ? "" : ", HALTED: " + halted));
      for (String what : List.of("proxies", "hosts")) {
        List<String> out = new ArrayList<>();
        o.path(what)
            .forEach(
                n -> {
                  if (!n.path("out").isNull()) {
                    out.add(n.path("name").asText() + " (" + n.path("out").asText() + ")");
                  }
                });
        System.out.println(
            what
                + ": "
                + o.path(what).size()
                + ", out "
                + out.size()
                + (out.isEmpty() ? "" : ": " + String.join(", ", out)));
      }
      for (JsonNode p : o.path("permits")) {
        System.out.printf(
            Locale.ROOT,
            "permit %s: %s %s, %s, by %s: %s%n",
            p.path("id").asText(),
            p.path("kind").asText(),
            p.path("name").asText(),
            p.path("state").asText(),
            p.path("who").asText(),
            p.path("why").asText());
        p.path("awaited")
            .properties()
            .forEach(
                e -> System.out.println("  awaits " + e.getKey() + ": " + e.getValue().asText()));
      }
      for (JsonNode b : o.path("budgets")) {
        System.out.println("budget " + Json.text(b));
      }
    }
  }

  @Command(
      name = "explain",
      mixinStandardHelpOptions = true,
      description =
          "What would become of a drain asked for now, and each bound that it would meet.")
  static final class Explain implements Callable<Integer> {
    @Mixin private Target target;

    @Parameters(index = "0", paramLabel = "proxy|host", description = "What it is.")
    private String kind;

    @Parameters(index = "1", paramLabel = "NAME", description = "Which.")
    private String name;

    @Override
    public Integer call() {
      return target.ask(
          Json.object().put("op", "explain").put("kind", kind).put("name", name), Explain::print);
    }

    private static void print(ObjectNode o) {
      if (!o.has("would_be")) {
        Change.print(o);
        return;
      }
      String out = o.path("out").asText("");
      System.out.println(
          "a drain of "
              + o.path("kind").asText()
              + " "
              + o.path("name").asText()
              + " would be "
              + o.path("would_be").asText()
              + (o.path("out").isNull() ? "" : "; it is out: " + out)
              + (o.path("halted").asText().isEmpty()
                  ? ""
                  : "; halted: " + o.path("halted").asText()));
      for (JsonNode b : o.path("bounds")) {
        List<String> others = new ArrayList<>();
        b.path("others_out").forEach(n -> others.add(n.asText()));
        System.out.printf(
            Locale.ROOT,
            "  %s: %d of %d may be out, %d others are%s%s%n",
            b.path("bound").asText(),
            b.path("allowed").asInt(),
            b.path("of").asInt(),
            others.size(),
            others.isEmpty() ? "" : ": " + String.join(", ", others),
            b.path("full").asBoolean() ? " (full)" : "");
      }
    }
  }

  @Command(
      name = "history",
      mixinStandardHelpOptions = true,
      description = "Who asked what, why, and what became of it; the newest last.")
  static final class History implements Callable<Integer> {
    @Mixin private Target target;

    @Override
    public Integer call() {
      return target.ask(
          Json.object().put("op", "status").put("history", true),
          o -> o.path("history").forEach(h -> System.out.println(Json.text(h))));
    }
  }

  @Command(
      name = "health",
      mixinStandardHelpOptions = true,
      description = "Each keeper's role, term and how far it is.")
  static final class Health implements Callable<Integer> {
    @Mixin private Target target;

    @Override
    public Integer call() {
      int worst = 0;
      for (String name : List.copyOf(target.keepers.keySet())) {
        Target one = new Target();
        one.fleet = target.fleet;
        one.keepers = Map.of(name, target.keepers.get(name));
        one.timeout = Math.min(2, target.timeout);
        one.json = target.json;
        one.spec = target.spec;
        worst =
            Math.max(
                worst,
                one.ask(Json.object().put("op", "health"), o -> System.out.println(Json.text(o))));
      }
      return worst;
    }
  }
}
