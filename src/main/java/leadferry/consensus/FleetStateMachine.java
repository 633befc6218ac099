package leadferry.consensus;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.zip.CRC32C;
import leadferry.disruption.Budget;
import leadferry.disruption.DisruptionState;
import leadferry.disruption.Outcome;
import leadferry.disruption.Outcome.Status;
import leadferry.disruption.Target;
import leadferry.disruption.TargetType;
import leadferry.release.ReleaseCommand;
import leadferry.release.ReleaseCommandCodec;
import leadferry.release.Releases;

/**
 * The agreed state: what the log's entries, applied in their order, come to. Deterministic and
 * without I/O or time; the same entries give the same bytes of {@link #snapshot} and the same
 * outcomes on every keeper.
 *
 * <p>An entry is an object with {@code schema}, {@code op}, and, of operators, {@code call} (an id
 * by which the same question may be asked again and gets the one true outcome), {@code who}, {@code
 * why} and {@code at} (the asker's wall clock, which nothing goes by). An entry of a later schema
 * is never guessed at: {@link LaterSchemaException}.
 */
public final class FleetStateMachine {
  /** The form of entries and snapshots that this build reads and writes. */
  public static final int SCHEMA = 1;

  /**
   * So many calls are remembered, the newest; a call asked again later than that is taken for a new
   * one.
   */
  static final int CALLS = 4_096;

  /** So many records of the audit are kept, the newest. */
  static final int AUDIT = 2_000;

  /** Texts of people are cut at so many characters. */
  private static final int TEXT = 500;

  /** The bounds of a lease (ms). */
  public static final long LEAST_LEASE_MS = 200;

  public static final long LONGEST_LEASE_MS = 600_000;

  /** An entry or snapshot of a schema that only a later build knows. */
  public static final class LaterSchemaException extends RuntimeException {
    private static final long serialVersionUID = 1;

    LaterSchemaException(int schema) {
      super("schema " + schema + " (expected: at most " + SCHEMA + "; a later build wrote it)");
    }
  }

  /** A member's session: who it is, and how long it lives without a sign. */
  private record Session(String name, String incarnation, long id, long leaseMs) {
    String timer() {
      return "session:" + name + ":" + id;
    }
  }

  private record Call(String digest, ObjectNode outcome) {}

  private final DisruptionState disruption;
  private final Releases releases = new Releases();
  private final Map<String, Session> sessions = new TreeMap<>();
  private final LinkedHashMap<String, Call> calls = new LinkedHashMap<>();
  private final ArrayDeque<ObjectNode> audit = new ArrayDeque<>();
  private long entries;

  public FleetStateMachine(DisruptionState.Times times) {
    disruption = new DisruptionState(times);
  }

  /** The version of what members go by. */
  public long version() {
    return disruption.version();
  }

  /** Applies an entry and tells what became of it; never throws for what an entry says. */
  public ObjectNode apply(byte[] bytes) {
    entries++;
    ObjectNode e = Json.read(bytes);
    if (e == null) {
      return outcome(new Outcome(Status.MALFORMED, "", List.of("not an object")));
    }
    if (e.path("schema").asInt(1) > SCHEMA) {
      throw new LaterSchemaException(e.path("schema").asInt());
    }
    String call = text(e, "call");
    if (call.isEmpty()) {
      return perform(e);
    }
    String digest = digest(e);
    Call known = calls.get(call);
    if (known != null) {
      return known.digest().equals(digest)
          ? known.outcome().deepCopy().put("again", true)
          : outcome(
              new Outcome(
                  Status.CONFLICT, "", List.of("id '" + call + "' was used for something else")));
    }
    ObjectNode o = perform(e);
    calls.put(call, new Call(digest, o));
    if (calls.size() > CALLS) {
      calls.remove(calls.keySet().iterator().next());
    }
    return o.deepCopy();
  }

  /** What a call asks, without when and with which id it was asked. */
  private static String digest(ObjectNode e) {
    ObjectNode asked = e.deepCopy();
    asked.remove(List.of("call", "at"));
    CRC32C crc = new CRC32C();
    crc.update(Json.bytes(asked));
    return HexFormat.of().toHexDigits(crc.getValue());
  }

