package leadferry.consensus;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import leadferry.disruption.Outcome;
import leadferry.disruption.Outcome.Status;

/**
 * Stores the outcomes of the newest {@link #MAX_CALLS} calls by call id. A repeated call is not
 * applied again and gets its first outcome. A call that is repeated after {@link #MAX_CALLS} other
 * calls is unknown by then and is applied as a new one.
 */
final class CallHistory {
  static final int MAX_CALLS = 4_096;

  /** An applied call: the digest of its request, and its outcome. */
  private record AppliedCall(String digest, ObjectNode outcome) {}

  private final Map<String, AppliedCall> calls = new LinkedHashMap<>();

  /**
   * Returns the outcome of a call that was applied before, marked as repeated. Returns a conflict
   * if the id was used for a different request, and empty if the call is new.
   */
  Optional<ObjectNode> find(String id, ObjectNode stored) {
    AppliedCall known = calls.get(id);
    if (known == null) {
      return Optional.empty();
    }
    if (!known.digest().equals(digest(stored))) {
      return Optional.of(
          OutcomeCodec.encode(
              Outcome.of(Status.CONFLICT, "id '" + id + "' was used for something else")));
    }
    return Optional.of(known.outcome().deepCopy().put("again", true));
  }

  /** Stores the outcome of a new call and removes the oldest call beyond {@link #MAX_CALLS}. */
  void add(String id, ObjectNode stored, ObjectNode outcome) {
    calls.put(id, new AppliedCall(digest(stored), outcome));
    if (calls.size() > MAX_CALLS) {
      calls.remove(calls.keySet().iterator().next());
    }
  }

  /**
   * Returns the digest of a call's request. The digest leaves out the id and the time of the call.
   */
  private static String digest(ObjectNode stored) {
    ObjectNode request = stored.deepCopy();
    request.remove(List.of("call", "at"));
    return Json.digest(request);
  }

  void write(ArrayNode snapshot) {
    calls.forEach(
        (id, call) ->
            snapshot
                .addObject()
                .put("call", id)
                .put("digest", call.digest())
                .set("outcome", call.outcome()));
  }

  void restore(JsonNode snapshot) {
    calls.clear();
    for (JsonNode call : snapshot) {
      calls.put(
          call.path("call").asText(),
          new AppliedCall(call.path("digest").asText(), (ObjectNode) call.path("outcome")));
    }
  }
}
