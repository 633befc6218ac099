package leadferry.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import leadferry.consensus.Json;
import leadferry.disruption.Budget;
import leadferry.release.ReleasePlanCodec;

/**
 * Reads a plan of a release (TOML 1.0, {@code docs/RELEASES.md}) and names its targets from what
 * the fleet is now.
 */
public final class ReleaseFile {
  private enum By {
    COMMAND,
    AGENT
  }

  private ReleaseFile() {}

  /**
   * Reads a plan into the form that the ledger takes.
   *
   * @param status the fleet as the ledger tells of it: proxies and hosts with their labels
   * @throws FaultyFileException with every fault that was found
   */
  public static ObjectNode read(Path file, JsonNode status) throws ConfigurationException {
    String text;
    try {
      text = Files.readString(file);
    } catch (IOException e) {
      throw new ConfigurationException(
          List.of(
              new ConfigurationError(
                  file.toString(), 0, "", "can't be read: " + e, "TOML in UTF-8")));
    }
    TomlSection.Source source =
        new TomlSection.Source(file.toString(), TomlTree.of(file.toString(), text));
    TomlSection root = new TomlSection(source, "", source.lines.root);
    TomlSection r = root.table("release");
    ObjectNode plan = Json.object();
    plan.put("name", r.text("name", null, "the release's own name in the fleet"));
    String of = r.text("of", null, "proxy or host");
    plan.put("of", of);
    plan.put("version", r.text("version", null, "what its targets are once it is done"));
    plan.put("from", r.text("from", null, "what they were, and are again by the way back"));
    for (String key : List.of("action_ms", "longest_ms")) {
      if (r.has(key)) {
        plan.put(key, r.integer(key, 300_000, 100, Integer.MAX_VALUE));
      }
    }
    plan.put("halt_lost", r.integer("halt_lost", 2, 0, 100_000));
    for (String key : List.of("on_takeover", "on_missing", "on_wrong", "on_verdict")) {
      if (r.has(key)) {
        plan.put(key, r.text(key, null, "a word as docs/RELEASES.md tells"));
      }
    }
    TomlSection g = r.table("guard");
    plan.putObject("guard")
        .put("least_requests", g.integer("least_requests", 0, 0, 1_000_000_000))
        .put("max_worse", g.number("max_worse", 0.02, 0, 1))
        .put("max_bad", g.number("max_bad", 0.05, 0, 1))
        .put("sigmas", g.number("sigmas", 3, 0.5, 10))
        .put("wait_ms", g.integer("wait_ms", 60_000, 0, Integer.MAX_VALUE));
    g.end();
    carry(r.table("carry"), plan.putObject("carry"));
    steps(r, of, status, plan.putArray("steps"));
    r.end();
    root.end();
    if (source.faults.isEmpty()) {
      List<String> faults = new ArrayList<>();
      ReleasePlanCodec.read(plan, faults);
      faults.forEach(f -> r.fault("", f, "a plan as docs/RELEASES.md tells"));
    }
    if (!source.faults.isEmpty()) {
      source.faults.sort(Comparator.comparingInt(ConfigurationError::line));
      throw new ConfigurationException(source.faults);
    }
    return plan;
  }

  private static void carry(TomlSection c, ObjectNode to) {
    By by = c.word("by", By.COMMAND, By.class);
    to.put("by", by == By.COMMAND ? "command" : "agent");
    for (String key : List.of("command", "check")) {
      List<String> words = c.texts(key);
      if (!words.isEmpty()) {
        words.forEach(to.putArray(key)::add);
      } else if (key.equals("command") && by == By.COMMAND) {
        c.fault(
            "command",
            "missing",
            "the program that changes a target, with its arguments; {target} and {version} stand for these");
      }
    }
    to.put("timeout_ms", c.integer("timeout_ms", 60_000, 100, 3_600_000));
    c.end();
  }

  /**
   * Each step takes of what is left those that it names, or that carry its labels, or a share of
   * these.
   */
  private static void steps(TomlSection r, String of, JsonNode status, ArrayNode to) {
    Map<String, JsonNode> all = new LinkedHashMap<>();
    status
        .path(of.equals("proxy") ? "proxies" : "hosts")
        .forEach(n -> all.put(n.path("name").asText(), n));
    Map<String, String> overall = labels(r);
    Set<String> taken = new LinkedHashSet<>();
    for (TomlSection s : r.list("step")) {
      ObjectNode step = to.addObject().put("name", s.text("name", null, "the step's name"));
      step.put("at_once", s.integer("at_once", 1, 1, 100_000))
          .put("bake_ms", s.integer("bake_ms", 0, 0, Integer.MAX_VALUE));
      Map<String, String> where = labels(s);
      double share = s.number("share", 1, 0, 1);
      List<String> targets = new ArrayList<>(s.texts("targets"));
      for (int i = 0; i < targets.size(); i++) {
        s.known("targets[" + i + "]", targets.get(i), all.keySet(), of);
        if (!taken.add(targets.get(i))) {
          s.fault(
              "targets[" + i + "]",
              "'" + targets.get(i) + "', in a step before",
              "a target that no step before has");
        }
      }
      if (targets.isEmpty()) {
        List<String> left =
            all.entrySet().stream()
                .filter(
                    e ->
                        !taken.contains(e.getKey())
                            && fits(e.getValue(), overall)
                            && fits(e.getValue(), where))
                .map(Map.Entry::getKey)
                .toList();
        targets.addAll(left.subList(0, (int) Math.ceil(share * left.size())));
        taken.addAll(targets);
        if (targets.isEmpty()) {
          s.fault("", "no " + of + " is left for it", "a step with targets");
        }
      }
      s.end();
      targets.forEach(step.putArray("targets")::add);
    }
  }

  private static boolean fits(JsonNode subject, Map<String, String> labels) {
    return labels.entrySet().stream()
        .allMatch(l -> subject.path(l.getKey()).asText("-").equals(l.getValue()));
  }

  private static Map<String, String> labels(TomlSection s) {
    Map<String, String> where = s.map("where");
    for (String label : where.keySet()) {
      if (!Budget.LABELS.contains(label)) {
        s.fault("where." + label, "'" + label + "'", "zone, pod, pool or kind");
      }
    }
    return where;
  }
}
