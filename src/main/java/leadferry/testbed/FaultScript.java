package leadferry.testbed;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Parses a script that replaces the faults from a seed. Each line holds one step, {@code SECONDS
 * VERB ARGUMENT...}; {@code #} begins a comment.
 *
 * <pre>
 *   2.0  cut p1 k1 forth        # holds back what p1 sends to k1; also: back, both
 *   2.5  isolate k2             # from all other replicas
 *   3.0  kill k1                # also: start, stop (SIGSTOP), cont (SIGCONT); replicas and proxies
 *   4.0  drain proxy p2         # also: undo proxy p2, halt, resume
 *   9.0  heal                   # removes the faults of all links
 * </pre>
 */
public final class FaultScript {
  /** One line of a script; {@code atSeconds} counts from the start of the load. */
  public record Step(double atSeconds, String verb, List<String> arguments) {}

  private static final Map<String, Integer> ARGUMENT_COUNTS =
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
   * Parses a script and returns its steps sorted by time. {@code names} holds the names of the
   * test's processes and upstreams.
   *
   * @throws IllegalArgumentException with one line for each error in the script
   */
  public static List<Step> parse(List<String> lines, Set<String> names) {
    List<Step> steps = new ArrayList<>();
    List<String> errors = new ArrayList<>();
    for (int i = 0; i < lines.size(); i++) {
      String text = lines.get(i).replaceFirst("#.*", "").strip();
      if (!text.isEmpty()) {
        parseStep(i + 1, text.split("\\s+"), names, steps, errors);
      }
    }
    if (!errors.isEmpty()) {
      throw new IllegalArgumentException(String.join("\n", errors));
    }
    steps.sort(Comparator.comparingDouble(Step::atSeconds));
    return steps;
  }

  private static void parseStep(
      int line, String[] words, Set<String> names, List<Step> steps, List<String> errors) {
    double atSeconds = -1;
    try {
      atSeconds = Double.parseDouble(words[0]);
    } catch (NumberFormatException e) {
      // reported by the range check below
    }
    if (!(atSeconds >= 0 && atSeconds <= 86_400)) {
      errors.add("line " + line + ": " + words[0] + " (expected: seconds, 0 to 86400)");
    }
    String verb = words.length > 1 ? words[1] : "";
    Integer argumentCount = ARGUMENT_COUNTS.get(verb);
    if (argumentCount == null) {
      errors.add(
          "line "
              + line
              + ": '"
              + verb
              + "' (expected: one of "
              + ARGUMENT_COUNTS.keySet().stream().sorted().toList()
              + ")");
      return;
    }
    List<String> arguments = List.of(words).subList(2, words.length);
    if (arguments.size() != argumentCount) {
      errors.add(
          "line "
              + line
              + ": "
              + verb
              + " with "
              + arguments.size()
              + " arguments (expected: "
              + argumentCount
              + ")");
      return;
    }
    boolean startsWithKind = verb.equals("drain") || verb.equals("undo");
    for (int i = 0; i < arguments.size(); i++) {
      String argument = arguments.get(i);
      boolean isThird = i == 2;
      boolean isValid =
          (startsWithKind && i == 0)
              ? Set.of("proxy", "host").contains(argument)
              : isThird
                  ? verb.equals("cut")
                      ? Set.of("forth", "back", "both").contains(argument)
                      : argument.matches("[0-9]{1,5}")
                  : names.contains(argument);
      if (!isValid) {
        errors.add(
            "line "
                + line
                + ": '"
                + argument
                + "' (expected: "
                + (startsWithKind && i == 0
                    ? "proxy or host"
                    : isThird
                        ? verb.equals("cut") ? "forth, back or both" : "milliseconds"
                        : "a replica, proxy or host of the test")
                + ")");
      }
    }
    steps.add(new Step(atSeconds, verb, arguments));
  }
}
