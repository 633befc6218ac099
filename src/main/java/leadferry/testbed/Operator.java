package leadferry.testbed;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Sends operators' requests, such as drains, to replicas over their protocol alone (docs/FLEET.md),
 * with one JSON object per line. Starts with a given replica and tries the others in turn, as the
 * operators' command does.
 */
public final class Operator {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int ATTEMPT_MILLIS = 1_000;
  private static final long RETRY_MILLIS = 20;

  private final String fleet;
  private final List<InetSocketAddress> replicas;

  /** Creates an operator of {@code fleet} that knows {@code replicas}. */
  public Operator(String fleet, List<InetSocketAddress> replicas) {
    this.fleet = fleet;
    this.replicas = List.copyOf(replicas);
  }

  /** Returns a log entry with that operation, to be completed by the caller. */
  public static ObjectNode entry(String operation) {
    return MAPPER.createObjectNode().put("op", operation);
  }

  /**
   * Submits an entry under a call id. Returns null if no response arrived in time; it is then
   * unknown whether the entry took effect.
   */
  public JsonNode submit(ObjectNode entry, String callId, int firstReplica, long timeoutMillis) {
    entry.put("call", callId).put("who", "rig").put("why", "rig");
    return query(
        MAPPER.createObjectNode().put("op", "submit").set("entry", entry),
        firstReplica,
        timeoutMillis);
  }

  /** Sends a request. Returns null if no final response arrived in time. */
  public JsonNode query(ObjectNode request, int firstReplica, long timeoutMillis) {
    long deadlineNanos = System.nanoTime() + timeoutMillis * 1_000_000L;
    request.put("id", 1).put("fleet", fleet);
    for (int i = firstReplica; System.nanoTime() < deadlineNanos; i++) {
      JsonNode response = queryOnce(replicas.get(i % replicas.size()), request);
      if (response != null && !response.has("redirect") && !response.has("undecided")) {
        return response;
      }
      Threads.sleepMillis(RETRY_MILLIS);
      if (Thread.currentThread().isInterrupted()) {
        return null;
      }
    }
    return null;
  }

  /** Sends a request to one replica once. Returns null if no response arrived within a second. */
  static JsonNode queryOnce(InetSocketAddress replica, ObjectNode request) {
    try (Socket socket = new Socket()) {
      socket.connect(replica, ATTEMPT_MILLIS);
      socket.setSoTimeout(ATTEMPT_MILLIS);
      socket.getOutputStream().write((request + "\n").getBytes(StandardCharsets.UTF_8));
      BufferedReader reader =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
      String line;
      while ((line = reader.readLine()) != null) {
        JsonNode message = MAPPER.readTree(line);
        if (!message.has("push")) {
          return message;
        }
      }
    } catch (IOException e) {
      // the caller tries the next replica
    }
    return null;
  }
}
