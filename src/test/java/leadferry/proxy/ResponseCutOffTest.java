package leadferry.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import leadferry.soak.ProxyProcess;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a long response that is cut off while its host still writes it, and against one
 * that never ends and is not ended. The platform's process serves them all at the same time.
 */
class ResponseCutOffTest {
  /** Time (ms) after the deadline within which the end of a response must be seen. */
  private static final int END_MILLIS = 500;

  /** Allowance (ms) for a loaded machine, less than the pause that a host may make. */
  private static final int LOAD_MILLIS = 1_000;

  private static final boolean CHUNKED = true;
  private static final boolean CLOSE = false;

  @TempDir Path folder;
  private ProxyFixture fixture;
  private ProxyProcess process;

  @BeforeEach
  void start() throws Exception {
    fixture = new ProxyFixture(folder, 1_024);
    fixture.listenPort = ProxyFixture.freePort();
    LumpHost host = new LumpHost(fixture);
    ProxyFixture.DiscoveryServer discovery = fixture.new DiscoveryServer(40, host);
    Path file = fixture.writeConfig(discovery.address(), discovery.endpointList());
    process = ProxyProcess.platform(file, folder, fixture.listenPort, discovery.port());
    process.start();
  }

  @AfterEach
  void stop() throws Exception {
    process.kill();
    fixture.close();
  }

  /**
   * What the client of a response saw.
   *
   * @param text the response, decoded, up to its end
   * @param isWhole whether the response ended as its framing says
   * @param millis time from the last byte of the request to the end
   */
  private record Seen(String text, boolean isWhole, long millis) {}

