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
 * The outcomes of the newest calls, by their ids, so that a repeated call is applied once and gets
 * its one outcome. A call that is repeated after {@link #MAX_CALLS} others counts as a new one.
 */
final class CallHistory {
  static final int MAX_CALLS = 4_096;

  /** A call by the digest of what it asked. */
  private record Call(String digest, ObjectNode outcome) {}

  private final Map<String, Call> calls = new LinkedHashMap<>();

  /**
   * The outcome of a call that was applied before, marked as repeated; a conflict where its id was
   * used for another question; empty where the call is new.
   */
  Optional<ObjectNode> find(String id, ObjectNode stored) {
    Call known = calls.get(id);
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

  /** Keeps the outcome of a new call; forgets the oldest call past the bound. */
  void add(String id, ObjectNode stored, ObjectNode outcome) {
    calls.put(id, new Call(digest(stored), outcome));
    if (calls.size() > MAX_CALLS) {
      calls.remove(calls.keySet().iterator().next());
    }
  }

  /** What a call asks, without when and with which id it was asked. */
  private static String digest(ObjectNode stored) {
    ObjectNode question = stored.deepCopy();
    question.remove(List.of("call", "at"));
    return Json.digest(question);
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
          new Call(call.path("digest").asText(), (ObjectNode) call.path("outcome")));
    }
  }
}