  private ObjectNode perform(ObjectNode e) {
    ObjectNode o = decide(e);
    releases.look(disruption);
    return o;
  }

  private ObjectNode decide(ObjectNode e) {
    String op = text(e, "op");
    if (ReleaseCommandCodec.DRIVER_OPERATIONS.contains(op)) {
      Outcome o = release(op, e);
      if (o.status() == Status.GRANTED || o.status() == Status.DONE) {
        note(e, o); // what a budget refused is asked again until it is granted
      }
      return outcome(o);
    }
    switch (op) {
      case "join":
        return join(e);
      case "tell":
        return tell(e);
      case "leave":
      case "expire":
        return end(e, op.equals("leave"));
      case "timeout":
        if (text(e, "timer").startsWith("release-")) {
          if (timers().containsKey(text(e, "timer"))) {
            releases.timeout(text(e, "timer"));
            note(
                e.deepCopy().put("who", "keepers").put("why", text(e, "timer") + " ran out"),
                new Outcome(Status.DONE, "", List.of()));
          }
        } else {
          disruption.timeout(text(e, "timer"));
        }
        return outcome(new Outcome(Status.DONE, "", List.of()));
      default:
        Outcome o =
            ReleaseCommandCodec.OPERATOR_OPERATIONS.contains(op) ? release(op, e) : operator(op, e);
        note(e, o);
        return outcome(o);
    }
  }

  private Outcome release(String operation, ObjectNode entry) {
    List<String> faults = new ArrayList<>();
    ReleaseCommand command = ReleaseCommandCodec.decode(operation, entry, faults);
    return command == null
        ? new Outcome(Status.MALFORMED, "", faults)
        : releases.apply(command, disruption);
  }

  private Outcome operator(String op, ObjectNode e) {
    String name = text(e, "name");
    return switch (op) {
      case "drain" -> {
        TargetType kind = TargetType.of(text(e, "kind"));
        yield kind == null
            ? new Outcome(
                Status.MALFORMED,
                "",
                List.of("kind: '" + text(e, "kind") + "' (expected: proxy or host)"))
            : disruption.drain(
                kind,
                name,
                e.path("for_ms").asLong(),
                e.path("leave").asBoolean(),
                text(e, "who"),
                text(e, "why"));
      }
      case "undo" -> {
        String holder = releases.holder(text(e, "permit"));
        yield holder == null
            ? disruption.undo(text(e, "permit"), text(e, "why"))
            : new Outcome(
                Status.REFUSED,
                text(e, "permit"),
                List.of("held by release " + holder + ": halt it, or take it back"));
      }
      case "halt" -> disruption.halt(text(e, "why"));
      case "resume" -> disruption.resume();
      case "fence" -> disruption.fence(name);
      case "forget" -> disruption.forget(name);
      case "budgets" -> budgets(e);
      default ->
          new Outcome(
              Status.MALFORMED,
              "",
              List.of("op: '" + op + "' (expected: one that this build knows)"));
    };
  }

  private Outcome budgets(ObjectNode e) {
    List<String> faults = new ArrayList<>();
    List<Budget> budgets = new ArrayList<>();
    e.path("budgets").forEach(b -> budgets.add(Budget.read(b, faults)));
    return faults.isEmpty()
        ? disruption.budgets(budgets, e.path("against").asLong())
        : new Outcome(Status.MALFORMED, "", faults);
  }

  // --- sessions

  private ObjectNode join(ObjectNode e) {
    String name = text(e, "name");
    String incarnation = text(e, "incarnation");
    long lease = e.path("lease_ms").asLong();
    if (!name.matches(DisruptionState.NAME)
        || incarnation.isEmpty()
        || lease < LEAST_LEASE_MS
        || lease > LONGEST_LEASE_MS) {
      return outcome(
          new Outcome(
              Status.MALFORMED,
              "",
              List.of("join: a name, an incarnation or a lease_ms that can't be")));
    }
    Session s = sessions.get(name);
    if (s != null && !s.incarnation().equals(incarnation)) {
      return outcome(
          new Outcome(
              Status.CONFLICT,
              "",
              List.of("the name " + name + " is in use by a process whose lease is not over")));
    }
    if (s == null) {
      s = new Session(name, incarnation, entries, lease);
      sessions.put(name, s);
      disruption.joined(
          name,
          label(e, "zone"),
          label(e, "runs"),
          text(e, "digest"),
          DisruptionState.subjects(e.path("hosts")));
    }
    ObjectNode o = outcome(new Outcome(Status.DONE, "", List.of())).put("session", s.id());
    disruption.view(o.putObject("view"));
    return o;
  }

