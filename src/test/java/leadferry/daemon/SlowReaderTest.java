package leadferry.daemon;

import static leadferry.daemon.DaemonFixture.CLASSES;
import static leadferry.daemon.DaemonFixture.LISTENER;
import static leadferry.daemon.DaemonFixture.request;
import static leadferry.daemon.DaemonFixture.route;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import leadferry.proxy.PacedReader;
import leadferry.proxy.ProxyFixture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks responses that are held whole, far larger than the kernel's buffers, and whose clients
 * read slowly: most of a response then waits in the daemon after its end was passed to the channel.
 */
class SlowReaderTest {
  private static final String CLAIMS = route("claims", "/", "class = \"claim\"\npool = \"a\"");
  private static final int BODY_BYTES = 12 << 20;

  /** Longer than the 5 s and the idle times that once counted from the end of the hand-over. */
  private static final PacedReader.Pace STEADY = new PacedReader.Pace(250_000, 7_000);

  private static final PacedReader.Pace SHORT_STEADY = new PacedReader.Pace(250_000, 2_000);

  private static final PacedReader.Pace AT_ONCE = new PacedReader.Pace(0, 0);

  /** Length of a body that the kernel takes at once, while its client has read little of it. */
  private static final int KERNEL_BODY_BYTES = 2_000_000;

  @TempDir Path folder;
  private DaemonFixture fixture;
  private int bodyBytes = BODY_BYTES;

  @BeforeEach
  void open() {
    fixture = new DaemonFixture(folder);
  }

  @AfterEach
  void close() {
    fixture.close();
  }

  private void start(String transport, String listenerLines) throws Exception {
    RawUpstream upstream =
        fixture.startRawUpstream(
            (host, in, out, socket) -> {
              while (host.readHead(in) != null) {
                RawUpstream.write(
                    out, "HTTP/1.1 200 OK\r\nContent-Length: " + bodyBytes + "\r\n\r\n");
                out.write(new byte[bodyBytes]);
              }
            });
    fixture.start(
        "[daemon]\nworkers = 1\ntransport = \"" + transport + "\"",
        LISTENER + listenerLines,
        CLASSES,
        RawUpstream.pool("a", "max_answer_bytes = " + BODY_BYTES, upstream),
        route("streamed", "/streamed", "class = \"claim\"\npool = \"a\"\nstream = true"),
        CLAIMS);
  }

  private Socket client() throws IOException {
    return PacedReader.connect(fixture.address());
  }

  /** Guards against a client that counts as stalled because its response was handed on long ago. */
  @ParameterizedTest
  @ValueSource(strings = {"nio", "epoll"})
  void steadyReaderGetsItsWholeResponse(String transport) throws Exception {
    start(transport, "");
    try (Socket socket = client()) {
      ProxyFixture.write(socket, request("POST", "/claim", "r"));
      assertThat(PacedReader.readBody(socket, STEADY)).isEqualTo(BODY_BYTES);
      ProxyFixture.write(socket, request("POST", "/claim", "again"));
      assertThat(PacedReader.readBody(socket, AT_ONCE)).isEqualTo(BODY_BYTES);
    }
  }

  /** Guards against a last response that counts as written, so that its connection looks idle. */
  @ParameterizedTest
  @ValueSource(strings = {"nio", "epoll"})
  void steadyReaderGetsItsWholeLastResponse(String transport) throws Exception {
    start(transport, "idle_ms = 500");
    try (Socket socket = client()) {
      ProxyFixture.write(socket, request("POST", "/claim", "r", "Connection: close"));
      assertThat(PacedReader.readBody(socket, SHORT_STEADY)).isEqualTo(BODY_BYTES);
      assertThat(ProxyFixture.isClosedByPeer(socket)).isTrue();
    }
  }

  /** Guards against an idle time that counts from the hand-over of a response that is not read. */
  @ParameterizedTest
  @ValueSource(strings = {"nio", "epoll"})
  void idleTimeCountsFromTheEndOfAResponse(String transport) throws Exception {
    start(transport, "idle_ms = 1500");
    try (Socket socket = client()) {
      ProxyFixture.write(socket, request("POST", "/claim", "r"));
      assertThat(PacedReader.readBody(socket, SHORT_STEADY)).isEqualTo(BODY_BYTES);
      Thread.sleep(500); // the daemon closes idle connections several times a second
      ProxyFixture.write(socket, request("POST", "/claim", "again"));
      assertThat(PacedReader.readBody(socket, AT_ONCE)).isEqualTo(BODY_BYTES);
    }
  }

  /**
   * Guards against a reset that drops what the kernel still holds of a response: the client sends a
   * further request after the daemon has closed the connection, which it can't know yet.
   */
  @ParameterizedTest
  @CsvSource({
    "nio, Connection: close, 60000",
    "epoll, Connection: close, 60000",
    "nio, X-Any: 1, 300",
    "epoll, X-Any: 1, 300"
  })
  void laterRequestDoesNotCutOffAResponse(String transport, String line, int idleMillis)
      throws Exception {
    bodyBytes = KERNEL_BODY_BYTES;
    start(transport, "idle_ms = " + idleMillis);
    try (Socket socket = client()) {
      ProxyFixture.write(socket, request("POST", "/claim", "r", line));
      ProxyFixture.runInBackground(
          () -> {
            Thread.sleep(1_500);
            ProxyFixture.write(socket, request("POST", "/claim", "behind"));
          });
      assertThat(PacedReader.readBody(socket, new PacedReader.Pace(250_000, 3_000)))
          .isEqualTo(KERNEL_BODY_BYTES);
    }
  }

  /** Guards against the same in a drain, which closes idle connections at once. */
  @ParameterizedTest
  @ValueSource(strings = {"nio", "epoll"})
  void requestBehindADrainDoesNotCutOffAResponse(String transport) throws Exception {
    bodyBytes = KERNEL_BODY_BYTES;
    start(transport, "");
    try (Socket socket = client()) {
      ProxyFixture.write(socket, request("POST", "/claim", "r"));
      ProxyFixture.runInBackground(
          () -> {
            Thread.sleep(500);
            fixture.daemon.drain();
            Thread.sleep(1_000);
            ProxyFixture.write(socket, request("POST", "/claim", "behind"));
          });
      assertThat(PacedReader.readBody(socket, new PacedReader.Pace(250_000, 3_000)))
          .isEqualTo(KERNEL_BODY_BYTES);
    }
  }

  /**
   * Guards against the same where the client goes on to send a long request whose response has come
   * early.
   */
  @ParameterizedTest
  @ValueSource(strings = {"nio", "epoll"})
  void restOfALongRequestDoesNotCutOffItsResponse(String transport) throws Exception {
    bodyBytes = KERNEL_BODY_BYTES;
    start(transport, "max_body_bytes = " + BODY_BYTES);
    try (Socket socket = client()) {
      ProxyFixture.write(
          socket, request("PUT", "/streamed", "r", "Content-Length: " + BODY_BYTES) + "begin");
      ProxyFixture.runInBackground(
          () -> {
            Thread.sleep(500);
            socket.getOutputStream().write(new byte[BODY_BYTES - "begin".length()]);
          });
      assertThat(PacedReader.readBody(socket, new PacedReader.Pace(250_000, 3_000)))
          .isEqualTo(KERNEL_BODY_BYTES);
    }
  }
}