  private Seen request(LumpHost.Form form, int timeoutMillis) throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), fixture.listenPort)) {
      socket.setSoTimeout(ProxyFixture.TIMEOUT_MILLIS);
      ProxyFixture.write(
          socket,
          ProxyFixture.atMostOnceRequest(
              form.id(),
              "Content-Length: 0",
              "Connection: close",
              "X-Timeout-Ms: " + timeoutMillis));
      long startNanos = System.nanoTime();
      StringBuilder raw = new StringBuilder();
      try {
        byte[] part = new byte[65_536];
        int count;
        while ((count = socket.getInputStream().read(part)) >= 0) {
          raw.append(new String(part, 0, count, StandardCharsets.ISO_8859_1));
        }
      } catch (java.net.SocketTimeoutException e) {
        throw e;
      } catch (IOException e) {
        // reset: the response is not whole
      }
      long millis = (System.nanoTime() - startNanos) / 1_000_000;
      String[] headAndBody = raw.toString().split("\r\n\r\n", 2);
      String body = headAndBody.length < 2 ? "" : headAndBody[1];
      boolean isWhole = body.endsWith("0\r\n\r\n");
      return new Seen(headAndBody[0] + "\n" + decodeChunks(body), isWhole, millis);
    }
  }

  private static String decodeChunks(String body) {
    StringBuilder text = new StringBuilder();
    int start = 0;
    while (start < body.length()) {
      int lineEnd = body.indexOf("\r\n", start);
      int length = lineEnd < 0 ? 0 : Integer.parseInt(body.substring(start, lineEnd), 16);
      if (length == 0 || lineEnd + 2 + length > body.length()) {
        break;
      }
      text.append(body, lineEnd + 2, lineEnd + 2 + length);
      start = lineEnd + length + 4;
    }
    return text.toString();
  }

  /** Sends all requests at the same time and returns the results by form and time-out. */
  private Map<String, Seen> requestAll(Map<LumpHost.Form, Integer> forms) throws Exception {
    ExecutorService clients = Executors.newCachedThreadPool();
    try {
      Map<String, Future<Seen>> results = new LinkedHashMap<>();
      forms.forEach(
          (form, timeoutMillis) ->
              results.put(
                  form.id() + " in " + timeoutMillis,
                  clients.submit(() -> request(form, timeoutMillis))));
      Map<String, Seen> seen = new LinkedHashMap<>();
      for (Map.Entry<String, Future<Seen>> result : results.entrySet()) {
        seen.put(result.getKey(), result.getValue().get());
      }
      return seen;
    } finally {
      clients.shutdownNow();
    }
  }

  private void assertAllWhole(Map<LumpHost.Form, Integer> forms) throws Exception {
    Map<String, Seen> seen = requestAll(forms);
    List<String> cutOff = new ArrayList<>();
    for (LumpHost.Form form : forms.keySet()) {
      String name = form.id() + " in " + forms.get(form);
      Seen response = seen.get(name);
      if (!response.isWhole()
          || !response.text().startsWith("HTTP/1.1 200")
          || !response.text().endsWith("\n" + LumpHost.body(form))) {
        cutOff.add(
            name
                + ": "
                + response.text().lines().findFirst().orElse("nothing")
                + ", "
                + response.text().length()
                + " characters after "
                + response.millis()
                + " ms");
      }
    }
    assertThat(cutOff).isEmpty();
  }

  /** The responses of the incident of 2026-12-05, with their sizes, framings and time-outs. */
  @Test
  void longResponseInLumpsIsForwardedWholePastItsDeadline() throws Exception {
    Map<LumpHost.Form, Integer> forms = new LinkedHashMap<>();
    forms.put(new LumpHost.Form(CLOSE, 158_196, 52_732, 745, 2), 467);
    forms.put(new LumpHost.Form(CHUNKED, 152_123, 50_707, 720, 2), 612);
    forms.put(new LumpHost.Form(CHUNKED, 139_404, 46_468, 780, 2), 563);
    forms.put(new LumpHost.Form(CLOSE, 169_195, 56_398, 790, 2), 419);
    forms.put(new LumpHost.Form(CHUNKED, 134_632, 44_877, 840, 2), 800);
    forms.put(new LumpHost.Form(CHUNKED, 168_547, 56_182, 830, 2), 799);
    forms.put(new LumpHost.Form(CLOSE, 189_175, 63_058, 700, 2), 705);
    forms.put(new LumpHost.Form(CLOSE, 180_894, 60_298, 813, 2), 854);
    forms.put(new LumpHost.Form(CLOSE, 158_462, 52_820, 800, 2), 766);
    forms.put(new LumpHost.Form(CLOSE, 215_727, 53_931, 570, 3), 618);
    assertAllWhole(forms);
  }

  /** Sizes on both sides of what is held in memory, also where the first lump comes late. */
  @Test
  void longResponseIsForwardedWholeWhateverItsFirstLump() throws Exception {
    Map<LumpHost.Form, Integer> forms = new LinkedHashMap<>();
    for (boolean chunked : new boolean[] {CHUNKED, CLOSE}) {
      for (int firstBytes : new int[] {12_000, 40_000, 65_535, 65_536, 65_537, 100_000}) {
        forms.put(new LumpHost.Form(chunked, 150_000, firstBytes, 300, 4), 500);
        forms.put(new LumpHost.Form(chunked, 150_001, firstBytes, 850, 2), 500);
        forms.put(new LumpHost.Form(chunked, 150_002, firstBytes, 1_200, 2), 900);
      }
      forms.put(
          new LumpHost.Form(chunked, 150_000, 0, 850, 2), 500); // the head alone comes in time
      forms.put(new LumpHost.Form(chunked, 150_000, 1, 850, 2), 500);
      forms.put(new LumpHost.Form(chunked, 65_537, 1, 850, 1), 500);
    }
    assertAllWhole(forms);
  }

  @Test
  void responseThatNeverEndsIsEndedInTime() throws Exception {
    int timeoutMillis = 500;
    Map<LumpHost.Form, Integer> forms = new LinkedHashMap<>();
    for (boolean chunked : new boolean[] {CHUNKED, CLOSE}) {
      for (int firstBytes : new int[] {0, 1, 300, 4_000}) {
        forms.put(new LumpHost.Form(chunked, firstBytes, firstBytes, 0, 0), timeoutMillis);
      }
      // 20 bytes every 0.1 s for 15 s
      forms.put(new LumpHost.Form(chunked, 3_000, 20, 100, 150), timeoutMillis);
    }
    requestAll(forms)
        .forEach(
            (name, seen) -> {
              assertThat(seen.isWhole() && seen.text().startsWith("HTTP/1.1 200"))
                  .as(name)
                  .isFalse();
              assertThat(seen.millis())
                  .as(name)
                  .isLessThan(timeoutMillis + END_MILLIS + LOAD_MILLIS);
            });
  }
}
