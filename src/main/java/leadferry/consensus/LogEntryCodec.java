package leadferry.consensus;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import leadferry.disruption.Budget;
import leadferry.disruption.DisruptionCommand;
import leadferry.disruption.DisruptionState;
import leadferry.disruption.Target;
import leadferry.disruption.TargetType;
import leadferry.release.ReleaseCommand;
import leadferry.release.ReleaseCommandCodec;

/**
 * Maps {@link LogEntry}s to and from their stored form: a JSON object with {@code schema} and
 * {@code op}. Entries of operators also have {@code call}, {@code who}, {@code why} and {@code at}.
 * A repeated entry with the same {@code call} id gets the outcome of the first one. {@code at} is
 * the time by the caller's wall clock; no decision depends on it.
 *
 * <p>The stored words never change and are mapped only here: {@code tell} is {@link
 * LogEntry.MemberReport}, {@code expire} {@link LogEntry.SessionExpired}, {@code timeout} {@link
 * LogEntry.TimerExpired}, {@code budgets} {@link DisruptionCommand.ReplaceBudgets}, and so on.
 * {@link ReleaseCommandCodec} maps the words of releases. The command line encodes the entries of
 * operators; this class encodes only the entries of members and replicas.
 */
public final class LogEntryCodec {
  /** Version of the format of entries and snapshots that this version reads and writes. */
  public static final int SCHEMA = 1;

  /** Maximum length of texts written by people; longer texts are truncated. */
  private static final int MAX_TEXT_CHARS = 500;

  private static final String OPERATION = "op";

  private static final Set<String> MEMBER_OPERATIONS = Set.of("join", "tell", "leave");
  private static final Set<String> DISRUPTION_OPERATIONS =
      Set.of("drain", "undo", "halt", "resume", "fence", "forget", "budgets");

  /**
   * Operations that members, operators and drivers may submit; only the leader submits the others.
   */
  private static final Set<String> SUBMITTABLE_OPERATIONS =
      Stream.of(
              MEMBER_OPERATIONS,
              DISRUPTION_OPERATIONS,
              ReleaseCommandCodec.DRIVER_OPERATIONS,
              ReleaseCommandCodec.OPERATOR_OPERATIONS)
          .flatMap(Set::stream)
          .collect(Collectors.toUnmodifiableSet());

  private LogEntryCodec() {}

  /** Returns whether callers other than replicas may submit this stored entry. */
  static boolean isSubmittable(JsonNode stored) {
    return SUBMITTABLE_OPERATIONS.contains(stored.path(OPERATION).asText());
  }

  /** Returns whether this stored entry requests a session. */
  static boolean isJoin(JsonNode stored) {
    return stored.path(OPERATION).asText().equals("join");
  }

  /**
   * Parses the stored form; returns null if the bytes are not a JSON object.
   *
   * @throws NewerSchemaException if a newer version with another schema wrote the entry
   */
  static ObjectNode parse(byte[] bytes) {
    ObjectNode stored = Json.parse(bytes);
    if (stored != null) {
      checkSchema(stored.path("schema").asInt(1));
    }
    return stored;
  }

  /**
   * Rejects a schema newer than {@link #SCHEMA}. Guards against misreading an entry that a newer
   * version wrote.
   */
  static void checkSchema(int schema) {
    if (schema > SCHEMA) {
      throw new NewerSchemaException(schema);
    }
  }

  /** Returns the id that identifies repetitions of a call, or "". */
  static String callId(ObjectNode stored) {
    return text(stored, "call");
  }

  /** Decodes the stored form. */
  static LogEntry decode(ObjectNode stored) {
    String operation = text(stored, OPERATION);
    boolean fromDriver = ReleaseCommandCodec.DRIVER_OPERATIONS.contains(operation);
    if (fromDriver || ReleaseCommandCodec.OPERATOR_OPERATIONS.contains(operation)) {
      return decodeRelease(operation, stored, fromDriver);
    }
    return switch (operation) {
      case "join" -> decodeJoin(stored);
      case "tell" -> decodeMemberReport(stored);
      case "leave" -> new LogEntry.Leave(text(stored, "name"), sessionId(stored));
      case "expire" -> new LogEntry.SessionExpired(text(stored, "name"), sessionId(stored));
      case "timeout" -> new LogEntry.TimerExpired(text(stored, "timer"));
      default -> decodeDisruption(operation, stored);
    };
  }

  private static LogEntry decodeRelease(String operation, ObjectNode stored, boolean fromDriver) {
    List<String> errors = new ArrayList<>();
    ReleaseCommand command = ReleaseCommandCodec.decode(operation, stored, errors);
    return command == null
        ? new LogEntry.Malformed(errors)
        : new LogEntry.Release(command, fromDriver);
  }

  private static LogEntry decodeJoin(ObjectNode stored) {
    return new LogEntry.Join(
        text(stored, "name"),
        text(stored, "incarnation"),
        stored.path("lease_ms").asLong(),
        labelOrNone(stored, "zone"),
        labelOrNone(stored, "runs"),
        decodeCatalog(stored));
  }

  private static LogEntry decodeMemberReport(ObjectNode stored) {
    return new LogEntry.MemberReport(
        text(stored, "name"),
        sessionId(stored),
        stored.path("number").asLong(),
        stored.path("seen").asLong(),
        stored.path("serving").asBoolean(),
        readNames(stored.path("busy")),
        readNames(stored.path("suspects")),
        stored.has("hosts") ? Optional.of(decodeCatalog(stored)) : Optional.empty());
  }

  private static LogEntry.EndpointCatalog decodeCatalog(ObjectNode stored) {
    return new LogEntry.EndpointCatalog(
        text(stored, "digest"), DisruptionState.readTargets(stored.path("hosts")));
  }

