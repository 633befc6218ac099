package leadferry.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Checks long responses whose clients read slowly. The lengths go in steps across what the kernel's
 * buffers hold, so that the end of some responses waits in the proxy while the kernel is full.
 */
class SlowReaderTest {
  private static final int RESPONSES = 150;
  private static final int LEAST_BYTES = 2_600_000;
  private static final int STEP_BYTES = 16_000;
  private static final String[] FRAMINGS = {"length", "chunked", "close"};

  private static final int STALLED_MILLIS = 30_000;

  /** Allowance (ms) for periodic checks and a loaded machine. */
  private static final int LATE_MILLIS = 8_000;

  @TempDir Path folder;
  private ProxyFixture fixture;

  @BeforeEach
  void start() throws Exception {
    fixture = new ProxyFixture(folder, 1_024);
    fixture.start(sizedHost(), sizedHost(), sizedHost());
  }

  @AfterEach
  void stop() throws Exception {
    fixture.close();
  }

  /** Returns a host whose responses have the framing and the length that the id tells. */
  private ProxyFixture.UpstreamHost sizedHost() throws IOException {
    return fixture.new UpstreamHost(request -> null) {
      @Override
      void serve(Socket socket) throws IOException {
        String request;
        while ((request = ProxyFixture.readMessage(socket.getInputStream())) != null) {
          String[] form = ProxyFixture.headerValue(request, "X-Request-ID").split("\\.");
          respond(socket, form[0], Integer.parseInt(form[1]));
        }
      }
    };
  }

  private static void respond(Socket socket, String framing, int size) throws IOException {
    String head =
        switch (framing) {
          case "length" -> "Content-Length: " + size;
          case "chunked" -> "Transfer-Encoding: chunked";
          default -> "Connection: close";
        };
    ProxyFixture.write(socket, "HTTP/1.1 200 OK\r\n" + head + "\r\n\r\n");
    OutputStream out = socket.getOutputStream();
    byte[] block = new byte[16_384];
    for (int sent = 0; sent < size; sent += block.length) {
      int count = Math.min(block.length, size - sent);
      if (framing.equals("chunked")) {
        ProxyFixture.write(socket, Integer.toHexString(count) + "\r\n");
      }
      out.write(block, 0, count);
      if (framing.equals("chunked")) {
        ProxyFixture.write(socket, "\r\n");
      }
    }
    if (framing.equals("chunked")) {
      ProxyFixture.write(socket, "0\r\n\r\n");
    } else if (framing.equals("close")) {
      socket.close();
    }
  }

  private Socket client() throws IOException {
    return PacedReader.connect(fixture.proxy.address());
  }

  /** Reads responses of all lengths at the same time; returns those that were cut off. */
  private List<String> readAll(PacedReader.Pace pace, String... lines) throws Exception {
    ExecutorService clients = Executors.newCachedThreadPool();
    try {
      List<Future<String>> results = new ArrayList<>();
      for (int i = 0; i < RESPONSES; i++) {
        String framing = FRAMINGS[i % FRAMINGS.length];
        results.add(clients.submit(read(framing, LEAST_BYTES + i * STEP_BYTES, pace, lines)));
      }
      List<String> cutOff = new ArrayList<>();
      for (Future<String> result : results) {
        if (!result.get().isEmpty()) {
          cutOff.add(result.get());
        }
      }
      return cutOff;
    } finally {
      clients.shutdownNow();
    }
  }

  private Callable<String> read(String framing, int size, PacedReader.Pace pace, String... lines) {
    return () -> {
      try (Socket socket = client()) {
        String id = framing + "." + size;
        ProxyFixture.write(socket, ProxyFixture.atMostOnceRequest(id, headers(lines)));
        long received = PacedReader.readBody(socket, pace);
        return received == size ? "" : id + " ended after " + received;
      }
    };
  }

  private static String[] headers(String... lines) {
    List<String> all = new ArrayList<>(List.of(lines));
    all.add("Content-Length: 0");
    all.add("X-Timeout-Ms: 3000");
    return all.toArray(String[]::new);
  }

  /** Guards against a client that counts as stalled because its response was handed on long ago. */
  @Test
  void steadyReaderGetsEachResponseWhole() throws Exception {
    assertThat(readAll(new PacedReader.Pace(100_000, 8_000))).isEmpty();
  }

  /**
   * Guards against a last response that counts as written, so that its connection looks idle and is
   * closed in a drain.
   */
  @Test
  void readerThatPausesGetsEachLastResponseWholeAfterADrain() throws Exception {
    fixture.operatorState.drain();
    assertThat(readAll(new PacedReader.Pace(0, 2_500))).isEmpty();
  }

  /** Guards against the same where the client itself asks for the close, and nothing drains. */
  @Test
  void readerThatPausesGetsEachLastResponseWhole() throws Exception {
    assertThat(readAll(new PacedReader.Pace(0, 8_000), "Connection: close")).isEmpty();
  }

  /**
   * Guards against a connection that is kept for ever: its client reads nothing, and a bad request
   * behind the first one has ended its use.
   */
  @Test
  void clientsThatReceiveNothingAreClosedInTime() throws Exception {
    List<Socket> clients = new ArrayList<>();
    try {
      for (int i = 0; i < RESPONSES; i++) {
        Socket socket = client();
        clients.add(socket);
        String id = FRAMINGS[i % FRAMINGS.length] + "." + (LEAST_BYTES + i * STEP_BYTES);
        ProxyFixture.write(socket, ProxyFixture.atMostOnceRequest(id, headers()));
        assertThat(socket.getInputStream().read()).isEqualTo('H');
      }
      Thread.sleep(1_000); // the kernel's buffers fill
      for (Socket socket : clients) {
        ProxyFixture.write(socket, "bad\r\n\r\n");
      }
      long untilNanos = System.nanoTime() + (STALLED_MILLIS + LATE_MILLIS) * 1_000_000L;
      while (fixture.clientConnections() > 0 && System.nanoTime() < untilNanos) {
        Thread.sleep(100);
      }
      assertThat(fixture.clientConnections()).isZero();
    } finally {
      for (Socket socket : clients) {
        socket.close();
      }
    }
  }
}
