package leadferry.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import leadferry.release.ReleaseDirection;
import leadferry.release.ReleaseTargetView;
import leadferry.release.ReleaseView;
import leadferry.release.ReleaseViewCodec;
import leadferry.release.TargetVersion;

/** Prints the status of releases as human-readable text. */
final class ReleaseStatusPrinter {
  private static final int MAX_BAR_CHARACTERS = 40;

  private ReleaseStatusPrinter() {}

  /** Returns the name of a direction on the command line. */
  static String directionName(ReleaseDirection direction) {
    return direction == ReleaseDirection.FORWARD ? "forward" : "rollback";
  }

  /** Prints one release with its targets, a list of releases, or the reason of an error. */
  static void print(ObjectNode response) {
    if (ReleaseViewCodec.isRelease(response)) {
      print(ReleaseViewCodec.read(response));
    } else if (response.has("why")) {
      FleetChangeCommand.print(response);
    } else {
      response.path("releases").forEach(ReleaseStatusPrinter::printSummary);
    }
  }

  private static void printSummary(JsonNode json) {
    ReleaseDirection direction = ReleaseViewCodec.readDirection(json);
    System.out.println(
        json.path("number").asLong()
            + " "
            + json.path("name").asText()
            + ": "
            + json.path("of").asText()
            + "s to "
            + json.path("version").asText()
            + ", "
            + json.path("state").asText()
            + " "
            + directionName(direction)
            + ", step "
            + json.path("goal").asInt()
            + " of "
            + json.path("steps").asInt()
            + inParentheses(json.path("state_why").asText()));
  }

  private static void print(ReleaseView release) {
    String driver =
        release.hasDriver()
            ? "; driven by " + release.driver() + ", fence " + release.fence()
            : "; no driver";
    System.out.println(
        release.name()
            + " is "
            + release.state().storedName()
            + ", "
            + directionName(release.progress().direction())
            + inParentheses(release.stateReason())
            + driver);
    Map<String, ZoneProgress> zones = new LinkedHashMap<>();
    for (ReleaseTargetView target : release.targets()) {
      zones.computeIfAbsent(target.availability().zone(), zone -> new ZoneProgress()).add(target);
    }
    zones.forEach(
        (zone, progress) ->
            System.out.printf(
                Locale.ROOT,
                "  zone %-8s [%s] %d of %d%n",
                zone,
                progress.bar(),
                progress.updated,
                progress.total));
    release.targets().stream()
        .filter(ReleaseStatusPrinter::isNotable)
        .forEach(ReleaseStatusPrinter::printTarget);
  }

  private static String inParentheses(String reason) {
    return reason.isEmpty() ? "" : " (" + reason + ")";
  }

  private static boolean isNotable(ReleaseTargetView target) {
    return !target.isInService() || target.availability().lost() || target.overdue();
  }

  private static void printTarget(ReleaseTargetView target) {
    System.out.println(
        "  "
            + target.name()
            + " "
            + target.phase().storedName()
            + ", "
            + target.version().storedName()
            + target.availability().unavailabilityReason().map(reason -> ", " + reason).orElse("")
            + (target.observation().isEmpty() ? "" : ", found " + target.observation())
            + (target.overdue() ? ", LATE" : ""));
    target
        .availability()
        .pendingProxies()
        .forEach((member, reason) -> System.out.println("    awaits " + member + ": " + reason));
  }

  /** Counts the targets of a zone that run the new version and the targets in progress. */
  private static final class ZoneProgress {
    private int updated;
    private int inProgress;
    private int total;

    void add(ReleaseTargetView target) {
      total++;
      if (!target.isInService()) {
        inProgress++;
      } else if (target.version() == TargetVersion.NEW) {
        updated++;
      }
    }

    /**
     * Returns a progress bar: # for the new version, ~ for targets in progress, a dot for the rest.
     */
    String bar() {
      int width = Math.min(MAX_BAR_CHARACTERS, total);
      int updatedWidth = width * updated / total;
      int inProgressWidth = inProgress == 0 ? 0 : Math.max(1, width * inProgress / total);
      return "#".repeat(updatedWidth)
          + "~".repeat(Math.min(inProgressWidth, width - updatedWidth))
          + ".".repeat(Math.max(0, width - updatedWidth - inProgressWidth));
    }
  }
}
