package leadferry.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import leadferry.consensus.StateSpaceExplorer.Step;
import leadferry.disruption.DisruptionState;
import leadferry.disruption.ProxyMemberView;
import org.junit.jupiter.api.Test;

/**
 * All interleavings of three proxies, two operators, late news, late words, lost sessions and
 * restarts, to a stated depth, in one thread: who really serves is kept beside the ledger and
 * compared with what it allows.
 */
class DrainStateSpaceTest {
  private static final List<String> PROXIES = List.of("a", "b", "c");
  private static final int ALLOWED = 1;
  private static final int DEPTH = Integer.getInteger("walk.depth", 6);

  /**
   * A proxy's process: what it goes by, what it really does, and what it has said that is still on
   * its way.
   */
  private static final class Process {
    boolean runs = true;
    long session;
    long number;
    final ProxyMemberView view;
    boolean serves = true;

    Process(String name) {
      view = new ProxyMemberView(name);
    }

    final ArrayDeque<JsonNode> news = new ArrayDeque<>();
    final ArrayDeque<byte[]> words = new ArrayDeque<>();
  }

  /** One state of the whole, made anew by its steps. */
  private final class World implements StateSpaceExplorer.World {
    private final Predicate<World> promise;

    final FleetStateMachine ledger = new FleetStateMachine(new DisruptionState.Times(10, 10, 10));
    final Map<String, Process> processes = new HashMap<>();
    final Set<String> permits = new TreeSet<>();
    int crashes;
    long sent;

    World(Predicate<World> promise) {
      this.promise = promise;
      for (String p : PROXIES) {
        processes.put(p, new Process(p));
        join(p);
        processes.get(p).news.clear();
        tell(p);
        ledger.apply(processes.get(p).words.remove());
      }
    }

    ObjectNode apply(ObjectNode e) {
      ObjectNode o = ledger.apply(Json.bytes(e));
      JsonNode view = ledger.view();
      if (view.path("version").asLong() > sent) {
        sent = view.path("version").asLong();
        processes.forEach(
            (n, p) -> {
              if (p.runs && p.session > 0 && ledger.lives(n, p.session)) {
                p.news.add(view);
              }
            });
      }
      return o;
    }

    void join(String name) {
      Process p = processes.get(name);
      ObjectNode o =
          apply(
              Json.object()
                  .put("op", "join")
                  .put("name", name)
                  .put("incarnation", name + crashes)
                  .put("lease_ms", 1_000));
      if (o.path("status").asText().equals("done")) {
        p.session = o.path("session").asLong();
        p.number = 0;
        p.words.clear();
        p.news.clear();
        p.view.forget();
        take(name, o.path("view"));
      }
    }

    /** Goes by news, or by an answer to its joining, and says so. */
    void take(String name, JsonNode view) {
      Process p = processes.get(name);
      if (p.view.take(view, ledger.lives(name, p.session), 0)) {
        p.serves = !p.view.away();
        tell(name);
      }
    }

    void tell(String name) {
      Process p = processes.get(name);
      p.words.add(
          Json.bytes(
              Json.object()
                  .put("op", "tell")
                  .put("name", name)
                  .put("session", p.session)
                  .put("number", ++p.number)
                  .put("seen", p.view.version())
                  .put("serving", p.serves)));
    }

