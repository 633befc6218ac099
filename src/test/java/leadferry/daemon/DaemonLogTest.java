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

/** Records by field: what they tell, that they are bounded, and that nobody waits for them. */
class DaemonLogTest {
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();

  private List<JsonNode> records() throws Exception {
    List<JsonNode> all = new ArrayList<>();
    for (String line : out.toString(StandardCharsets.UTF_8).split("\n")) {
      all.add(new ObjectMapper().readTree(line));
    }
    return all;
  }

  @Test
  void aRecordOfJsonHasItsFieldsByNameWhateverTheyHold() throws Exception {
    String odd = "a\"b\n\u0001\u2028" + "x".repeat(1_000);
    try (DaemonLog log = new DaemonLog(new LoggerContext(), LogFormat.JSON, out, 50)) {
      log.withField("listener", "main")
          .detail("request", "outcome", "refused", "ms", 12L, "route", odd, "server", null);
      log.failure("it broke", new IllegalStateException("why"));
    }
    JsonNode r = records().get(0);
    assertThat(r.path("event").asText()).isEqualTo("request");
    assertThat(r.path("listener").asText()).isEqualTo("main");
    assertThat(r.path("ms").isIntegralNumber()).isTrue();
    assertThat(r.path("route").asText()).startsWith("a\"b\n").hasSizeLessThan(400);
    assertThat(r.has("server")).isFalse();
    assertThat(java.time.Instant.parse(r.path("time").asText())).isNotNull();
    assertThat(records().get(1).path("stack").asText()).contains("IllegalStateException: why");
  }

  @Test
  void aRecordOfTextIsOneLineWhateverItsFieldsHold() throws Exception {
    try (DaemonLog log = new DaemonLog(new LoggerContext(), LogFormat.TEXT, out, 50)) {
      log.event("ready", "server", "a\r\n2026 forged \"line\"\u0085");
    }
    String text = out.toString(StandardCharsets.UTF_8);
    assertThat(text.lines()).hasSize(1);
    assertThat(text).contains("info ready server=\"a  2026 forged 'line' \"");
  }

  @Test
  void aStormOfRequestsIsCountedAndHidesNoChangeOfState() throws Exception {
    try (DaemonLog log = new DaemonLog(new LoggerContext(), LogFormat.JSON, out, 50)) {
      for (int i = 0; i < 20_000; i++) {
        log.detail("request", "n", i);
      }
      log.event("host a ejected");
    }
    long told = records().stream().filter(r -> r.path("event").asText().equals("request")).count();
    long leftOut =
        records().stream()
            .filter(r -> r.path("event").asText().equals("records dropped"))
            .mapToLong(r -> r.path("count").asLong())
            .sum();
    assertThat(told).isGreaterThanOrEqualTo(50);
    assertThat(told + leftOut).isEqualTo(20_000);
    assertThat(records()).anyMatch(r -> r.path("event").asText().equals("host a ejected"));
  }

  @Test
  void aBudgetOfASecondIsKeptByAllThreadsTogether() throws Exception {
    RecordBudget budget = new RecordBudget(1_000);
    int[] admitted = new int[4];
    Thread[] threads = new Thread[4];
    for (int t = 0; t < 4; t++) {
      int at = t;
      threads[t] =
          new Thread(
              () -> {
                for (int i = 0; i < 10_000; i++) {
                  admitted[at] += budget.tryAcquire(7) ? 1 : 0;
                }
              });
      threads[t].start();
    }
    for (Thread t : threads) {
      t.join();
    }
    assertThat(admitted[0] + admitted[1] + admitted[2] + admitted[3]).isEqualTo(1_000);
    assertThat(budget.takeDropped()).isEqualTo(39_000);
    assertThat(budget.tryAcquire(8)).isTrue();
  }

  @Test
  void whoReadsNoMoreHoldsNobodyUp() throws Exception {
    CountDownLatch readsAgain = new CountDownLatch(1);
    OutputStream stuck =
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
    DaemonLog log = new DaemonLog(new LoggerContext(), LogFormat.JSON, stuck, 1_000_000);
    Thread loop =
        new Thread(
            () -> {
              for (int i = 0; i < 20_000; i++) {
                log.detail("request", "n", i);
              }
            });
    loop.start();
    loop.join(30_000);
    boolean free = !loop.isAlive();
    readsAgain.countDown();
    loop.join();
    log.close();
    assertThat(free).as("the loop was not held up").isTrue();
    long told = records().stream().filter(r -> r.path("event").asText().equals("request")).count();
    assertThat(told).isBetween(1L, 5_000L);
  }

  @Test
  void whatIsNotServedIsToldWithItsRouteClassPoolServerAndAttempt(@TempDir Path folder)
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
      broken.misbehave(FakeUpstream.Fault.RESET_AFTER, 1);
      assertThat(fixture.status(request("GET", "/one", "1"))).isEqualTo(200);
      assertThat(fixture.status(request("GET", "/one", "2"))).isEqualTo(429);
      assertThat(fixture.status(request("GET", "/three", "3"))).isEqualTo(404);
      assertThat(fixture.status(request("GET", "/two", "4"))).isIn(502, 503, 504);
      assertThat(fixture.status(request("GET", "/_health", "5"))).isEqualTo(200);
      List<String> told =
          fixture.log().lines().filter(l -> l.startsWith("leadferry: request")).toList();
      assertThat(told).hasSize(3);
      assertThat(told.get(0))
          .contains(
              " listener=main ",
              "outcome=limited",
              "status=429",
              "route=one",
              "class=list",
              "limit=tight");
      assertThat(told.get(1))
          .contains("outcome=turned-away", "status=404")
          .doesNotContain("route=");
      assertThat(told.get(2)).contains("route=two", "pool=q", "server=broken", "attempt=1", "ms=");
      assertThat(fixture.log().lines())
          .anyMatch(
              l -> l.startsWith("leadferry: attempt pool=q outcome=reset server=broken attempt=1"));
    }
  }
}
