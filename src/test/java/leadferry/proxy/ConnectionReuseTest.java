package leadferry.proxy;

import static leadferry.proxy.ProxyFixture.atMostOnceRequest;
import static leadferry.proxy.ProxyFixture.ok;
import static leadferry.proxy.ProxyFixture.write;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests when a connection to a host carries another request. */
class ConnectionReuseTest {
  /** Longer than the shortest idle limit that a dead connection can cause. */
  private static final long LONG_IDLE_MILLIS = 80;

  /** Requests after which the proxy responds to a malformed response within a few ms. */
  private static final int WARM_UP_REQUESTS = 15;

  @TempDir Path folder;
  private ProxyFixture fixture;

  @BeforeEach
  void open() {
    fixture = new ProxyFixture(folder, 128);
    fixture.aimMillis = ProxyFixture.TIMEOUT_MILLIS; // an idle connection is kept for two aims
  }

  @AfterEach
  void close() throws Exception {
    fixture.close();
  }

  private static String exchange(Socket client, String id) throws IOException {
    write(client, atMostOnceRequest(id));
    return ProxyFixture.readMessage(client.getInputStream());
  }

  /**
   * A malformed response soon after its request was taken for the close of an idle connection, so
   * that later connections were used for 50 ms only.
   */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 101 Switching Protocols\r\n\r\n",
        "HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n",
        "no response\r\n\r\n"
      })
  void malformedResponseDoesNotShortenTheIdleTime(String malformed) throws Exception {
    ProxyFixture.UpstreamHost host =
        fixture
        .new UpstreamHost(
            head -> {
              String id = ProxyFixture.headerValue(head, "X-Request-ID");
              return id.equals("malformed") ? malformed : ok(id);
            });
    fixture.start(host);
    try (Socket client = fixture.connectClient()) {
      for (int i = 0; i < WARM_UP_REQUESTS; i++) {
        assertThat(exchange(client, "first")).endsWith("first");
        Thread.sleep(20); // the next request uses the same connection, idle for a short time
      }
      assertThat(exchange(client, "malformed")).startsWith("HTTP/1.1 502");
      assertThat(host.acceptedConnections()).isEqualTo(1);
      for (String id : List.of("second", "third", "fourth")) {
        assertThat(exchange(client, id)).endsWith(id);
        Thread.sleep(LONG_IDLE_MILLIS);
      }
    }
    assertThat(host.acceptedConnections()).isEqualTo(2);
  }
}
