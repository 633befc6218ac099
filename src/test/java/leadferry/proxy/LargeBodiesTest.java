package leadferry.proxy;

import static leadferry.proxy.ProxyFixture.claim;
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
  private static final int LONG = 3 << 20;

  /** A request after which its connection ends. */
  private static final String LAST = claim("a", "Content-Length: 0", "Connection: close");

  @TempDir Path folder;
  private ProxyFixture world;

  @BeforeEach
  void open() {
    world = new ProxyFixture(folder, 128);
  }

  @AfterEach
  void close() throws Exception {
    world.close();
  }

  private static String pattern(int size) {
    StringBuilder s = new StringBuilder(size + 10);
    for (int i = 0; s.length() < size; i++) {
      s.append(i).append(' ');
    }
    return s.substring(0, size);
  }

  /** A host that writes its answer in two parts, the second once it is let. */
  private ProxyFixture.Host halting(String first, String second, CountDownLatch go, boolean reset)
      throws IOException {
    return world.new Host(h -> null) {
      @Override
      void serve(Socket s) throws IOException {
        while (ProxyFixture.read(s.getInputStream()) != null) {
          write(s, first);
          try {
            go.await(ProxyFixture.PATIENCE_MS, TimeUnit.MILLISECONDS);
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
  void aLongBodyPassesAndItsTimeCountsFromItsLastByte() throws Exception {
    world.deadline = 500;
    String body = pattern(LONG);
    ProxyFixture.Host host =
        world.new Host(h -> ok(h.endsWith("\r\n\r\n" + body) ? "whole" : "other"));
    world.start(host);
    try (Socket s = world.client()) {
      write(s, claim("a", "Content-Length: " + LONG));
      write(s, body.substring(0, LONG / 2));
      Thread.sleep(700); // longer than its time with the host
      write(s, body.substring(LONG / 2));
      assertThat(ProxyFixture.read(s.getInputStream())).endsWith("whole");
      write(s, claim("b"));
      assertThat(ProxyFixture.read(s.getInputStream())).startsWith("HTTP/1.1 200");
    }
    assertThat(host.heads.get(0))
        .contains("X-Timeout-Ms: 500"); // a host counts from the last byte too
  }

  @Test
  void aHostThatIsSilentOnALongBodyCostsNoMoreThanItsTime() throws Exception {
    world.deadline = 300;
    world.start(world.new Host(h -> null));
    assertThat(world.ask(claim("a", "Content-Length: " + LONG) + pattern(LONG)))
        .startsWith("HTTP/1.1 504");
  }

  @ParameterizedTest
  @ValueSource(ints = {100, 70_000, LONG})
  void anAnswerThatEndsWithItsConnectionPasses(int size) throws Exception {
    CountDownLatch go = new CountDownLatch(0);
    String body = pattern(size);
    world.start(
        halting(
            "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body.substring(0, size / 2),
            body.substring(size / 2),
            go,
            false));
    assertThat(unchunked(world, LAST)).isEqualTo(body);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aLongAnswerMayGoOnPastItsRequestsTime(boolean sized) throws Exception {
    world.deadline = 400;
    CountDownLatch go = new CountDownLatch(1);
    String body = pattern(LONG);
    String framing =
        sized ? "Content-Length: " + LONG + "\r\n\r\n" : "Transfer-Encoding: chunked\r\n\r\n";
    String half = body.substring(0, LONG / 2);
    String rest = body.substring(LONG / 2);
    world.start(
        halting(
            "HTTP/1.1 200 OK\r\n" + framing + (sized ? half : chunk(half)),
            sized ? rest : chunk(rest) + "0\r\n\r\n",
            go,
            false));
    try (Socket s = world.client()) {
      write(s, LAST);
      InputStream in = s.getInputStream();
      byte[] early = in.readNBytes(LONG / 4);
      Thread.sleep(600);
      go.countDown();
      String all =
          new String(early, StandardCharsets.ISO_8859_1)
              + new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
      assertThat(sized ? all.substring(all.indexOf("\r\n\r\n") + 4) : decode(all)).isEqualTo(body);
    }
  }

  @Test
  void aLongAnswerIsNotCutByTheEndOfItsSecondCopy() throws Exception {
    CountDownLatch both = new CountDownLatch(2);
    String body = pattern(LONG);
    String half = body.substring(0, 10_000);
    ProxyFixture.Host[] hosts = new ProxyFixture.Host[2];
    for (int i = 0; i < 2; i++) {
      hosts[i] =
          world.new Host(h -> null) {
            @Override
            void serve(Socket s) throws IOException {
              while (ProxyFixture.read(s.getInputStream()) != null) {
                both.countDown(); // the first is silent until a second copy is out
                try {
                  both.await(ProxyFixture.PATIENCE_MS, TimeUnit.MILLISECONDS);
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
    world.start(hosts);
    String log =
        "POST /log/1 HTTP/1.1\r\nHost: a\r\nX-Request-ID: a\r\nX-Priority-Class: log\r\n"
            + "Idempotency-Key: k\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    assertThat(unchunked(world, log)).isEqualTo(body);
    assertThat(both.getCount()).isZero();
  }

  @Test
  void aLongAnswerThatBreaksOffIsSeenToBeCut() throws Exception {
    CountDownLatch go = new CountDownLatch(1);
    world.start(
        halting("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + pattern(LONG / 2), "", go, true));
    try (Socket s = world.client()) {
      write(s, claim("a"));
      InputStream in = s.getInputStream();
      in.readNBytes(LONG / 4);
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
  void aBodyThatIsAnsweredEarlyIsReadToItsEndAndItsConnectionStays() throws Exception {
    world.start(); // no host: refused as soon as the module is asked
    try (Socket s = world.client()) {
      for (int i = 0; i < 3; i++) {
        write(s, claim("a" + i, "Content-Length: " + LONG));
        String body = pattern(LONG);
        write(s, body.substring(0, LONG / 2));
        Thread.sleep(50);
        write(s, body.substring(LONG / 2));
        assertThat(ProxyFixture.read(s.getInputStream()))
            .startsWith("HTTP/1.1 503")
            .doesNotContain("close");
      }
    }
  }

  @Test
  void aBodyThatIsLongerThanAnyIsTurnedAway() throws Exception {
    world.start(world.new Host(h -> ok("served")));
    assertThat(world.ask(claim("a", "Content-Length: 60000000"))).startsWith("HTTP/1.1 413");
  }

  private static String chunk(String s) {
    return Integer.toHexString(s.length()) + "\r\n" + s + "\r\n";
  }

  private static String unchunked(ProxyFixture world, String request) throws IOException {
    try (Socket s = world.client()) {
      write(s, request);
      String all = new String(s.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
      return all.contains("chunked") ? decode(all) : all.substring(all.indexOf("\r\n\r\n") + 4);
    }
  }

  /** The body of a chunked message, which must have its end. */
  private static String decode(String message) {
    StringBuilder out = new StringBuilder();
    int at = message.indexOf("\r\n\r\n") + 4;
    while (true) {
      int line = message.indexOf("\r\n", at);
      int n = Integer.parseInt(message.substring(at, line), 16);
      if (n == 0) {
        return out.toString();
      }
      out.append(message, line + 2, line + 2 + n);
      at = line + 4 + n;
    }
  }
}
