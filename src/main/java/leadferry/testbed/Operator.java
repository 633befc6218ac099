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
 * Somebody who asks keepers for drains and the like, by their protocol alone (docs/FLEET.md): an
 * object a line. Begins with the keeper it is told to, and goes on to others as an operator's
 * command would.
 */
public final class Operator {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int TRY_MS = 1_000;

  private final String fleet;
  private final List<InetSocketAddress> keepers;

  public Operator(String fleet, List<InetSocketAddress> keepers) {
    this.fleet = fleet;
    this.keepers = List.copyOf(keepers);
  }

  public static ObjectNode entry(String op) {
    return MAPPER.createObjectNode().put("op", op);
  }

  /** Asks with a call's id; null where no answer came in time, and so nobody knows. */
  public JsonNode change(ObjectNode entry, String id, int first, long mostMs) {
    entry.put("call", id).put("who", "rig").put("why", "rig");
    return ask(MAPPER.createObjectNode().put("op", "submit").set("entry", entry), first, mostMs);
  }

  /** Asks for anything; null where no answer came in time. */
  public JsonNode ask(ObjectNode request, int first, long mostMs) {
    long until = System.nanoTime() + mostMs * 1_000_000L;
    request.put("id", 1).put("fleet", fleet);
    for (int i = first; System.nanoTime() < until; i++) {
      JsonNode o = once(keepers.get(i % keepers.size()), request);
      if (o != null && !o.has("redirect") && !o.has("undecided")) {
        return o;
      }
      try {
        Thread.sleep(20);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return null;
      }
    }
    return null;
  }

  /** Asks one keeper once; null where no answer came in a second. */
  static JsonNode once(InetSocketAddress to, ObjectNode request) {
    try (Socket s = new Socket()) {
      s.connect(to, TRY_MS);
      s.setSoTimeout(TRY_MS);
      s.getOutputStream().write((request + "\n").getBytes(StandardCharsets.UTF_8));
      BufferedReader in =
          new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.UTF_8));
      String line;
      while ((line = in.readLine()) != null) {
        JsonNode o = MAPPER.readTree(line);
        if (!o.has("push")) {
          return o;
        }
      }
    } catch (IOException e) {
      // the next one is asked
    }
    return null;
  }
}