  private Session session(ObjectNode e) {
    Session s = sessions.get(text(e, "name"));
    return s != null && s.id() == e.path("session").asLong() ? s : null;
  }

  private ObjectNode tell(ObjectNode e) {
    Session s = session(e);
    if (s == null) {
      return noSession();
    }
    if (e.has("hosts")) {
      disruption.catalogued(s.name(), text(e, "digest"), DisruptionState.subjects(e.path("hosts")));
    }
    disruption.told(
        s.name(),
        e.path("number").asLong(),
        e.path("seen").asLong(),
        e.path("serving").asBoolean(),
        names(e.path("busy")),
        names(e.path("suspects")));
    return outcome(new Outcome(Status.DONE, "", List.of()));
  }

  private ObjectNode end(ObjectNode e, boolean byItself) {
    Session s = session(e);
    if (s == null) {
      return noSession();
    }
    sessions.remove(s.name());
    disruption.ended(s.name(), byItself);
    Outcome o = new Outcome(Status.DONE, "", List.of());
    note(e, o);
    return outcome(o);
  }

  private static ObjectNode noSession() {
    return outcome(new Outcome(Status.UNKNOWN, "", List.of("no such session")));
  }

  /** Whether this session lives. */
  public boolean lives(String name, long session) {
    Session s = sessions.get(name);
    return s != null && s.id() == session;
  }

  /** The timer of a session. */
  static String timer(String name, long session) {
    return "session:" + name + ":" + session;
  }

  /** Members whose sessions live, by name, with the session. */
  public Map<String, Long> living() {
    Map<String, Long> out = new TreeMap<>();
    sessions.values().forEach(s -> out.put(s.name(), s.id()));
    return out;
  }

  /** Whether any release is under way, so that members' reports are wanted. */
  public boolean reportsWanted() {
    return releases.underWay();
  }

  /** What runs out without an entry, and after how long (ms); see {@link LeaseTimers}. */
  public Map<String, Long> timers() {
    Map<String, Long> out = disruption.timers();
    releases.timers(out);
    sessions.values().forEach(s -> out.put(s.timer(), s.leaseMs()));
    return out;
  }

  /** The entry that tells that a timer has run out. */
  static ObjectNode ranOut(String timer) {
    if (!timer.startsWith("session:")) {
      return Json.object().put("op", "timeout").put("timer", timer);
    }
    int cut = timer.lastIndexOf(':');
    return Json.object()
        .put("op", "expire")
        .put("name", timer.substring("session:".length(), cut))
        .put("session", Long.parseLong(timer.substring(cut + 1)))
        .put("who", "keepers")
        .put("why", "nothing was heard of it for a lease");
  }

  // --- looking

  /** What members go by. */
  public ObjectNode view() {
    ObjectNode o = Json.object();
    disruption.view(o);
    return o;
  }

  /** All that staff may want to see; with the audit where asked. */
  public ObjectNode status(boolean history) {
    ObjectNode o = Json.object();
    disruption.status(o);
    if (history) {
      audit.forEach(o.putArray("history")::add);
    }
    return o;
  }

  /** One release whole, or all of them in short. */
  public ObjectNode release(String name) {
    ObjectNode o = Json.object();
    releases.status(name, o, disruption);
    return o;
  }

  /** Whether a driver of a release holds its lease under this fence. */
  public boolean drives(String release, long fence) {
    return releases.drives(release, fence);
  }

  /** What would become of a drain that was asked for now. */
  public ObjectNode explain(String kind, String name) {
    ObjectNode o = Json.object();
    disruption.explain(TargetType.of(kind), name, o);
    return o;
  }