  private static LogEntry decodeDisruption(String operation, ObjectNode stored) {
    String name = text(stored, "name");
    String why = text(stored, "why");
    return switch (operation) {
      case "drain" -> decodeDrain(stored);
      case "undo" ->
          new LogEntry.Disruption(new DisruptionCommand.Undo(text(stored, "permit"), why));
      case "halt" -> new LogEntry.Disruption(new DisruptionCommand.Halt(why));
      case "resume" -> new LogEntry.Disruption(new DisruptionCommand.Resume());
      case "fence" -> new LogEntry.Disruption(new DisruptionCommand.Fence(name));
      case "forget" -> new LogEntry.Disruption(new DisruptionCommand.Forget(name));
      case "budgets" -> decodeBudgets(stored);
      default -> malformed("op: '" + operation + "' (expected: one that this build knows)");
    };
  }

  private static LogEntry decodeDrain(ObjectNode stored) {
    TargetType type = TargetType.fromStoredName(text(stored, "kind"));
    if (type == null) {
      return malformed("kind: '" + text(stored, "kind") + "' (expected: proxy or host)");
    }
    return new LogEntry.Disruption(
        new DisruptionCommand.Drain(
            type,
            text(stored, "name"),
            stored.path("for_ms").asLong(),
            stored.path("leave").asBoolean(),
            text(stored, "who"),
            text(stored, "why")));
  }

  private static LogEntry decodeBudgets(ObjectNode stored) {
    List<String> errors = new ArrayList<>();
    List<Budget> budgets = new ArrayList<>();
    stored.path("budgets").forEach(budget -> budgets.add(Budget.read(budget, errors)));
    return errors.isEmpty()
        ? new LogEntry.Disruption(
            new DisruptionCommand.ReplaceBudgets(budgets, stored.path("against").asLong()))
        : new LogEntry.Malformed(errors);
  }

  private static LogEntry malformed(String reason) {
    return new LogEntry.Malformed(List.of(reason));
  }

  /** Returns the stored form of an entry of a member or replica, without its schema. */
  static ObjectNode encode(LogEntry entry) {
    if (entry instanceof LogEntry.Join join) {
      return encodeJoin(join);
    }
    if (entry instanceof LogEntry.MemberReport report) {
      return encodeMemberReport(report);
    }
    if (entry instanceof LogEntry.Leave leave) {
      return operation("leave").put("name", leave.name()).put("session", leave.session());
    }
    if (entry instanceof LogEntry.SessionExpired expired) {
      return operation("expire")
          .put("name", expired.name())
          .put("session", expired.session())
          .put("who", AuditLog.REPLICAS_ACTOR)
          .put("why", "nothing was heard of it for a lease");
    }
    if (entry instanceof LogEntry.TimerExpired expired) {
      return operation("timeout").put("timer", expired.timer());
    }
    throw new IllegalArgumentException(
        "entry: " + entry + " (expected: one of a member or a replica)");
  }

  /** Returns the stored form of the entry that records the expiry of a timer. */
  static ObjectNode encodeExpiry(String timer) {
    return encode(LogEntry.ofExpiredTimer(timer));
  }

  private static ObjectNode operation(String operation) {
    return Json.object().put(OPERATION, operation);
  }

  private static ObjectNode encodeJoin(LogEntry.Join join) {
    ObjectNode stored =
        operation("join")
            .put("name", join.name())
            .put("incarnation", join.incarnation())
            .put("lease_ms", join.leaseMillis())
            .put("zone", join.zone())
            .put("runs", join.runningVersion());
    encodeCatalog(join.catalog(), stored);
    return stored;
  }

  private static ObjectNode encodeMemberReport(LogEntry.MemberReport report) {
    ObjectNode stored =
        Json.object().put("seen", report.acknowledgedVersion()).put("serving", report.serving());
    report.busyEndpoints().forEach(stored.putArray("busy")::add);
    report.ejectedEndpoints().forEach(stored.putArray("suspects")::add);
    stored
        .put(OPERATION, "tell")
        .put("name", report.name())
        .put("session", report.session())
        .put("number", report.reportNumber());
    report.catalog().ifPresent(catalog -> encodeCatalog(catalog, stored));
    return stored;
  }

  private static void encodeCatalog(LogEntry.EndpointCatalog catalog, ObjectNode stored) {
    stored.put("digest", catalog.digest()).set("hosts", encodeEndpoints(catalog.endpoints()));
  }

  /** Returns a catalog whose digest is computed from the stored form of its endpoints. */
  public static LogEntry.EndpointCatalog catalogOf(List<Target> endpoints) {
    return new LogEntry.EndpointCatalog(Json.digest(encodeEndpoints(endpoints)), endpoints);
  }

  private static ArrayNode encodeEndpoints(List<Target> endpoints) {
    ArrayNode encoded = Json.object().putArray("hosts");
    endpoints.forEach(endpoint -> DisruptionState.writeTarget(endpoint, encoded.addObject()));
    return encoded;
  }

  /**
   * Returns a text of a stored entry, truncated to {@link #MAX_TEXT_CHARS}; "" if there is none.
   */
  static String text(JsonNode stored, String key) {
    String text = stored.path(key).asText("");
    return text.length() > MAX_TEXT_CHARS ? text.substring(0, MAX_TEXT_CHARS) : text;
  }

  private static String labelOrNone(JsonNode stored, String key) {
    String text = text(stored, key);
    return text.isEmpty() ? Target.NONE : text;
  }

  private static long sessionId(JsonNode stored) {
    return stored.path("session").asLong();
  }

  private static SortedSet<String> readNames(JsonNode list) {
    SortedSet<String> names = new TreeSet<>();
    list.forEach(name -> names.add(name.asText()));
    return names;
  }
}
