package leadferry.daemon;

import static leadferry.daemon.DaemonFixture.LISTENER;
import static leadferry.daemon.DaemonFixture.request;
import static leadferry.daemon.DaemonFixture.route;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import leadferry.proxy.PacedReader;
import leadferry.proxy.ProxyFixture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Checks both duties towards a client with a long response: one that reads steadily, however
 * slowly, gets all of it, and one that receives nothing is closed within 30 s, whatever else its
 * connection waits for. All clients of both transports wait at the same time.
 */
class UnreadResponseTest {
  private static final int BODY_BYTES = 10 << 20;
  private static final int STALLED_MILLIS = 30_000;

  /** Allowance (ms) for periodic checks, buffers that fill late, and a loaded machine. */
  private static final int LATE_MILLIS = 8_000;

  private static final PacedReader.Pace NOTHING =
      new PacedReader.Pace(0, STALLED_MILLIS + LATE_MILLIS);
  private static final PacedReader.Pace PAUSE = new PacedReader.Pace(0, STALLED_MILLIS - 8_000);
  private static final PacedReader.Pace STEADY =
      new PacedReader.Pace(20_000, STALLED_MILLIS + LATE_MILLIS);

  private static final String CLASSES =
      """
      [class.long]
      aim_ms = 60000
      deadline_ms = 120000
      """;

  @TempDir Path folder;

  private static void serve(RawUpstream host, InputStream input, OutputStream out)
      throws IOException {
    String head;
    while ((head = host.readHead(input)) != null) {
      boolean isChunked = head.contains("/chunked");
      String framing = isChunked ? "Transfer-Encoding: chunked" : "Content-Length: " + BODY_BYTES;
      RawUpstream.write(out, "HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n");
      if (isChunked) {
        RawUpstream.write(out, Integer.toHexString(BODY_BYTES) + "\r\n");
      }
      out.write(new byte[BODY_BYTES]);
      if (isChunked) {
        RawUpstream.write(out, "\r\n0\r\n\r\n");
      }
    }
  }

  private DaemonFixture start(String transport) throws Exception {
    DaemonFixture fixture = new DaemonFixture(folder.resolve(transport));
    Files.createDirectory(folder.resolve(transport));
    RawUpstream upstream =
        fixture.startRawUpstream((host, in, out, socket) -> serve(host, in, out));
    fixture.start(
        "[daemon]\nworkers = 1\nbody_memory_mb = 256\ntransport = \"" + transport + "\"",
        LISTENER,
        CLASSES,
        RawUpstream.pool("a", "max_answer_bytes = " + BODY_BYTES, upstream),
        route("streamed", "/streamed", "class = \"long\"\npool = \"a\"\nstream = true"),
        route("held", "/", "class = \"long\"\npool = \"a\""));
    return fixture;
  }

  /**
   * Sends a request, and {@code behind} once the response has begun; returns the bytes received.
   */
  private static long receive(
      DaemonFixture fixture, String request, String behind, PacedReader.Pace pace)
      throws Exception {
    try (Socket socket = PacedReader.connect(fixture.address())) {
      ProxyFixture.write(socket, request);
      ProxyFixture.runInBackground(
          () -> {
            Thread.sleep(1_000);
            socket.getOutputStream().write(behind.getBytes(StandardCharsets.ISO_8859_1));
          });
      return PacedReader.readBody(socket, pace);
    }
  }

  private record Client(String request, String behind, PacedReader.Pace pace) {}

  private static Map<String, Client> clients() {
    String held = request("POST", "/held", "held");
    String last = request("POST", "/held", "last", "Connection: close");
    String streamed = request("POST", "/streamed/sized", "sized");
    String chunked = request("POST", "/streamed/chunked", "chunked");
    Map<String, Client> clients = new LinkedHashMap<>();
    clients.put("nothing of a held response", new Client(held, "", NOTHING));
    clients.put("nothing of a last response", new Client(last, "", NOTHING));
    clients.put("nothing before a bad request", new Client(held, "bad\r\n\r\n", NOTHING));
    clients.put("nothing before another request", new Client(held, held, NOTHING));
    clients.put("nothing of a streamed response", new Client(streamed, "", NOTHING));
    clients.put("nothing of a chunked response", new Client(chunked, "", NOTHING));
    clients.put("steadily a held response", new Client(held, "", STEADY));
    clients.put("steadily a last response", new Client(last, "", STEADY));
    clients.put("steadily before a bad request", new Client(held, "bad\r\n\r\n", STEADY));
    clients.put("steadily a streamed response", new Client(streamed, "", STEADY));
    clients.put("steadily a chunked response", new Client(chunked, "", STEADY));
    clients.put("after a pause a held response", new Client(held, "", PAUSE));
    clients.put("after a pause a last response", new Client(last, "", PAUSE));
    clients.put("after a pause a chunked response", new Client(chunked, "", PAUSE));
    return clients;
  }

  /** Guards against a close by a time that does not count what the client has received. */
  @Test
  void onlyClientsThatReceiveNothingAreClosed() throws Exception {
    ExecutorService threads = Executors.newCachedThreadPool();
    try (DaemonFixture nio = start("nio");
        DaemonFixture epoll = start("epoll")) {
      Map<String, Future<Long>> results = new LinkedHashMap<>();
      clients()
          .forEach(
              (name, client) -> {
                for (DaemonFixture fixture : new DaemonFixture[] {nio, epoll}) {
                  results.put(
                      name + (fixture == nio ? " (nio)" : " (epoll)"),
                      threads.submit(
                          () ->
                              receive(fixture, client.request(), client.behind(), client.pace())));
                }
              });
      Map<String, Long> wrong = new LinkedHashMap<>();
      for (Map.Entry<String, Future<Long>> result : results.entrySet()) {
        long received = result.getValue().get();
        if (result.getKey().startsWith("nothing") == (received == BODY_BYTES)) {
          wrong.put(result.getKey(), received);
        }
      }
      assertThat(wrong).isEmpty();
    } finally {
      threads.shutdownNow();
    }
  }
}