  /** What the drain of that permit waits for. */
  public ObjectNode permit(String id) {
    ObjectNode o = Json.object().put("permit", id).put("carried_out", disruption.carriedOut(id));
    ObjectNode w = o.putObject("awaited");
    disruption.awaited(id).forEach(w::put);
    return o;
  }

  private void note(ObjectNode e, Outcome o) {
    ObjectNode n =
        Json.object().put("n", entries).put("version", version()).put("status", o.status().word());
    for (String key :
        List.of(
            "op", "kind", "name", "permit", "who", "why", "call", "release", "target", "action",
            "fence", "found", "driver", "step", "go", "text", "what")) {
      if (e.has(key)) {
        n.put(key, text(e, key));
      }
    }
    if (!o.permit().isEmpty()) {
      n.put("permit", o.permit());
    }
    if (e.path("plan").has("name")) {
      n.put("release", e.path("plan").path("name").asText());
    }
    if (e.has("at")) {
      n.put("at", e.path("at").asLong());
    }
    o.why().forEach(n.putArray("reasons")::add);
    audit.addLast(n);
    if (audit.size() > AUDIT) {
      audit.removeFirst();
    }
  }

  private static ObjectNode outcome(Outcome o) {
    ObjectNode n = Json.object().put("status", o.status().word());
    if (!o.permit().isEmpty()) {
      n.put("permit", o.permit());
    }
    if (o.number() > 0) {
      n.put("number", o.number());
    }
    if (!o.why().isEmpty()) {
      o.why().forEach(n.putArray("why")::add);
    }
    return n;
  }

  private static String text(ObjectNode e, String key) {
    String t = e.path(key).asText("");
    return t.length() > TEXT ? t.substring(0, TEXT) : t;
  }

  private static String label(ObjectNode e, String key) {
    String t = text(e, key);
    return t.isEmpty() ? Target.NONE : t;
  }

  private static Set<String> names(JsonNode list) {
    Set<String> out = new TreeSet<>();
    list.forEach(n -> out.add(n.asText()));
    return out;
  }

  // --- snapshots

  /** The whole state as bytes, the same on every keeper that has applied as much. */
  public byte[] snapshot() {
    ObjectNode o = Json.object().put("schema", SCHEMA).put("entries", entries);
    ArrayNode ss = o.putArray("sessions");
    for (Session s : sessions.values()) {
      ss.addObject()
          .put("name", s.name())
          .put("incarnation", s.incarnation())
          .put("id", s.id())
          .put("lease_ms", s.leaseMs());
    }
    ArrayNode cs = o.putArray("calls");
    calls.forEach(
        (id, c) ->
            cs.addObject().put("call", id).put("digest", c.digest()).set("outcome", c.outcome()));
    audit.forEach(o.putArray("audit")::add);
    disruption.snapshot(o.putObject("disruption"));
    releases.snapshot(o.putObject("release"));
    return Json.bytes(o);
  }

  /** Takes the place of all that is known. */
  public void restore(byte[] bytes) {
    ObjectNode o = Json.read(bytes);
    if (o == null) {
      throw new IllegalArgumentException(
          "snapshot: not an object (expected: one that snapshot() gave)");
    }
    if (o.path("schema").asInt() > SCHEMA) {
      throw new LaterSchemaException(o.path("schema").asInt());
    }
    entries = o.path("entries").asLong();
    sessions.clear();
    for (JsonNode s : o.path("sessions")) {
      Session x =
          new Session(
              s.path("name").asText(),
              s.path("incarnation").asText(),
              s.path("id").asLong(),
              s.path("lease_ms").asLong());
      sessions.put(x.name(), x);
    }
    calls.clear();
    for (JsonNode c : o.path("calls")) {
      calls.put(
          c.path("call").asText(),
          new Call(c.path("digest").asText(), (ObjectNode) c.path("outcome")));
    }
    audit.clear();
    o.path("audit").forEach(a -> audit.add((ObjectNode) a));
    disruption.restore(o.path("disruption"));
    releases.restore(o.path("release"));
  }

  /** For the digest of a list of hosts. */
  public static String digest(String text) {
    CRC32C crc = new CRC32C();
    crc.update(text.getBytes(StandardCharsets.UTF_8));
    return HexFormat.of().toHexDigits(crc.getValue());
  }
}
