package leadferry.consensus;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import leadferry.consensus.ReplicaClient.UnreachableException;
import leadferry.disruption.Outcome;

/**
 * Typed calls of a member about its session, sent with a {@link ReplicaClient}. For use by one
 * thread. Deadlines are values of {@link System#nanoTime}.
 */
public final class SessionClient implements AutoCloseable {
  /** The result of an entry that a member submitted. */
  public sealed interface Result {}

  /**
   * The session is open.
   *
   * @param view the fleet view that the member has to follow
   */
  public record Joined(long session, JsonNode view) implements Result {}

  /** The entry was applied. */
  public record Applied() implements Result {}

  /**
   * The entry was refused.
   *
   * @param reasons a JSON array of texts for operators
   */
  public record Refused(JsonNode reasons) implements Result {}

  /** The replica does not accept the entry into the log. A retry does not help. */
  public record Rejected(String reason) implements Result {}

  /**
   * The result of a renewal.
   *
   * @param live whether the session continues
   * @param reportRequested whether the next renewal should carry a load report
   */
  public record Renewal(boolean live, boolean reportRequested) {}

  private static final String DONE = Outcome.Status.DONE.storedName();

  private final ReplicaClient client;

  /** Creates a client of {@code replicas}. Views that replicas push go to {@code viewListener}. */
  public SessionClient(
      String fleet, Map<String, InetSocketAddress> replicas, Consumer<JsonNode> viewListener) {
    this.client =
        new ReplicaClient(fleet, replicas, message -> viewListener.accept(message.path("view")));
  }

  /** Requests a session; gives up at {@code deadlineNanos}. */
  public Result join(LogEntry.Join join, long deadlineNanos) throws UnreachableException {
    ObjectNode response = submit(join, deadlineNanos);
    Result result = resultOf(response);
    return result instanceof Applied
        ? new Joined(response.path("session").asLong(), response.path("view"))
        : result;
  }

  /** Reports the state of the member; gives up at {@code deadlineNanos}. */
  public Result report(LogEntry.MemberReport report, long deadlineNanos)
      throws UnreachableException {
    return resultOf(submit(report, deadlineNanos));
  }

  /** Requests the end of the session; gives up at {@code deadlineNanos}. */
  public Result leave(LogEntry.Leave leave, long deadlineNanos) throws UnreachableException {
    return resultOf(submit(leave, deadlineNanos));
  }

  private ObjectNode submit(LogEntry entry, long deadlineNanos) throws UnreachableException {
    ObjectNode request = Json.object().put("op", "submit");
    request.set("entry", LogEntryCodec.encode(entry));
    return client.call(request, deadlineNanos);
  }

  private static Result resultOf(ObjectNode response) {
    if (ReplicaResponse.decode(response) instanceof ReplicaResponse.Rejected rejected) {
      return new Rejected(rejected.reason());
    }
    return response.path("status").asText().equals(DONE)
        ? new Applied()
        : new Refused(response.path("why"));
  }

  /** Renews the session, with a load report if there is one; gives up at {@code deadlineNanos}. */
  public Renewal renew(
      String name, long session, Optional<ObjectNode> loadReport, long deadlineNanos)
      throws UnreachableException {
    ObjectNode request = Json.object().put("op", "renew").put("name", name).put("session", session);
    loadReport.ifPresent(report -> request.set("report", report));
    ObjectNode response = client.call(request, deadlineNanos);
    return new Renewal(
        response.path("status").asText().equals(DONE), response.path("reports").asBoolean());
  }

  /** Receives pushed views until {@code deadlineNanos}. */
  public void receiveViews(long deadlineNanos) {
    client.receivePushes(deadlineNanos);
  }

  @Override
  public void close() {
    client.close();
  }
}
