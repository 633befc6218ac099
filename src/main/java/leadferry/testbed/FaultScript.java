package leadferry.testbed;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Which fault when, in place of those from a seed: a line each, {@code SECONDS VERB ARGUMENT...}, #
 * begins a comment.
 *
 * <pre>
 *   2.0  cut p1 k1 forth        # what p1 sends k1 is held back; also back, both
 *   2.5  isolate k2             # from all other replicas
 *   3.0  kill k1                # and start, stop (SIGSTOP), cont (SIGCONT), of replicas and proxies
 *   4.0  drain proxy p2         # and undo proxy p2, halt, resume
 *   9.0  heal                   # all links are whole
 * </pre>
 */
public final class FaultScript {
  /** One line; {@code at} in seconds from the begin of load. */
  public record Step(double atSeconds, String verb, List<String> arguments) {}

  private static final Map<String, Integer> VERBS =
      Map.ofEntries(
          Map.entry("kill", 1),
          Map.entry("start", 1),
          Map.entry("stop", 1),
          Map.entry("cont", 1),
          Map.entry("isolate", 1),
          Map.entry("heal", 0),
          Map.entry("cut", 3),
          Map.entry("delay", 3),
          Map.entry("refuse", 2),
          Map.entry("middle", 2),
          Map.entry("drain", 2),
          Map.entry("undo", 2),
          Map.entry("halt", 0),
          Map.entry("resume", 0));

  private FaultScript() {}

  /**
   * Reads a script; {@code names} holds the rig's processes and hosts.
   *
   * @throws IllegalArgumentException with every fault that was found, a line each
   */
  public static List<Step> parse(List<String> lines, Set<String> names) {
    List<Step> steps = new ArrayList<>();
    List<String> faults = new ArrayList<>();
    for (int i = 0; i < lines.size(); i++) {
      String text = lines.get(i).replaceFirst("#.*", "").strip();
      if (!text.isEmpty()) {
        step(i + 1, text.split("\\s+"), names, steps, faults);
      }
    }
    if (!faults.isEmpty()) {
      throw new IllegalArgumentException(String.join("\n", faults));
    }
    steps.sort(Comparator.comparingDouble(Step::atSeconds));
    return steps;
  }

  private static void step(
      int line, String[] words, Set<String> names, List<Step> steps, List<String> faults) {
    double at = -1;
    try {
      at = Double.parseDouble(words[0]);
    } catch (NumberFormatException e) {
      // told below
    }
    if (!(at >= 0 && at <= 86_400)) {
      faults.add("line " + line + ": " + words[0] + " (expected: seconds, 0 to 86400)");
    }
    String verb = words.length > 1 ? words[1] : "";
    Integer wanted = VERBS.get(verb);
    if (wanted == null) {
      faults.add(
          "line "
              + line
              + ": '"
              + verb
              + "' (expected: one of "
              + VERBS.keySet().stream().sorted().toList()
              + ")");
      return;
    }
    List<String> arguments = List.of(words).subList(2, words.length);
    if (arguments.size() != wanted) {
      faults.add(
          "line "
              + line
              + ": "
              + verb
              + " with "
              + arguments.size()
              + " arguments (expected: "
              + wanted
              + ")");
      return;
    }
    boolean kinds = verb.equals("drain") || verb.equals("undo");
    for (int i = 0; i < arguments.size(); i++) {
      String a = arguments.get(i);
      boolean last = i == 2;
      boolean sound =
          (kinds && i == 0)
              ? Set.of("proxy", "host").contains(a)
              : last
                  ? verb.equals("cut")
                      ? Set.of("forth", "back", "both").contains(a)
                      : a.matches("[0-9]{1,5}")
                  : names.contains(a);
      if (!sound) {
        faults.add(
            "line "
                + line
                + ": '"
                + a
                + "' (expected: "
                + (kinds && i == 0
                    ? "proxy or host"
                    : last
                        ? verb.equals("cut") ? "forth, back or both" : "milliseconds"
                        : "a replica, proxy or host of the test")
                + ")");
      }
    }
    steps.add(new Step(at, verb, arguments));
  }
}
