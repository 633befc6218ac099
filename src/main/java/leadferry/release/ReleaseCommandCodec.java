package leadferry.release;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Set;

/**
 * Maps {@link ReleaseCommand}s to and from the entries of the log. The entries keep the words that
 * they were first written with: {@code release_drive} is {@link ReleaseCommand.AcquireLease},
 * {@code release_acting} {@link ReleaseCommand.BeginChange}, {@code release_back} {@link
 * ReleaseCommand.RollBack}, and so on; see {@link #decode}.
 */
public final class ReleaseCommandCodec {
  private static final String START = "release_start";

  /** Entries that drivers write: they come often, and are not all worth a line of the audit. */
  public static final Set<String> DRIVER_OPERATIONS =
      Set.of(
          "release_drive",
          "release_yield",
          "release_intend",
          "release_acting",
          "release_observed",
          "release_reported",
          "release_verdict");

  /** Entries that operators write. */
  public static final Set<String> OPERATOR_OPERATIONS =
      Set.of(
          START,
          "release_pause",
          "release_resume",
          "release_halt",
          "release_back",
          "release_override",
          "release_end");

  private ReleaseCommandCodec() {}

  /**
   * Reads an entry whose operation is one of {@link #DRIVER_OPERATIONS} or {@link
   * #OPERATOR_OPERATIONS}.
   *
   * @param faults gets what is wrong with a plan
   * @return the command, or null where there was a fault
   */
  public static ReleaseCommand decode(String operation, JsonNode entry, List<String> faults) {
    String release = entry.path("release").isTextual() ? entry.path("release").asText() : "";
    String why = entry.path("why").asText();
    return switch (operation) {
      case START -> {
        ReleasePlan plan = ReleasePlanCodec.read(entry.path("plan"), faults);
        yield plan == null
            ? null
            : new ReleaseCommand.StartRelease(plan, entry.path("who").asText(), why);
      }
      case "release_pause" -> new ReleaseCommand.PauseRelease(release, why);
      case "release_resume" -> new ReleaseCommand.ResumeRelease(release, why);
      case "release_halt" -> new ReleaseCommand.HaltRelease(release, why);
      case "release_back" ->
          new ReleaseCommand.RollBack(release, entry.path("to_step").asInt(0), why);
      case "release_override" ->
          new ReleaseCommand.OverrideCheck(release, entry.path("what").asText(), why);
      case "release_end" -> new ReleaseCommand.EndRelease(release, why);
      default -> decodeOfDriver(operation, release, entry);
    };
  }

  private static ReleaseCommand decodeOfDriver(String operation, String release, JsonNode entry) {
    long fence = entry.path("fence").asLong();
    String target = entry.path("target").asText();
    long action = entry.path("action").asLong();
    return switch (operation) {
      case "release_drive" ->
          new ReleaseCommand.AcquireLease(
              release, entry.path("driver").asText(), entry.path("lease_ms").asLong());
      case "release_yield" -> new ReleaseCommand.YieldLease(release, fence);
      case "release_intend" -> new ReleaseCommand.IntendChange(release, fence, target);
      case "release_acting" -> new ReleaseCommand.BeginChange(release, fence, target, action);
      case "release_observed" ->
          new ReleaseCommand.RecordObservation(
              release,
              fence,
              target,
              action,
              entry.path("found").asText(),
              entry.path("text").asText());
      case "release_reported" ->
          new ReleaseCommand.RecordReport(
              release, target, action, entry.path("tries").asInt(), entry.path("found").asText());
      case "release_verdict" ->
          new ReleaseCommand.RecordVerdict(
              release,
              fence,
              entry.path("step").asInt(-1),
              entry.path("go").asBoolean(),
              entry.path("text").asText());
      default ->
          throw new IllegalArgumentException(
              "operation: '" + operation + "' (expected: one of a release)");
    };
  }
}
