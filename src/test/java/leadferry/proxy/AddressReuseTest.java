package leadferry.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a new process that is taken for the one that had its address before, while the
 * list of discovery still names both.
 */
class AddressReuseTest {
  @TempDir Path folder;
  private ProxyFixture fixture;
  private final CountDownLatch newHostListed = new CountDownLatch(1);

  @BeforeEach
  void open() {
    fixture = new ProxyFixture(folder, 128);
  }

  @AfterEach
  void close() throws Exception {
    fixture.close();
  }

  private static String entry(String id, String address, int cell, long startedMillis) {
    return "{\"id\":\""
        + id
        + "\",\"addr\":\""
        + address
        + "\",\"zone\":\"z\",\"kind\":\"k\",\"cell\":"
        + cell
        + ",\"state\":\"up\",\"weight\":1.0,\"started_ms\":"
        + startedMillis
        + "}";
  }

  private static String list(int version, boolean full, String... entries) {
    return "{\"version\":"
        + version
        + ",\"full\":"
        + full
        + ",\"servers\":["
        + String.join(",", entries)
        + "]}";
  }

  /** Starts a proxy with {@code first} as its list, which gets {@code second} later. */
  private void start(String first, String second) throws Exception {
    ProxyFixture.Server discovery =
        fixture.new Server() {
          @Override
          void serve(Socket socket) throws IOException, InterruptedException {
            String request;
            while ((request = ProxyFixture.readMessage(socket.getInputStream())) != null) {
              if (!request.split(" ")[1].contains("follow")) {
                ProxyFixture.write(socket, ProxyFixture.ok(first));
                continue;
              }
              ProxyFixture.write(
                  socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
              newHostListed.await();
              ProxyFixture.write(
                  socket, Integer.toHexString(second.length() + 1) + "\r\n" + second + "\n\r\n");
            }
          }
        };
    fixture.startProxy(
        fixture.writeConfig(discovery.address(), first), ProxyFixture.discardingLog());
  }

  private boolean canSendTo(String name) {
    return fixture.callOnLoop(() -> fixture.proxy.canSendTo(name));
  }

  @ParameterizedTest
  @CsvSource({
    "0, 0, true",
    "0, 5000, true",
    "4000, 5000, true",
    "0, 0, false",
    "4000, 5000, false"
  })
  void hostWhoseAddressAnotherTookOverGetsNothing(long oldStart, long newStart, boolean isFull)
      throws Exception {
    ProxyFixture.UpstreamHost host = fixture.new UpstreamHost(request -> ProxyFixture.ok("done"));
    String oldEntry = entry("old", host.address(), 1, oldStart);
    String newEntry = entry("new", host.address(), 2, newStart);
    start(
        list(40, true, oldEntry),
        isFull ? list(41, true, newEntry, oldEntry) : list(41, false, newEntry));
    assertThat(canSendTo("old")).isTrue();
    newHostListed.countDown();
    ProxyFixture.await(() -> canSendTo("new"));
    assertThat(canSendTo("old")).isFalse();
    assertThat(fixture.sendRequest(ProxyFixture.atMostOnceRequest("a"))).endsWith("done");
  }

  /** Two names for one address from the start: nothing tells which of them is old. */
  @Test
  void hostsThatShareAnAddressFromTheStartBothGetRequests() throws Exception {
    ProxyFixture.UpstreamHost host = fixture.new UpstreamHost(request -> ProxyFixture.ok("done"));
    String both =
        list(40, true, entry("one", host.address(), 1, 0), entry("two", host.address(), 1, 0));
    start(both, both);
    assertThat(canSendTo("one")).isTrue();
    assertThat(canSendTo("two")).isTrue();
  }
}
