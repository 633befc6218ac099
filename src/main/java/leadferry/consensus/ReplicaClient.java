package leadferry.consensus;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Calls keepers: goes to the one that leads, as they tell, and from one that does not answer to the
 * next. For one thread. All that is sent may be sent again: entries carry a call's id, an
 * incarnation or a session with a number, by which the log takes them once.
 */
public final class ReplicaClient implements AutoCloseable {
  /**
   * One keeper has so long (ms) for a connection, and for an answer, before the next one is asked.
   */
  private static final int CONNECT_MS = 500;

  private static final int ANSWER_MS = 1_500;
  private static final int PAUSE_MS = 50;

  /** No keeper that leads has answered in time. */
  public static final class UnreachableException extends Exception {
    private static final long serialVersionUID = 1;

    /** Whether the question went out at least once, so that it may have been carried out. */
    public final boolean sent;

    UnreachableException(boolean sent, String message) {
      super(message);
      this.sent = sent;
    }
  }

  private final String fleet;
  private final Map<String, InetSocketAddress> keepers;
  private final List<String> names;
  private final Consumer<ObjectNode> pushed;
  private ReplicaConnection wire;
  private String at;
  private int next;
  private long ids;

  /** Keepers by name; views that they push go to {@code pushed}. */
  public ReplicaClient(
      String fleet, Map<String, InetSocketAddress> keepers, Consumer<ObjectNode> pushed) {
    this.fleet = fleet;
    this.keepers = new LinkedHashMap<>(keepers);
    this.names = new ArrayList<>(keepers.keySet());
    this.pushed = pushed;
    this.next = Math.floorMod(System.nanoTime() / 1_000, Math.max(1, names.size()));
  }

  /** Asks until there is an answer, at most until then (ns of the JVM's clock). */
  public ObjectNode call(ObjectNode request, long until) throws UnreachableException {
    boolean sent = false;
    String last = "no time";
    while (System.nanoTime() < until) {
      try {
        connect(until);
        long id = ++ids;
        wire.send(request.put("id", id).put("fleet", fleet));
        sent = true;
        ObjectNode answer = answer(id, Math.min(until, System.nanoTime() + ANSWER_MS * 1_000_000L));
        if (answer == null) {
          last = at + " did not answer";
          leave();
        } else if (answer.has("redirect")) {
          last = at + " does not lead";
          leave();
          int led = names.indexOf(answer.path("redirect").asText());
          if (led >= 0) {
            next = led;
          } else {
            pause();
          }
        } else if (answer.has("undecided")) {
          last = at + ": " + answer.path("undecided").asText();
          leave();
          pause();
        } else {
          return answer;
        }
      } catch (IOException e) {
        last = at + ": " + e.getMessage();
        leave();
        pause();
      }
    }
    throw new UnreachableException(sent, last);
  }

  private ObjectNode answer(long id, long until) throws IOException {
    ObjectNode o;
    while ((o = wire.receive(until)) != null) {
      if (o.has("push")) {
        pushed.accept(o);
      } else if (o.path("id").asLong() == id) {
        return o;
      }
    }
    return null;
  }

  /** Takes what keepers push, until then (ns) at most. */
  public void listen(long until) {
    try {
      while (wire != null) {
        ObjectNode o = wire.receive(until);
        if (o == null) {
          return;
        }
        if (o.has("push")) {
          pushed.accept(o);
        }
      }
    } catch (IOException e) {
      leave();
    }
    long left = (until - System.nanoTime()) / 1_000_000;
    if (left > 0) {
      Pause.of(Math.min(left, PAUSE_MS));
    }
  }

  private void connect(long until) throws IOException {
    if (wire == null) {
      at = names.get(next);
      long left = Math.max(1, (until - System.nanoTime()) / 1_000_000);
      wire = new ReplicaConnection(keepers.get(at), (int) Math.min(left, CONNECT_MS));
    }
  }

  private void leave() {
    if (wire != null) {
      wire.close();
      wire = null;
    }
    next = (names.indexOf(at) + 1) % names.size();
  }

  private static void pause() {
    Pause.of(PAUSE_MS);
  }

  @Override
  public void close() {
    if (wire != null) {
      wire.close();
    }
  }
}
