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
 * A member's calls about its session, as typed messages over a {@link ReplicaClient}. For one
 * thread.
 */
public final class SessionClient implements AutoCloseable {
  /** What became of an entry that a member submitted. */
  public sealed interface Result {}

  /**
   * The session is open.
   *
   * @param view what members go by
   */
  public record Joined(long session, JsonNode view) implements Result {}

  /** It was applied. */
  public record Applied() implements Result {}

  /** The log's outcome was no; the reasons are a JSON array of texts for people. */
  public record Refused(JsonNode reasons) implements Result {}

  /** The replica does not put it into the log, and would not if it were asked again. */
  public record Rejected(String reason) implements Result {}

  /**
   * What a renewal came to.
   *
   * @param live whether the session goes on
   * @param reportRequested whether the next renewal is to bring a load report
   */
  public record Renewal(boolean live, boolean reportRequested) {}

  private static final String DONE = Outcome.Status.DONE.storedName();

  private final ReplicaClient client;

  /** Views that replicas push go to {@code viewListener}. */
  public SessionClient(
      String fleet, Map<String, InetSocketAddress> replicas, Consumer<JsonNode> viewListener) {
    this.client =
        new ReplicaClient(fleet, replicas, message -> viewListener.accept(message.path("view")));
  }

  /** Asks for a session, until then (ns of the JVM's clock). */
  public Result join(LogEntry.Join join, long deadlineNanos) throws UnreachableException {
    ObjectNode response = submit(join, deadlineNanos);
    Result result = resultOf(response);
    return result instanceof Applied
        ? new Joined(response.path("session").asLong(), response.path("view"))
        : result;
  }

  /** Reports what the member does, until then (ns of the JVM's clock). */
  public Result report(LogEntry.MemberReport report, long deadlineNanos)
      throws UnreachableException {
    return resultOf(submit(report, deadlineNanos));
  }

  /** Ends the session, until then (ns of the JVM's clock). */
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

  /** Renews the session and brings a load report along, until then (ns of the JVM's clock). */
  public Renewal renew(
      String name, long session, Optional<ObjectNode> loadReport, long deadlineNanos)
      throws UnreachableException {
    ObjectNode request = Json.object().put("op", "renew").put("name", name).put("session", session);
    loadReport.ifPresent(report -> request.set("report", report));
    ObjectNode response = client.call(request, deadlineNanos);
    return new Renewal(
        response.path("status").asText().equals(DONE), response.path("reports").asBoolean());
  }

  /** Takes the views that replicas push, until then (ns of the JVM's clock) at most. */
  public void receiveViews(long deadlineNanos) {
    client.receivePushes(deadlineNanos);
  }

  @Override
  public void close() {
    client.close();
  }
}
