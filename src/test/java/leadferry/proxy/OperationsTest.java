package leadferry.proxy;

import static leadferry.proxy.ProxyFixture.claim;
import static leadferry.proxy.ProxyFixture.ok;
import static leadferry.proxy.ProxyFixture.write;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import leadferry.engine.LineLog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** What operators ask of a client proxy that serves. */
class OperationsTest {
  private static final String HEALTH = "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n";

  @TempDir Path folder;
  private ProxyFixture world;
  private Management management;

  @BeforeEach
  void open() {
    world = new ProxyFixture(folder, 128);
  }

  @AfterEach
  void close() throws Exception {
    world.close();
    if (management != null) {
      management.close();
    }
  }

  // --- where they call

  private String call(String request) throws IOException {
    try (Socket s = caller()) {
      write(s, request);
      return ProxyFixture.read(s.getInputStream());
    }
  }

  private Socket caller() throws IOException {
    Socket s = new Socket();
    s.connect(management.address(), ProxyFixture.PATIENCE_MS);
    s.setSoTimeout(ProxyFixture.PATIENCE_MS);
    return s;
  }

  private void manage(OperatorState o) throws Exception {
    management =
        new Management(
            o::isReady,
            o::drain,
            o::activate,
            new LineLog(
                new PrintStream(OutputStream.nullOutputStream(), true, StandardCharsets.UTF_8),
                false));
    management.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  }

  private static String put(String path) {
    return "PUT " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
  }

  @Test
  void readinessIsSaidOnceThisProcessServes() throws Exception {
    OperatorState o = new OperatorState();
    manage(o);
    String ready = "GET /v1/readyz HTTP/1.1\r\nHost: a\r\n\r\n";
    assertThat(call(ready)).startsWith("HTTP/1.1 503");
    ProxyFixture.Host host = world.new Host(h -> ok("served"));
    world.operators = o;
    world.start(host);
    assertThat(call(ready)).startsWith("HTTP/1.1 200");
  }

  @ParameterizedTest
  @CsvSource({
    "GET /v1/nothing HTTP/1.1, 404",
    "GET /v1/client-proxy/drain HTTP/1.1, 405",
    "PUT /v1/readyz HTTP/1.1, 405",
    "noise, 400"
  })
  void whatIsNoCallIsAnError(String line, int status) throws Exception {
    OperatorState o = new OperatorState();
    manage(o);
    assertThat(call(line + "\r\nHost: a\r\n\r\n")).startsWith("HTTP/1.1 " + status);
    assertThat(o.isDraining()).isFalse();
  }

  @Test
  void callersThatSayNothingKeepNobodyOut() throws Exception {
    OperatorState o = new OperatorState();
    manage(o);
    List<Socket> silent = new ArrayList<>();
    for (int i = 0; i < 5 * Management.MAX_CONNECTIONS; i++) {
      Socket s = caller();
      silent.add(s);
      if (i % 2 == 0) {
        write(s, "PUT /v1/client-proxy/dr");
      }
    }
    assertThat(call(put("/v1/client-proxy/drain"))).startsWith("HTTP/1.1 200");
    assertThat(o.isDraining()).isTrue();
    assertThat(ProxyFixture.ends(silent.get(0))).isTrue(); // the oldest made room
    for (Socket s : silent) {
      s.close();
    }
  }

  // --- sending clients away

  @Test
  void clientsThatAreSentAwayGetTheirAnswersAndLeave() throws Exception {
    ProxyFixture.Host host = world.new Host(h -> ok("served"));
    world.start(host);
    try (Socket idle = world.client();
        Socket used = world.client()) {
      for (Socket s : List.of(idle, used)) {
        write(s, HEALTH);
        assertThat(ProxyFixture.read(s.getInputStream()))
            .startsWith("HTTP/1.1 200")
            .doesNotContain("close");
      }
      world.operators.drain();
      assertThat(world.ask(HEALTH)).startsWith("HTTP/1.1 503");
      write(used, claim("a"));
      assertThat(ProxyFixture.read(used.getInputStream())).endsWith("served");
      assertThat(world.ask(claim("b"))).endsWith("served"); // the front may still send some
      assertThat(ProxyFixture.ends(idle)).isTrue();
      assertThat(ProxyFixture.ends(used)).isTrue();
    }
    world.operators.activate();
    ProxyFixture.await(
        () -> {
          try {
            String answer = world.ask(HEALTH);
            return answer.startsWith("HTTP/1.1 200") && !answer.contains("close");
          } catch (IOException e) {
            throw new AssertionError(e);
          }
        });
  }

