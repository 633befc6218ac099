package leadferry.daemon;

import static leadferry.daemon.DaemonFixture.CLASSES;
import static leadferry.daemon.DaemonFixture.LISTENER;
import static leadferry.daemon.DaemonFixture.pool;
import static leadferry.daemon.DaemonFixture.request;
import static leadferry.daemon.DaemonFixture.route;
import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.nio.file.Path;
import leadferry.proxy.ProxyFixture;
import leadferry.testbed.FakeUpstream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks pipelined requests in the daemon. Guards against reordered responses and against requests
 * that are sent on after their client has left.
 */
class PipelineTest {
  private static final String CLAIMS = route("claims", "/", "class = \"claim\"\npool = \"a\"");

  @TempDir Path folder;
  private DaemonFixture fixture;

  @BeforeEach
  void open() {
    fixture = new DaemonFixture(folder);
  }

  @AfterEach
  void close() {
    fixture.close();
  }

  private static String transportOf(String name) {
    return "[daemon]\nworkers = 1\ntransport = \"" + name + "\"";
  }

  @ParameterizedTest
  @ValueSource(ints = {2, 4, 16})
  void pipelinedRequestsGetTheirResponsesInOrder(int pipeline) throws Exception {
    FakeUpstream upstream =
        fixture.startUpstream(FakeUpstream.Options.instant("a").withServiceTime(1, 4));
    fixture.start(LISTENER + "pipeline = " + pipeline, CLASSES, pool("a", "", upstream), CLAIMS);
    StringBuilder all = new StringBuilder();
    for (int i = 0; i < 400; i++) {
      String body = i % 3 == 0 ? "x".repeat(i) : "";
      all.append(
              request("POST", "/claim", "p" + i).replace("Length: 0", "Length: " + body.length()))
          .append(body);
    }
    try (Socket socket = fixture.client()) {
      RawUpstream.startThread(() -> ProxyFixture.write(socket, all.toString()));
      for (int i = 0; i < 400; i++) {
        assertThat(ProxyFixture.readMessage(socket.getInputStream()))
            .startsWith("HTTP/1.1 200")
            .contains("\r\n\r\np" + i + " ");
      }
    }
    assertThat(fixture.executionLog.repeatedIds()).isEmpty();
  }

  @Test
  void anInvalidThirdRequestEndsThePipelineAfterTwoResponses() throws Exception {
    FakeUpstream upstream =
        fixture.startUpstream(FakeUpstream.Options.instant("a").withServiceTime(20, 1));
    fixture.start(LISTENER, CLASSES, pool("a", "", upstream), CLAIMS);
    try (Socket socket = fixture.client()) {
      ProxyFixture.write(
          socket,
          request("POST", "/claim", "p0")
              + request("POST", "/claim", "p1")
              + "GET\t/ HTTP/1.1\r\nHost: a\r\n\r\n"
              + request("POST", "/claim", "p3"));
      assertThat(ProxyFixture.readMessage(socket.getInputStream()))
          .startsWith("HTTP/1.1 200")
          .contains("\r\n\r\np0 ");
      assertThat(ProxyFixture.readMessage(socket.getInputStream()))
          .startsWith("HTTP/1.1 200")
          .contains("\r\n\r\np1 ");
      assertThat(ProxyFixture.readMessage(socket.getInputStream())).startsWith("HTTP/1.1 400");
      assertThat(ProxyFixture.isClosedByPeer(socket)).isTrue();
    }
    assertThat(fixture.executionLog.executionsOf("p3")).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(strings = {"nio", "epoll"})
  void aClientThatDisconnectsMidPipelineLeaksNothing(String transport) throws Exception {
    FakeUpstream upstream =
        fixture.startUpstream(FakeUpstream.Options.instant("a").withServiceTime(50, 1));
    fixture.start(transportOf(transport), LISTENER, CLASSES, pool("a", "", upstream), CLAIMS);
    try (Socket socket = fixture.client()) {
      ProxyFixture.write(
          socket,
          request("POST", "/claim", "q0")
              + request("POST", "/claim", "q1")
              + request("POST", "/claim", "q2"));
      ProxyFixture.await(() -> fixture.executionLog.executionsOf("q0").size() == 1);
    }
    ProxyFixture.await(() -> upstream.connections() == 0);
    assertThat(fixture.status(request("POST", "/claim", "after"))).isEqualTo(200);
    assertThat(fixture.executionLog.executionsOf("q2")).isEmpty();
  }

  /**
   * Guards against requests that are sent on for a client that has left, where the end of its
   * stream stands behind more input than one read takes.
   */
  @ParameterizedTest
  @CsvSource({"nio, 0", "nio, 60000", "nio, 900000", "epoll, 60000", "epoll, 900000"})
  void noRequestIsSentForAClientThatLeftBehindUnreadInput(String transport, int unreadBytes)
      throws Exception {
    FakeUpstream upstream =
        fixture.startUpstream(FakeUpstream.Options.instant("a").withServiceTime(150, 1));
    fixture.start(transportOf(transport), LISTENER, CLASSES, pool("a", "", upstream), CLAIMS);
    try (Socket socket = fixture.client()) {
      ProxyFixture.write(socket, request("POST", "/claim", "q0") + request("POST", "/claim", "q1"));
      ProxyFixture.write(
          socket,
          request("PUT", "/claim", "q2").replace("\r\n\r\n", "\r\nContent-Length: 900000\r\n\r\n")
              + "x".repeat(unreadBytes));
      ProxyFixture.await(() -> fixture.executionLog.executionsOf("q0").size() == 1);
    }
    ProxyFixture.await(() -> upstream.connections() == 0);
    assertThat(fixture.status(request("POST", "/claim", "after"))).isEqualTo(200);
    assertThat(fixture.executionLog.executionsOf("q1")).isEmpty();
    assertThat(fixture.executionLog.executionsOf("q2")).isEmpty();
  }

  /** Input that is read in search of the client's end is served as the requests that it holds. */
  @ParameterizedTest
  @ValueSource(strings = {"nio", "epoll"})
  void pipelinedRequestsOfAClientThatStaysAreAllServed(String transport) throws Exception {
    FakeUpstream upstream =
        fixture.startUpstream(FakeUpstream.Options.instant("a").withServiceTime(5, 1));
    fixture.start(transportOf(transport), LISTENER, CLASSES, pool("a", "", upstream), CLAIMS);
    StringBuilder requests = new StringBuilder();
    for (int i = 0; i < 60; i++) {
      requests.append(
          request("PUT", "/claim", "p" + i).replace("\r\n\r\n", "\r\nContent-Length: 900\r\n\r\n")
              + "x".repeat(900));
    }
    try (Socket socket = fixture.client()) {
      ProxyFixture.write(socket, requests.toString());
      for (int i = 0; i < 60; i++) {
        assertThat(ProxyFixture.readMessage(socket.getInputStream())).startsWith("HTTP/1.1 200");
      }
    }
    assertThat(fixture.executionLog.executionCount()).isEqualTo(60);
  }

  @Test
  void aPipelineOfOneRejectsPipelinedRequests() throws Exception {
    FakeUpstream upstream = fixture.startUpstream("a");
    fixture.start(LISTENER + "pipeline = 1", CLASSES, pool("a", "", upstream), CLAIMS);
    try (Socket socket = fixture.client()) {
      ProxyFixture.write(socket, request("POST", "/claim", "p0") + request("POST", "/claim", "p1"));
      assertThat(ProxyFixture.readMessage(socket.getInputStream())).startsWith("HTTP/1.1 400");
    }
    assertThat(fixture.executionLog.executionCount()).isZero();
  }
}
