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
 * An operator, who asks replicas for drains and the like, by their protocol alone (docs/FLEET.md):
 * an object a line. Begins with the replica it is told to, and goes on to others as an operator's
 * command would.
 */
public final class Operator {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int ATTEMPT_MILLIS = 1_000;
  private static final long RETRY_MILLIS = 20;

  private final String fleet;
  private final List<InetSocketAddress> replicas;

  /** An operator of that fleet who knows these replicas. */
  public Operator(String fleet, List<InetSocketAddress> replicas) {
    this.fleet = fleet;
    this.replicas = List.copyOf(replicas);
  }

  /** An entry of the log with that operation, to be filled in. */
  public static ObjectNode entry(String operation) {
    return MAPPER.createObjectNode().put("op", operation);
  }

  /** Asks with a call's id; null where no answer came in time, and so nobody knows. */
  public JsonNode submit(ObjectNode entry, String callId, int first, long timeoutMillis) {
    entry.put("call", callId).put("who", "rig").put("why", "rig");
    return query(
        MAPPER.createObjectNode().put("op", "submit").set("entry", entry), first, timeoutMillis);
  }

  /** Asks for anything; null where no answer came in time. */
  public JsonNode query(ObjectNode request, int first, long timeoutMillis) {
    long deadlineNanos = System.nanoTime() + timeoutMillis * 1_000_000L;
    request.put("id", 1).put("fleet", fleet);
    for (int i = first; System.nanoTime() < deadlineNanos; i++) {
      JsonNode answer = queryOnce(replicas.get(i % replicas.size()), request);
      if (answer != null && !answer.has("redirect") && !answer.has("undecided")) {
        return answer;
      }
      Threads.sleepMillis(RETRY_MILLIS);
      if (Thread.currentThread().isInterrupted()) {
        return null;
      }
    }
    return null;
  }

  /** Asks one replica once; null where no answer came in a second. */
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
      // the next one is asked
    }
    return null;
  }
}