    /** What can happen next. */
    @Override
    public List<Step> steps() {
      List<Step> out = new ArrayList<>();
      for (String n : PROXIES) {
        Process p = processes.get(n);
        boolean lives = p.session > 0 && ledger.lives(n, p.session);
        if (p.runs && !p.news.isEmpty()) {
          out.add(new Step("news " + n, () -> take(n, p.news.remove())));
        }
        if (!p.words.isEmpty()) {
          out.add(new Step("word " + n, () -> apply(Json.read(p.words.remove()))));
        }
        if (p.runs && crashes < 1) {
          out.add(
              new Step(
                  "crash " + n,
                  () -> {
                    crashes++;
                    p.runs = false;
                    p.serves = false;
                    p.news.clear();
                    p.words.clear();
                  }));
          out.add(
              new Step(
                  "cut off " + n,
                  () -> {
                    crashes++; // stopped, say: what was on its way to it stays there
                    apply(
                        LogEntryCodec.encodeExpiry(
                            SessionTable.timer(
                                n, p.session))); // its lease is over before this is said: see
                    // LeaseTest
                  }));
        }
        if (!p.runs && lives) {
          out.add(
              new Step(
                  "expire " + n,
                  () -> apply(LogEntryCodec.encodeExpiry(SessionTable.timer(n, p.session)))));
        }
        if (!lives) {
          out.add(
              new Step(
                  "join " + n,
                  () -> {
                    p.serves &= p.runs || !p.view.away();
                    p.runs = true;
                    join(n);
                  }));
        }
      }
      for (String n : List.of("a", "b")) {
        out.add(
            new Step(
                "drain " + n,
                () -> {
                  ObjectNode o =
                      apply(
                          Json.object()
                              .put("op", "drain")
                              .put("kind", "proxy")
                              .put("name", n)
                              .put("for_ms", 50));
                  if (o.has("permit")) {
                    permits.add(o.path("permit").asText());
                  }
                }));
      }
      for (String id : permits) {
        out.add(
            new Step("undo " + id, () -> apply(Json.object().put("op", "undo").put("permit", id))));
      }
      for (String t : ledger.timers().keySet()) {
        if (!t.startsWith("session:")) {
          out.add(new Step("time " + t, () -> apply(LogEntryCodec.encodeExpiry(t))));
        }
      }
      return out;
    }

    /** Those that are out by decision, not by the walk's own crash. */
    Set<String> out() {
      Set<String> out = new TreeSet<>();
      processes.forEach(
          (n, p) -> {
            if (p.runs && !p.serves) {
              out.add(n);
            }
          });
      return out;
    }

    @Override
    public String broken() {
      return promise.test(this) ? "" : "out: " + out();
    }

    /** The state but for numbers that only count up: what matters of those is their order. */
    @Override
    public String key() {
      ObjectNode o = Json.read(ledger.snapshot());
      o.remove(List.of("audit", "entries", "calls"));
      StringBuilder s = new StringBuilder(Json.text(o));
      processes.forEach(
          (n, p) -> {
            s.append(n)
                .append(p.runs)
                .append(p.serves)
                .append("\"seen\":")
                .append(p.view.version())
                .append("\"id\":")
                .append(p.session);
            p.news.forEach(v -> s.append(Json.text(v)));
            p.words.forEach(w -> s.append(new String(w, StandardCharsets.UTF_8)));
          });
      return HexFormat.of().formatHex(digest(ranked(s.append(crashes).toString())));
    }
  }

  static String ranked(String text) {
    String out = text;
    for (String names :
        List.of(
            "version|since|end_since|seen",
            "change|settling|joined|acted_at|baking",
            "said|number",
            "id|session")) {
      Pattern counted = Pattern.compile("\"(" + names + ")\":(\\d+)");
      TreeSet<Long> values = new TreeSet<>();
      counted.matcher(out).results().forEach(r -> values.add(Long.parseLong(r.group(2))));
      Map<Long, Integer> ranks = new HashMap<>();
      values.forEach(v -> ranks.put(v, v == 0 ? 0 : ranks.size() + 1));
      out =
          counted
              .matcher(out)
              .replaceAll(r -> "\"" + r.group(1) + "\":" + ranks.get(Long.parseLong(r.group(2))));
    }
    return out;
  }

  private static byte[] digest(String text) {
    try {
      return MessageDigest.getInstance("MD5").digest(text.getBytes(StandardCharsets.UTF_8));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  @Test
  void neverMoreProxiesAreOutByDecisionThanAllowed() {
    StateSpaceExplorer walk =
        new StateSpaceExplorer(() -> new World(w -> w.out().size() <= ALLOWED));
    assertThat(walk.all(DEPTH)).isEmpty();
    System.out.println("drains walked: " + walk.states() + " states to a depth of " + DEPTH);
    assertThat(walk.states()).isGreaterThan(1_000);
  }

  @Test
  void walksAtRandomFarBeyondThatDepthKeepThePromise() {
    StateSpaceExplorer walk =
        new StateSpaceExplorer(() -> new World(w -> w.out().size() <= ALLOWED));
    for (long seed = 1; seed <= Integer.getInteger("walk.seeds", 300); seed++) {
      assertThat(walk.random(seed, 60)).as("seed " + seed).isEmpty();
    }
  }

  @Test
  void whatARandomWalkFindsIsCutDownToWhatMatters() {
    assertThat(new StateSpaceExplorer(() -> new World(w -> !w.out().contains("a"))).random(1, 60))
        .hasSize(3)
        .contains("drain a", "news a", "=> out: [a]");
  }
}
