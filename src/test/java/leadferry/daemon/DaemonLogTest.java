package leadferry.daemon;

import static leadferry.daemon.DaemonFixture.request;
import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.LoggerContext;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import leadferry.testbed.FakeUpstream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Checks the content, the rate limits and the non-blocking writes of the daemon's log. Guards
 * against forged lines, a log that grows with the number of requests, and workers blocked by a
 * stalled reader.
 */
class DaemonLogTest {
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();

  private List<JsonNode> records() throws Exception {
    List<JsonNode> records = new ArrayList<>();
    for (String line : out.toString(StandardCharsets.UTF_8).split("\n")) {
      records.add(new ObjectMapper().readTree(line));
    }
    return records;
  }

  @Test
  void aJsonRecordHasItsFieldsByNameWithAnyValue() throws Exception {
    String oddValue = "a\"b\n\u0001\u2028" + "x".repeat(1_000);
    try (DaemonLog log = new DaemonLog(new LoggerContext(), LogFormat.JSON, out, 50)) {
      log.withField("listener", "main")
          .detail("request", "outcome", "refused", "ms", 12L, "route", oddValue, "server", null);
      log.failure("it broke", new IllegalStateException("why"));
    }
    JsonNode record = records().get(0);
    assertThat(record.path("event").asText()).isEqualTo("request");
    assertThat(record.path("listener").asText()).isEqualTo("main");
    assertThat(record.path("ms").isIntegralNumber()).isTrue();
    assertThat(record.path("route").asText()).startsWith("a\"b\n").hasSizeLessThan(400);
    assertThat(record.has("server")).isFalse();
    assertThat(java.time.Instant.parse(record.path("time").asText())).isNotNull();
    assertThat(records().get(1).path("stack").asText()).contains("IllegalStateException: why");
  }

  @Test
  void aTextRecordIsOneLineWithAnyValue() throws Exception {
    try (DaemonLog log = new DaemonLog(new LoggerContext(), LogFormat.TEXT, out, 50)) {
      log.event("ready", "server", "a\r\n2026 forged \"line\"\u0085");
    }
    String text = out.toString(StandardCharsets.UTF_8);
    assertThat(text.lines()).hasSize(1);
    assertThat(text).contains("info ready server=\"a  2026 forged 'line' \"");
  }

  @Test
  void aBurstOfRequestRecordsIsCountedAndHidesNoStateChange() throws Exception {
    try (DaemonLog log = new DaemonLog(new LoggerContext(), LogFormat.JSON, out, 50)) {
      for (int i = 0; i < 20_000; i++) {
        log.detail("request", "n", i);
      }
      log.event("host a ejected");
    }
    long logged =
        records().stream()
            .filter(record -> record.path("event").asText().equals("request"))
            .count();
    long dropped =
        records().stream()
            .filter(record -> record.path("event").asText().equals("records dropped"))
            .mapToLong(record -> record.path("count").asLong())
            .sum();
    assertThat(logged).isGreaterThanOrEqualTo(50);
    assertThat(logged + dropped).isEqualTo(20_000);
    assertThat(records())
        .anyMatch(record -> record.path("event").asText().equals("host a ejected"));
  }

  @Test
  void theBudgetOfASecondIsSharedByAllThreads() throws Exception {
    RecordBudget budget = new RecordBudget(1_000);
    int[] admitted = new int[4];
    Thread[] threads = new Thread[4];
    for (int i = 0; i < 4; i++) {
      int index = i;
      threads[i] =
          new Thread(
              () -> {
                for (int call = 0; call < 10_000; call++) {
                  admitted[index] += budget.tryAcquire(7) ? 1 : 0;
                }
              });
      threads[i].start();
    }
    for (Thread thread : threads) {
      thread.join();
    }
    assertThat(admitted[0] + admitted[1] + admitted[2] + admitted[3]).isEqualTo(1_000);
    assertThat(budget.takeDropped()).isEqualTo(39_000);
    assertThat(budget.tryAcquire(8)).isTrue();
  }

  @Test
  void aStalledReaderBlocksNoWorker() throws Exception {
    CountDownLatch readsAgain = new CountDownLatch(1);
    OutputStream stalledStream =
        new OutputStream() {
          @Override
          public void write(int b) {
            write(new byte[] {(byte) b}, 0, 1);
          }

          @Override
          public void write(byte[] b, int from, int n) {
            try {
              readsAgain.await();
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
            out.write(b, from, n);
          }
        };
    DaemonLog log = new DaemonLog(new LoggerContext(), LogFormat.JSON, stalledStream, 1_000_000);
    Thread loop =
        new Thread(
            () -> {
              for (int i = 0; i < 20_000; i++) {
                log.detail("request", "n", i);
              }
            });
    loop.start();
    loop.join(30_000);
    boolean finished = !loop.isAlive();
    readsAgain.countDown();
    loop.join();
    log.close();
    assertThat(finished).as("the worker thread finished while the reader was stalled").isTrue();
    long logged =
        records().stream()
            .filter(record -> record.path("event").asText().equals("request"))
            .count();
    assertThat(logged).isBetween(1L, 5_000L);
  }

  @Test
  void aFailedRequestIsLoggedWithRouteClassPoolServerAndAttempt(@TempDir Path folder)
      throws Exception {
    try (DaemonFixture fixture = new DaemonFixture(folder)) {
      FakeUpstream a = fixture.startUpstream("a");
      FakeUpstream broken = fixture.startUpstream("broken");
      fixture.start(
          DaemonFixture.LISTENER,
          "[class.list]\naim_ms = 200\ndeadline_ms = 400\nrepeat = \"safe\"\n",
          DaemonFixture.pool("p", "max_attempts = 1\n", a),
          DaemonFixture.pool("q", "max_attempts = 1\n", broken),
          DaemonFixture.route("one", "/one", "pool = \"p\"\nclass = \"list\""),
          DaemonFixture.route("two", "/two", "pool = \"q\"\nclass = \"list\""),
          "[[limit]]\nname = \"tight\"\nroutes = [\"one\"]\nper_second = 0.001\nburst = 1\n");
      broken.setFault(FakeUpstream.Fault.RESET_AFTER, 1);
      assertThat(fixture.status(request("GET", "/one", "1"))).isEqualTo(200);
      assertThat(fixture.status(request("GET", "/one", "2"))).isEqualTo(429);
      assertThat(fixture.status(request("GET", "/three", "3"))).isEqualTo(404);
      assertThat(fixture.status(request("GET", "/two", "4"))).isIn(502, 503, 504);
      assertThat(fixture.status(request("GET", "/_health", "5"))).isEqualTo(200);
      List<String> logged =
          fixture.log().lines().filter(l -> l.startsWith("leadferry: request")).toList();
      assertThat(logged).hasSize(3);
      assertThat(logged.get(0))
          .contains(
              " listener=main ",
              "outcome=limited",
              "status=429",
              "route=one",
              "class=list",
              "limit=tight");
      assertThat(logged.get(1))
          .contains("outcome=turned-away", "status=404")
          .doesNotContain("route=");
      assertThat(logged.get(2))
          .contains("route=two", "pool=q", "server=broken", "attempt=1", "ms=");
      assertThat(fixture.log().lines())
          .anyMatch(
              l -> l.startsWith("leadferry: attempt pool=q outcome=reset server=broken attempt=1"));
    }
  }
}
