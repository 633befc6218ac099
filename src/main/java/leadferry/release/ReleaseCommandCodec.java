package leadferry.release;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Set;

/**
 * Maps {@link ReleaseCommand}s to and from log entries. The stored names of the operations must not
 * change, and some differ from the names in the code: {@code release_drive} is {@link
 * ReleaseCommand.AcquireLease}, {@code release_acting} {@link ReleaseCommand.BeginChange}, {@code
 * release_back} {@link ReleaseCommand.RollBack}; see {@link #decode}.
 */
public final class ReleaseCommandCodec {
  private static final String START = "release_start";
  private static final String PAUSE = "release_pause";
  private static final String RESUME = "release_resume";
  private static final String HALT = "release_halt";
  private static final String ROLL_BACK = "release_back";
  private static final String OVERRIDE = "release_override";
  private static final String END = "release_end";
  private static final String ACQUIRE_LEASE = "release_drive";
  private static final String YIELD_LEASE = "release_yield";
  private static final String INTEND_CHANGE = "release_intend";
  private static final String BEGIN_CHANGE = "release_acting";
  private static final String RECORD_OBSERVATION = "release_observed";
  private static final String RECORD_REPORT = "release_reported";
  private static final String RECORD_VERDICT = "release_verdict";

  /**
   * Operations of drivers and agents. They are frequent, so the audit log leaves some of them out.
   */
  public static final Set<String> DRIVER_OPERATIONS =
      Set.of(
          ACQUIRE_LEASE,
          YIELD_LEASE,
          INTEND_CHANGE,
          BEGIN_CHANGE,
          RECORD_OBSERVATION,
          RECORD_REPORT,
          RECORD_VERDICT);

  /** Operations of operators. */
  public static final Set<String> OPERATOR_OPERATIONS =
      Set.of(START, PAUSE, RESUME, HALT, ROLL_BACK, OVERRIDE, END);

  private ReleaseCommandCodec() {}

  /**
   * Reads an entry of an operation in {@link #DRIVER_OPERATIONS} or {@link #OPERATOR_OPERATIONS}.
   *
   * @param errors receives one line for each invalid value of a plan
   * @return the command, or null if there was an error
   */
  public static ReleaseCommand decode(String operation, JsonNode entry, List<String> errors) {
    String release = entry.path("release").isTextual() ? entry.path("release").asText() : "";
    String reason = entry.path("why").asText();
    return switch (operation) {
      case START -> {
        ReleasePlan plan = ReleasePlanCodec.read(entry.path("plan"), errors);
        yield plan == null
            ? null
            : new ReleaseCommand.StartRelease(plan, entry.path("who").asText(), reason);
      }
      case PAUSE -> new ReleaseCommand.PauseRelease(release, reason);
      case RESUME -> new ReleaseCommand.ResumeRelease(release, reason);
      case HALT -> new ReleaseCommand.HaltRelease(release, reason);
      case ROLL_BACK ->
          new ReleaseCommand.RollBack(release, entry.path("to_step").asInt(0), reason);
      case OVERRIDE ->
          new ReleaseCommand.OverrideCheck(release, entry.path("what").asText(), reason);
      case END -> new ReleaseCommand.EndRelease(release, reason);
      default -> decodeDriverCommand(operation, release, entry);
    };
  }

  private static ReleaseCommand decodeDriverCommand(
      String operation, String release, JsonNode entry) {
    long fence = entry.path("fence").asLong();
    String target = entry.path("target").asText();
    long action = entry.path("action").asLong();
    return switch (operation) {
      case ACQUIRE_LEASE ->
          new ReleaseCommand.AcquireLease(
              release, entry.path("driver").asText(), entry.path("lease_ms").asLong());
      case YIELD_LEASE -> new ReleaseCommand.YieldLease(release, fence);
      case INTEND_CHANGE -> new ReleaseCommand.IntendChange(release, fence, target);
      case BEGIN_CHANGE -> new ReleaseCommand.BeginChange(release, fence, target, action);
      case RECORD_OBSERVATION ->
          new ReleaseCommand.RecordObservation(
              release,
              fence,
              target,
              action,
              entry.path("found").asText(),
              entry.path("text").asText());
      case RECORD_REPORT ->
          new ReleaseCommand.RecordReport(
              release, target, action, entry.path("tries").asInt(), entry.path("found").asText());
      case RECORD_VERDICT ->
          new ReleaseCommand.RecordVerdict(
              release,
              fence,
              entry.path("step").asInt(-1),
              entry.path("go").asBoolean(),
              entry.path("text").asText());
      default ->
          throw new IllegalArgumentException(
              "operation: '" + operation + "' (expected: an operation of a release)");
    };
  }