  // --- other settings

  private static final String VISIT =
      "{\"name\":\"visit\",\"aim\":400,\"deadline\":3000,\"semantics\":\"idempotent\"}";

  private static String request(String method, String name, String id, String... lines) {
    return method
        + " /"
        + name
        + "/1 HTTP/1.1\r\nHost: a\r\nX-Request-ID: "
        + id
        + "\r\nX-Priority-Class: "
        + name
        + "\r\n"
        + (lines.length == 0 ? "" : String.join("\r\n", lines) + "\r\n")
        + "\r\n";
  }

  private Path rewritten(String from, String to) throws IOException {
    Path file = folder.resolve("config.json");
    String text = Files.readString(file);
    assertThat(text).contains(from);
    return Files.writeString(file, text.replace(from, to));
  }

  private void await(String request, String status) throws Exception {
    AtomicBoolean seen = new AtomicBoolean();
    ProxyFixture.await(
        () -> {
          try {
            seen.set(world.ask(request).startsWith("HTTP/1.1 " + status));
          } catch (IOException e) {
            throw new AssertionError(e);
          }
          return seen.get();
        });
  }

  @Test
  void aClassIsAddedAndLaterDropped() throws Exception {
    world.start(world.new Host(h -> ok("served")));
    assertThat(world.ask(request("GET", "visit", "a"))).startsWith("HTTP/1.1 404");
    String one = "\"classes\":[";
    rewritten(one, one + VISIT + ",");
    world.reload();
    await(request("GET", "visit", "b"), "200");
    rewritten(VISIT + ",", "");
    world.reload();
    await(request("GET", "visit", "c"), "404"); // when its clients have had their time
  }

  @Test
  void aClassThatBecomesStricterBindsTheNewFormAndTakesTheOldForAWhile() throws Exception {
    List<String> run = new CopyOnWriteArrayList<>();
    Function<String, String> fails =
        h -> {
          run.add(h);
          return "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n";
        };
    world.start(world.new Host(fails), world.new Host(fails));
    String keyed = request("POST", "log", "a", "Idempotency-Key: k", "Content-Length: 0");
    world.ask(keyed);
    assertThat(run).hasSizeGreaterThan(1); // a keyed one is tried again within its group
    rewritten(
        "\"name\":\"log\",\"aim\":400,\"deadline\":3000,\"semantics\":\"deduplicated\"",
        "\"name\":\"log\",\"aim\":400,\"deadline\":3000,\"semantics\":\"at_most_once\"");
    world.reload();
    // Without a key it is a fault of the client's, until the new rules hold.
    await(request("POST", "log", "b", "Content-Length: 0"), "502");
    int before = run.size();
    assertThat(world.ask(keyed.replace("ID: a", "ID: c"))).startsWith("HTTP/1.1 502");
    assertThat(run).hasSize(before + 1); // what may have run is not repeated any more
  }

