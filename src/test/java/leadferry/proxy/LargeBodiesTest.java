package leadferry.proxy;

import static leadferry.proxy.ProxyFixture.atMostOnceRequest;
import static leadferry.proxy.ProxyFixture.ok;
import static leadferry.proxy.ProxyFixture.write;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Bodies of the platform's that are longer than what is held, and clients and hosts that are slow.
 */
class LargeBodiesTest {
  /** More than is held of a request, and far more than is held of an answer. */
  private static final int LARGE_BYTES = 3 << 20;

  /** A request after which its connection ends. */
  private static final String CLOSING_REQUEST =
      atMostOnceRequest("a", "Content-Length: 0", "Connection: close");

  @TempDir Path folder;
  private ProxyFixture fixture;

  @BeforeEach
  void open() {
    fixture = new ProxyFixture(folder, 128);
  }

  @AfterEach
  void close() throws Exception {
    fixture.close();
  }

  private static String pattern(int size) {
    StringBuilder s = new StringBuilder(size + 10);
    for (int i = 0; s.length() < size; i++) {
      s.append(i).append(' ');
    }
    return s.substring(0, size);
  }

  /** A host that writes its answer in two parts, the second once it is let. */
  private ProxyFixture.UpstreamHost twoPartHost(
      String first, String second, CountDownLatch go, boolean reset) throws IOException {
    return fixture.new UpstreamHost(h -> null) {
      @Override
      void serve(Socket s) throws IOException {
        while (ProxyFixture.readMessage(s.getInputStream()) != null) {
          write(s, first);
          try {
            go.await(ProxyFixture.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
          } catch (InterruptedException e) {
            return;
          }
          if (reset) {
            s.setSoLinger(true, 0);
            s.close();
            return;
          }
          write(s, second);
          if (first.contains("Connection: close")) {
            s.close();
          }
        }
      }
    };
  }

  @Test
  void timeoutOfALargeRequestStartsAtItsLastByte() throws Exception {
    fixture.deadlineMillis = 500;
    String body = pattern(LARGE_BYTES);
    ProxyFixture.UpstreamHost host =
        fixture.new UpstreamHost(h -> ok(h.endsWith("\r\n\r\n" + body) ? "whole" : "other"));
    fixture.start(host);
    try (Socket s = fixture.connectClient()) {
      write(s, atMostOnceRequest("a", "Content-Length: " + LARGE_BYTES));
      write(s, body.substring(0, LARGE_BYTES / 2));
      Thread.sleep(700); // longer than its time with the host
      write(s, body.substring(LARGE_BYTES / 2));
      assertThat(ProxyFixture.readMessage(s.getInputStream())).endsWith("whole");
      write(s, atMostOnceRequest("b"));
      assertThat(ProxyFixture.readMessage(s.getInputStream())).startsWith("HTTP/1.1 200");
    }
    assertThat(host.requests.get(0))
        .contains("X-Timeout-Ms: 500"); // a host counts from the last byte too
  }

  @Test
  void silentHostTimesOutOnALargeRequest() throws Exception {
    fixture.deadlineMillis = 300;
    fixture.start(fixture.new UpstreamHost(h -> null));
    assertThat(
            fixture.sendRequest(
                atMostOnceRequest("a", "Content-Length: " + LARGE_BYTES) + pattern(LARGE_BYTES)))
        .startsWith("HTTP/1.1 504");
  }

  @ParameterizedTest
  @ValueSource(ints = {100, 70_000, LARGE_BYTES})
  void responseEndedByCloseIsForwarded(int size) throws Exception {
    CountDownLatch go = new CountDownLatch(0);
    String body = pattern(size);
    fixture.start(
        twoPartHost(
            "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body.substring(0, size / 2),
            body.substring(size / 2),
            go,
            false));
    assertThat(responseBody(fixture, CLOSING_REQUEST)).isEqualTo(body);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void largeResponseMayExceedTheRequestTimeout(boolean sized) throws Exception {
    fixture.deadlineMillis = 400;
    CountDownLatch go = new CountDownLatch(1);
    String body = pattern(LARGE_BYTES);
    String framing =
        sized
            ? "Content-Length: " + LARGE_BYTES + "\r\n\r\n"
            : "Transfer-Encoding: chunked\r\n\r\n";
    String half = body.substring(0, LARGE_BYTES / 2);
    String rest = body.substring(LARGE_BYTES / 2);
    fixture.start(
        twoPartHost(
            "HTTP/1.1 200 OK\r\n" + framing + (sized ? half : chunk(half)),
            sized ? rest : chunk(rest) + "0\r\n\r\n",
            go,
            false));
    try (Socket s = fixture.connectClient()) {
      write(s, CLOSING_REQUEST);
      InputStream in = s.getInputStream();
      byte[] early = in.readNBytes(LARGE_BYTES / 4);
      Thread.sleep(600);
      go.countDown();
      String all =
          new String(early, StandardCharsets.ISO_8859_1)
              + new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
      assertThat(sized ? all.substring(all.indexOf("\r\n\r\n") + 4) : decode(all)).isEqualTo(body);
    }
  }

  @Test
  void largeResponseSurvivesTheEndOfAParallelAttempt() throws Exception {
    CountDownLatch both = new CountDownLatch(2);
    String body = pattern(LARGE_BYTES);
    String half = body.substring(0, 10_000);
    ProxyFixture.UpstreamHost[] hosts = new ProxyFixture.UpstreamHost[2];
    for (int i = 0; i < 2; i++) {
      hosts[i] =
          fixture.new UpstreamHost(h -> null) {
            @Override
            void serve(Socket s) throws IOException {
              while (ProxyFixture.readMessage(s.getInputStream()) != null) {
                both.countDown(); // the first is silent until a second copy is out
                try {
                  both.await(ProxyFixture.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
                  write(s, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(half));
                  Thread.sleep(100);
                } catch (InterruptedException e) {
                  return;
                }
                write(s, chunk(body.substring(half.length())) + "0\r\n\r\n");
              }
            }
          };
    }
    fixture.start(hosts);
    String log =
        "POST /log/1 HTTP/1.1\r\nHost: a\r\nX-Request-ID: a\r\nX-Priority-Class: log\r\n"
            + "Idempotency-Key: k\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    assertThat(responseBody(fixture, log)).isEqualTo(body);
    assertThat(both.getCount()).isZero();
  }

  @Test
  void abortedLargeResponseIsVisiblyTruncated() throws Exception {
    CountDownLatch go = new CountDownLatch(1);
    fixture.start(
        twoPartHost(
            "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + pattern(LARGE_BYTES / 2),
            "",
            go,
            true));
    try (Socket s = fixture.connectClient()) {
      write(s, atMostOnceRequest("a"));
      InputStream in = s.getInputStream();
      in.readNBytes(LARGE_BYTES / 4);
      go.countDown();
      String rest;
      try {
        rest = new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
      } catch (IOException e) {
        rest = ""; // a reset
      }
      assertThat(rest).doesNotEndWith("0\r\n\r\n");
    }
  }

  @Test
  void requestBodyIsDrainedAfterAnEarlyResponse() throws Exception {
    fixture.start(); // no host: refused as soon as the module is asked
    try (Socket s = fixture.connectClient()) {
      for (int i = 0; i < 3; i++) {
        write(s, atMostOnceRequest("a" + i, "Content-Length: " + LARGE_BYTES));
        String body = pattern(LARGE_BYTES);
        write(s, body.substring(0, LARGE_BYTES / 2));
        Thread.sleep(50);
        write(s, body.substring(LARGE_BYTES / 2));
        assertThat(ProxyFixture.readMessage(s.getInputStream()))
            .startsWith("HTTP/1.1 503")
            .doesNotContain("close");
      }
    }
  }

  @Test
  void bodyOverTheLimitIsRejected() throws Exception {
    fixture.start(fixture.new UpstreamHost(h -> ok("served")));
    assertThat(fixture.sendRequest(atMostOnceRequest("a", "Content-Length: 60000000")))
        .startsWith("HTTP/1.1 413");
  }

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  private static String responseBody(ProxyFixture fixture, String request) throws IOException {
    try (Socket s = fixture.connectClient()) {
      write(s, request);
      String all = new String(s.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
      return all.contains("chunked") ? decode(all) : all.substring(all.indexOf("\r\n\r\n") + 4);
    }
  }

  /** The body of a chunked message, which must have its end. */
  private static String decode(String message) {
    StringBuilder out = new StringBuilder();
    int offset = message.indexOf("\r\n\r\n") + 4;
    while (true) {
      int lineEnd = message.indexOf("\r\n", offset);
      int length = Integer.parseInt(message.substring(offset, lineEnd), 16);
      if (length == 0) {
        return out.toString();
      }
      out.append(message, lineEnd + 2, lineEnd + 2 + length);
      offset = lineEnd + 4 + length;
    }
  }
}
