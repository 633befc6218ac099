package leadferry.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Function;
import leadferry.engine.LineLog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Reloads the settings while requests are open or clients don't know of the change yet. Guards
 * against a request that is handled by settings under which it did not arrive: an effect that
 * happens twice (rule 2 of package {@code engine}).
 */
class ReloadDuringRequestTest {
  private static final String ERROR = "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n";
  private static final String FULL =
      "HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
  private static final String UNSAFE_CLAIM = "\"semantics\":\"at_most_once\"";
  private static final String KEYED_CLAIM =
      "\"semantics\":\"deduplicated\",\"keyScope\":\"all\",\"repeatWindow\":2000";
  private static final String KEY_SCOPE_CELL = "\"keyScope\":\"cell\"";
  private static final String KEY_SCOPE_ALL = "\"keyScope\":\"all\"";

  @TempDir Path folder;
  private final ByteArrayOutputStream log = new ByteArrayOutputStream();
  private final List<String> received = new CopyOnWriteArrayList<>();
  private ProxyFixture fixture;
  private int reloads;

  @BeforeEach
  void open() {
    fixture = new ProxyFixture(folder, 128);
  }

  @AfterEach
  void close() throws Exception {
    fixture.close();
  }

  /** Starts a client proxy with three hosts that give this response to every request. */
  private void startWithHostsThatRespond(String response) throws Exception {
    Function<String, String> responder =
        request -> {
          received.add(request);
          return response;
        };
    ProxyFixture.UpstreamHost[] hosts = new ProxyFixture.UpstreamHost[3];
    for (int i = 0; i < hosts.length; i++) {
      hosts[i] = fixture.new UpstreamHost(responder);
      hosts[i].cell = i;
    }
    ProxyFixture.DiscoveryServer discovery = fixture.new DiscoveryServer(40, hosts);
    fixture.startProxy(
        fixture.writeConfig(discovery.address(), discovery.endpointList()),
        new LineLog(new PrintStream(log, true, StandardCharsets.UTF_8), false));
  }

  /** Replaces part of the settings and waits until they are in force. */
  private void reloadWith(String previous, String next) throws Exception {
    Path file = folder.resolve("config.json");
    String text = Files.readString(file);
    assertThat(text).contains(previous);
    Files.writeString(file, text.replace(previous, next));
    fixture.reload();
    reloads++;
    ProxyFixture.await(
        () -> log.toString(StandardCharsets.UTF_8).split("new settings in force").length > reloads);
  }

  /** Sends a claim, whose settings are changed between its head and its last byte. */
  private String sendClaimDuringReload(String previous, String next) throws Exception {
    try (Socket client = fixture.connectClient()) {
      ProxyFixture.write(
          client, ProxyFixture.atMostOnceRequest("a", "Content-Length: 4", "Expect: 100-continue"));
      assertThat(ProxyFixture.readMessage(client.getInputStream())).startsWith("HTTP/1.1 100");
      reloadWith(previous, next);
      ProxyFixture.write(client, "body");
      return ProxyFixture.readMessage(client.getInputStream());
    }
  }

  /** review/1: a claim without a key was repeated once its class had become keyed. */
  @Test
  void unsafeRequestThatIsBeingWrittenWhenItsClassBecomesKeyedRunsOnce() throws Exception {
    startWithHostsThatRespond(ERROR);
    assertThat(sendClaimDuringReload(UNSAFE_CLAIM, KEYED_CLAIM)).startsWith("HTTP/1.1 502");
    assertThat(received).hasSize(1);
  }

  /** A removed class was looked up again as an unknown one, and forgot how it may be repeated. */
  @Test
  void requestThatIsBeingWrittenWhenItsClassIsRemovedKeepsIt() throws Exception {
    fixture.aimMillis = 300;
    startWithHostsThatRespond(FULL);
    String response =
        sendClaimDuringReload("\"name\":\"claim\",\"aim\":300", "\"name\":\"other\",\"aim\":300");
    // Retry-After is derived from the latency objective of the class, not from the time limit.
    assertThat(response).startsWith("HTTP/1.1 503").contains("0.075");
  }

  /** The limit on attempts was the one in force at the last byte. */
  @Test
  void requestThatIsBeingWrittenWhenMoreAttemptsArePermittedKeepsItsLimit() throws Exception {
    startWithHostsThatRespond(FULL);
    reloadWith("\"maxAttempts\":3", "\"maxAttempts\":1");
    Thread.sleep(RequestPolicyResolver.TRANSITION_MILLIS + 100);
    assertThat(sendClaimDuringReload("\"maxAttempts\":1", "\"maxAttempts\":3"))
        .startsWith("HTTP/1.1 503");
    assertThat(received).hasSize(1);
  }

  /** review/REPORT.md: a request was repeated in another cell before clients knew of the change. */
  @Test
  void keyedRequestIsRepeatedInItsCellOnlyUntilClientsKnowTheWiderGroup() throws Exception {
    startWithHostsThatRespond(ERROR);
    reloadWith(KEY_SCOPE_CELL, KEY_SCOPE_ALL);
    fixture.sendRequest(ProxyFixture.keyedRequest("a"));
    assertThat(received).hasSize(1); // each host is a cell of its own
    ProxyFixture.await(
        () -> {
          received.clear();
          try {
            fixture.sendRequest(ProxyFixture.keyedRequest("b" + System.nanoTime()));
          } catch (IOException e) {
            throw new AssertionError(e);
          }
          return received.size() > 1;
        });
  }

  /** The form of a class was forgotten by the second of two reloads in quick succession. */
  @Test
  void formOfAnEarlierReloadIsStillAccepted() throws Exception {
    startWithHostsThatRespond(ERROR);
    reloadWith(UNSAFE_CLAIM, KEYED_CLAIM);
    reloadWith("\"maxAttempts\":3", "\"maxAttempts\":2");
    assertThat(fixture.sendRequest(ProxyFixture.atMostOnceRequest("a"))).startsWith("HTTP/1.1 502");
    assertThat(received).hasSize(1);
  }
}
