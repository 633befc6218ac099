package leadferry.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Checks long responses that begin before their request has arrived completely, to clients that
 * read slowly. The lengths go in steps across what the kernel's buffers hold, so that some
 * responses are still being forwarded, and the end of others waits in the proxy.
 */
class EarlyResponseTest {
  private static final int RESPONSES = 120;
  private static final int LEAST_BYTES = 3_800_000;
  private static final int STEP_BYTES = 6_000;
  private static final int REQUEST_BYTES = 1_600_000;

  /** More than the proxy holds of a body that it could forward. */
  private static final int FIRST_PART_BYTES = 1_500_000;

  /** Bytes of a request that a host has read before it responds. */
  private static final int READ_BYTES = 500_000;

  /** Interval between clients, so that their uploads don't wait for memory. */
  private static final int START_INTERVAL_MILLIS = 15;

  @TempDir Path folder;
  private final AtomicInteger refused = new AtomicInteger();
  private ProxyFixture fixture;

  @BeforeEach
  void start() throws Exception {
    fixture = new ProxyFixture(folder, 1_024);
    fixture.start(earlyHost(), earlyHost(), earlyHost());
  }

  @AfterEach
  void stop() throws Exception {
    fixture.close();
  }

  /** Returns a host that responds as soon as part of the request's body has come. */
  private ProxyFixture.UpstreamHost earlyHost() throws IOException {
    return fixture.new UpstreamHost(request -> null) {
      @Override
      void serve(Socket socket) throws IOException {
        byte[] part = new byte[READ_BYTES];
        int count = socket.getInputStream().readNBytes(part, 0, part.length);
        String id =
            ProxyFixture.headerValue(
                new String(part, 0, count, StandardCharsets.ISO_8859_1), "X-Request-ID");
        ProxyFixture.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + id + "\r\n\r\n");
        OutputStream out = socket.getOutputStream();
        out.write(new byte[Integer.parseInt(id)]);
        while (socket.getInputStream().read(part) >= 0) {
          // discard the rest of the request
        }
      }
    };
  }

  /**
   * Sends part of a request, reads its response at a pace meanwhile, and sends the rest after a
   * time.
   */
  private Callable<String> exchange(
      int size, PacedReader.Pace pace, int restAfterMillis, String... lines) {
    return () -> {
      try (Socket socket = PacedReader.connect(fixture.proxy.address())) {
        List<String> all = new ArrayList<>(List.of(lines));
        all.add("Content-Length: " + REQUEST_BYTES);
        all.add("X-Timeout-Ms: 3000");
        String head =
            ProxyFixture.atMostOnceRequest(Integer.toString(size), all.toArray(String[]::new));
        ProxyFixture.write(socket, head + "x".repeat(FIRST_PART_BYTES));
        ProxyFixture.runInBackground(
            () -> {
              Thread.sleep(restAfterMillis);
              ProxyFixture.write(socket, "x".repeat(REQUEST_BYTES - FIRST_PART_BYTES));
            });
        try {
          long received = PacedReader.readBody(socket, pace);
          return received == size ? "" : size + " ended after " + received;
        } catch (IOException e) {
          refused.incrementAndGet();
          return "";
        }
      }
    };
  }

  private List<String> exchangeAll(PacedReader.Pace pace, int restAfterMillis, String... lines)
      throws Exception {
    ExecutorService clients = Executors.newCachedThreadPool();
    try {
      List<Future<String>> results = new ArrayList<>();
      for (int i = 0; i < RESPONSES; i++) {
        int size = LEAST_BYTES + i * STEP_BYTES;
        results.add(clients.submit(exchange(size, pace, restAfterMillis, lines)));
        Thread.sleep(START_INTERVAL_MILLIS);
      }
      List<String> cutOff = new ArrayList<>();
      for (Future<String> result : results) {
        if (!result.get().isEmpty()) {
          cutOff.add(result.get());
        }
      }
      assertThat(refused.get()).as("refused requests").isLessThan(RESPONSES / 4);
      return cutOff;
    } finally {
      clients.shutdownNow();
    }
  }

  /** Guards against a client that counts as slow at sending while it reads its response. */
  @Test
  void clientThatReadsBeforeItSendsTheRestGetsItsWholeResponse() throws Exception {
    assertThat(exchangeAll(new PacedReader.Pace(100_000, 5_000), 5_000)).isEmpty();
  }

  /** Guards against a close at the end of the request that drops the unwritten response. */
  @Test
  void endOfTheRequestDoesNotCutOffTheLastResponse() throws Exception {
    assertThat(exchangeAll(new PacedReader.Pace(0, 2_000), 1_000, "Connection: close")).isEmpty();
  }
}
