package leadferry.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import leadferry.soak.ProxyProcess;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a final response that comes seconds after its time: the host of a large request
 * reads slowly, while the client has written all of it into the buffers of the kernel. Runs the
 * platform's process.
 */
class LateUploadAnswerTest {
  private static final int DEADLINE_MILLIS = 800;

  /** Time (ms) after the deadline within which the final response must come. */
  private static final int END_MILLIS = 500;

  /** Allowance (ms) for a loaded machine. */
  private static final int LOAD_MILLIS = 700;

  private static final int HOST_BUFFER_BYTES = 32 * 1024;
  private static final int MILLIS_PER_READ = 10;

  @TempDir Path folder;
  private ProxyFixture fixture;
  private ProxyProcess process;

  /**
   * Request with a large body.
   *
   * @param size bytes of the body
   * @param hostBytesPerSecond rate at which the host reads
   * @param clientBytesPerSecond rate at which the client writes; 0 for as fast as it can
   * @param chunked whether the body is chunked; otherwise its length is told
   */
  private record Upload(
      int size, int hostBytesPerSecond, int clientBytesPerSecond, boolean chunked) {
    String id() {
      return size + "." + hostBytesPerSecond + "." + clientBytesPerSecond + "." + chunked;
    }
  }

  /** What the client saw: the status line, and the time from the end of its write to it. */
  private record Seen(Upload upload, String status, long millis) {}

  @BeforeEach
  void start() throws Exception {
    fixture = new ProxyFixture(folder, 1_024);
    fixture.deadlineMillis = DEADLINE_MILLIS;
    fixture.memoryMegabytes = 192;
    fixture.listenPort = ProxyFixture.freePort();
    ProxyFixture.UpstreamHost host = slowHost();
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

  /** Returns a host that reads each body at the rate that its request's id tells. */
  private ProxyFixture.UpstreamHost slowHost() throws IOException {
    return fixture.new UpstreamHost(request -> null) {
      {
        listener.setReceiveBufferSize(HOST_BUFFER_BYTES);
      }

      @Override
      void serve(Socket socket) throws IOException, InterruptedException {
        InputStream input = socket.getInputStream();
        String head = ProxyFixture.readMessage(noBody(input));
        if (head != null) {
          String[] form = ProxyFixture.headerValue(head, "X-Request-ID").split("\\.");
          readSlowly(input, Integer.parseInt(form[0]), Integer.parseInt(form[1]));
          ProxyFixture.write(socket, ProxyFixture.ok("done", "Connection: close"));
          socket.close();
        }
      }
    };
  }

  /** Returns a stream that hides the length of the body, so that only the head is read. */
  private static InputStream noBody(InputStream input) {
    return new InputStream() {
      private final StringBuilder line = new StringBuilder();

      @Override
      public int read() throws IOException {
        int next = input.read();
        line.append((char) next);
        boolean isName = line.toString().equalsIgnoreCase("content-length");
        if (next == '\n') {
          line.setLength(0);
        }
        return isName ? '_' : next;
      }
    };
  }

  /** Reads until {@code size} bytes of the body's text have come. */
  private static void readSlowly(InputStream input, int size, int bytesPerSecond)
      throws IOException, InterruptedException {
    byte[] part = new byte[Math.max(1, bytesPerSecond / 1_000 * MILLIS_PER_READ)];
    int found = 0;
    while (found < size) {
      int count = input.read(part);
      if (count < 0) {
        throw new IOException("end of stream");
      }
      for (int i = 0; i < count; i++) {
        found += part[i] == 'x' ? 1 : 0;
      }
      Thread.sleep((long) MILLIS_PER_READ * count / part.length);
    }
  }

  private Seen send(Upload upload) throws Exception {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), fixture.listenPort)) {
      socket.setSoTimeout(ProxyFixture.TIMEOUT_MILLIS);
      ProxyFixture.write(
          socket,
          ProxyFixture.atMostOnceRequest(
              upload.id(),
              upload.chunked()
                  ? "Transfer-Encoding: chunked"
                  : "Content-Length: " + upload.size()));
      long[] writtenAtNanos = {0};
      ExecutorService writer = Executors.newSingleThreadExecutor();
      try {
        writer.submit(
            () -> {
              writeBody(socket.getOutputStream(), upload);
              writtenAtNanos[0] = System.nanoTime();
              return null;
            });
        String response = ProxyFixture.readMessage(socket.getInputStream());
        long seenAtNanos = System.nanoTime();
        long millis = writtenAtNanos[0] == 0 ? 0 : (seenAtNanos - writtenAtNanos[0]) / 1_000_000;
        return new Seen(upload, response == null ? "none" : response.split("\r\n")[0], millis);
      } finally {
        writer.shutdownNow();
      }
    }
  }

  private static void writeBody(OutputStream out, Upload upload)
      throws IOException, InterruptedException {
    byte[] part = "x".repeat(16_384).getBytes(StandardCharsets.ISO_8859_1);
    for (int written = 0; written < upload.size(); written += part.length) {
      int count = Math.min(part.length, upload.size() - written);
      if (upload.chunked()) {
        out.write((Integer.toHexString(count) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
      }
      out.write(part, 0, count);
      if (upload.chunked()) {
        out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
      }
      if (upload.clientBytesPerSecond() > 0) {
        Thread.sleep(1_000L * count / upload.clientBytesPerSecond());
      }
    }
    if (upload.chunked()) {
      out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
    }
  }

  private List<Seen> sendAll(List<Upload> uploads) throws Exception {
    ExecutorService clients = Executors.newCachedThreadPool();
    try {
      List<Future<Seen>> results = new ArrayList<>();
      for (Upload upload : uploads) {
        results.add(clients.submit(() -> send(upload)));
      }
      List<Seen> seen = new ArrayList<>();
      for (Future<Seen> result : results) {
        seen.add(result.get());
      }
      return seen;
    } finally {
      clients.shutdownNow();
    }
  }

  @Test
  void uploadToASlowHostGetsItsFinalResponseInTime() throws Exception {
    List<Upload> uploads = new ArrayList<>();
    for (boolean chunked : new boolean[] {false, true}) {
      for (int size : new int[] {65_536, 65_537, 200_000, 1 << 20, 4 << 20, 8 << 20, 12 << 20}) {
        uploads.add(new Upload(size, 300_000, 0, chunked));
        uploads.add(new Upload(size, 1_500_000, 0, chunked));
        uploads.add(new Upload(size, 2_000_000, 0, chunked));
      }
    }
    assertThat(sendAll(uploads))
        .allSatisfy(
            seen -> {
              assertThat(seen.status()).as(seen.toString()).startsWith("HTTP/1.1 ");
              assertThat(seen.millis())
                  .as(seen.toString())
                  .isLessThan(DEADLINE_MILLIS + END_MILLIS + LOAD_MILLIS);
            });
  }

  /** A client that writes slowly is not the host's delay: its upload goes on. */
  @Test
  void slowClientIsServedWhateverTheTimeOfItsUpload() throws Exception {
    List<Upload> uploads = new ArrayList<>();
    for (boolean chunked : new boolean[] {false, true}) {
      uploads.add(new Upload(200_000, 20_000_000, 64_000, chunked));
      uploads.add(new Upload(3 << 20, 20_000_000, 1_000_000, chunked));
      uploads.add(new Upload(12 << 20, 8_000_000, 0, chunked));
      uploads.add(new Upload(12 << 20, 50_000_000, 0, chunked));
    }
    assertThat(sendAll(uploads))
        .allSatisfy(seen -> assertThat(seen.status()).as(seen.toString()).contains(" 200 "));
  }
}