  @Test
  void fewerAttemptsHoldForWhatComes() throws Exception {
    Function<String, String> full =
        h -> "HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
    world.start(world.new Host(full), world.new Host(full));
    rewritten("\"maxAttempts\":3", "\"maxAttempts\":1");
    world.reload();
    ProxyFixture.await(
        () -> {
          try {
            int before = world.sends();
            world.ask(claim("a" + before));
            return world.sends() == before + 1;
          } catch (IOException e) {
            throw new AssertionError(e);
          }
        });
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "\"deadline\":3000 -> \"deadline\":0",
        "\"deadline\":3000 -> \"deadline\":-5",
        "\"deadline\":3000, -> ",
        "\"maxAttempts\":3 -> \"maxAttempts\":0",
        "\"maxAttempts\":3, -> ",
        "\"rules\":{ -> \"roles\":{",
        "\"semantics\":\"deduplicated\" -> \"semantics\":\"often\"",
        "\"name\":\"log\" -> \"name\":\"claim\"",
        "\"settings\":{ -> \"setting\":{",
      })
  void nothingOfABrokenFileIsTaken(String change) throws Exception {
    world.start(world.new Host(h -> ok("served")));
    ProxyFixture.Discovery other = world.new Discovery(3, world.new Host(h -> ok("other")));
    Config inForce =
        Config.load(Map.of("BALANCER_CONFIG", folder.resolve("config.json").toString()));
    String[] c = change.split(" -> ", 2);
    rewritten(c[0], c[1]);
    Path file = rewritten(inForce.discovery().toString().substring(1), other.address());
    assertThatThrownBy(() -> inForce.next(file)).isInstanceOf(ConfigException.class);
    world.reload();
    Thread.sleep(50);
    assertThat(world.ask(claim("a"))).endsWith("served");
    assertThat(other.asked).isEmpty();
  }

  @Test
  void everyFaultOfAFileIsToldInOneRun() throws Exception {
    world.start(world.new Host(h -> ok("served")));
    Config inForce =
        Config.load(Map.of("BALANCER_CONFIG", folder.resolve("config.json").toString()));
    rewritten("\"maxAttempts\":3", "\"maxAttempts\":0");
    Path file = rewritten("\"balancers\":1", "\"others\":1");
    assertThatThrownBy(() -> inForce.next(file))
        .hasMessageContaining("settings.limits.maxAttempts: expected a number above 0")
        .hasMessageContaining("settings.balancers: missing");
  }

  // --- two processes at one address

  @Test
  void aSuccessorTakesTheClientsAndAnswersThem() throws Exception {
    ProxyFixture.Host host = world.new Host(h -> ok("served"));
    world.generations = HotRestart.join(folder.toString());
    ProxyFixture.Discovery discovery = world.start(host);
    Proxy old = world.proxy;
    int port = old.address().getPort();
    Socket kept = world.client();
    write(kept, claim("kept"));
    assertThat(ProxyFixture.read(kept.getInputStream())).endsWith("served");
    assertThat(world.generations.others()).isNull();

    HotRestart next = HotRestart.join(folder.toString());
    assertThat(world.generations.others().listens()).isFalse();
    world.listen = port;
    world.generations = next;
    world.startBeside(discovery, host);
    AtomicBoolean over = new AtomicBoolean();
    List<String> wrong = new CopyOnWriteArrayList<>();
    Thread clients =
        new Thread(
            () -> {
              for (int i = 0; !over.get(); i++) {
                try {
                  String answer = world.ask(claim("n" + i));
                  if (answer != null && !answer.endsWith("served")) {
                    wrong.add(answer);
                  }
                } catch (IOException e) {
                  // let in between the old socket's last look and its close: reset, and asked anew
                }
              }
            });
    clients.start();
    old.drain();
    ProxyFixture.await(() -> !old.isListening());
    assertThat(ProxyFixture.ends(kept)).isTrue();
    old.awaitEnd(); // nobody is left there
    over.set(true);
    clients.join();
    assertThat(world.ask(claim("last"))).endsWith("served");
    assertThat(wrong).isEmpty();
    next.close();
    old.stop();
  }

  @Test
  void theFileOfAProcessThatDiedCountsForNobody() throws Exception {
    HotRestart one = HotRestart.join(folder.toString());
    Files.createTempFile(folder, "corkproxy-", ".lock"); // nobody holds it
    assertThat(one.others()).isNull();
    assertThat(HotRestart.join(null).others()).isNull();
    assertThat(HotRestart.join(folder.resolve("nowhere").toString()).others()).isNull();
    HotRestart two = HotRestart.join(folder.toString());
    two.tell(new HotRestart.Standing(true, 3, 5, 1L << 33));
    assertThat(one.others()).isEqualTo(new HotRestart.Standing(true, 3, 5, 1L << 33));
    two.close();
    assertThat(one.others()).isNull();
    one.close();
  }
}