  /**
   * Returns an entry that starts a release.
   *
   * @param plan plan in its JSON form; missing keys have their defaults
   */
  public static ObjectNode encodeStart(JsonNode plan) {
    return entry(START).set("plan", plan);
  }

  /**
   * Returns the entry of a command, with {@code op}, {@code release} and the keys of the command.
   */
  public static ObjectNode encode(ReleaseCommand command) {
    if (command instanceof ReleaseCommand.StartRelease start) {
      ObjectNode plan = JsonNodeFactory.instance.objectNode();
      ReleasePlanCodec.write(start.plan(), plan);
      return encodeStart(plan).put("who", start.requestedBy()).put("why", start.reason());
    }
    if (command instanceof ReleaseCommand.PauseRelease pause) {
      return entry(PAUSE, command).put("why", pause.reason());
    }
    if (command instanceof ReleaseCommand.ResumeRelease resume) {
      return entry(RESUME, command).put("why", resume.reason());
    }
    if (command instanceof ReleaseCommand.HaltRelease halt) {
      return entry(HALT, command).put("why", halt.reason());
    }
    if (command instanceof ReleaseCommand.RollBack rollback) {
      return entry(ROLL_BACK, command)
          .put("to_step", rollback.toStep())
          .put("why", rollback.reason());
    }
    if (command instanceof ReleaseCommand.OverrideCheck override) {
      return entry(OVERRIDE, command).put("what", override.check()).put("why", override.reason());
    }
    if (command instanceof ReleaseCommand.EndRelease end) {
      return entry(END, command).put("why", end.reason());
    }
    return encodeDriverCommand(command);
  }

  private static ObjectNode encodeDriverCommand(ReleaseCommand command) {
    if (command instanceof ReleaseCommand.AcquireLease lease) {
      return entry(ACQUIRE_LEASE, command)
          .put("driver", lease.driver())
          .put("lease_ms", lease.leaseMillis());
    }
    if (command instanceof ReleaseCommand.YieldLease lease) {
      return entry(YIELD_LEASE, command).put("fence", lease.fence());
    }
    if (command instanceof ReleaseCommand.RecordVerdict verdict) {
      return entry(RECORD_VERDICT, command)
          .put("fence", verdict.fence())
          .put("go", verdict.proceed())
          .put("step", verdict.step())
          .put("text", verdict.evidence());
    }
    return encodeChangeCommand(command);
  }

  private static ObjectNode encodeChangeCommand(ReleaseCommand command) {
    if (command instanceof ReleaseCommand.IntendChange intent) {
      return entry(INTEND_CHANGE, command)
          .put("fence", intent.fence())
          .put("target", intent.target());
    }
    if (command instanceof ReleaseCommand.BeginChange change) {
      return entry(BEGIN_CHANGE, command)
          .put("action", change.action())
          .put("fence", change.fence())
          .put("target", change.target());
    }
    if (command instanceof ReleaseCommand.RecordObservation observation) {
      return entry(RECORD_OBSERVATION, command)
          .put("action", observation.action())
          .put("fence", observation.fence())
          .put("found", observation.foundVersion())
          .put("target", observation.target())
          .put("text", observation.detail());
    }
    if (command instanceof ReleaseCommand.RecordReport report) {
      return entry(RECORD_REPORT, command)
          .put("target", report.target())
          .put("action", report.action())
          .put("tries", report.attempt())
          .put("found", report.foundVersion());
    }
    throw new IllegalArgumentException(
        "command: " + command + " (expected: a command of a release)");
  }

  private static ObjectNode entry(String operation) {
    return JsonNodeFactory.instance.objectNode().put("op", operation);
  }

  private static ObjectNode entry(String operation, ReleaseCommand command) {
    return entry(operation).put("release", command.release());
  }
}
