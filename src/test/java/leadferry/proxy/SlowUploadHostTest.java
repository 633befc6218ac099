package leadferry.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks long uploads whose hosts read steadily, but much more slowly than the client writes. */
class SlowUploadHostTest {
  private static final int DEADLINE_MILLIS = 20_000;
  private static final int READS_PER_SECOND = 20;
  private static final int HOST_BUFFER_BYTES = 64 * 1024;
  private static final int PIECE_BYTES = 60_000;

  @TempDir Path folder;
  private ProxyFixture fixture;

  @BeforeEach
  void open() {
    fixture = new ProxyFixture(folder, 512);
    fixture.deadlineMillis = DEADLINE_MILLIS;
  }

  @AfterEach
  void close() throws Exception {
    fixture.close();
  }

  /** Returns a host that reads a request at a rate and responds once its size has come. */
  private ProxyFixture.UpstreamHost steadyHost(int size, int bytesPerSecond) throws IOException {
    return fixture.new UpstreamHost(request -> null) {
      {
        listener.setReceiveBufferSize(HOST_BUFFER_BYTES);
      }

      @Override
      void serve(Socket socket) throws IOException, InterruptedException {
        InputStream input = socket.getInputStream();
        byte[] part = new byte[bytesPerSecond / READS_PER_SECOND];
        long startNanos = System.nanoTime();
        for (long read = 0; read < size; ) {
          int count = input.read(part);
          if (count < 0) {
            return;
          }
          read += count;
          long dueMillis = 1_000 * read / bytesPerSecond;
          Thread.sleep(Math.max(0, dueMillis - (System.nanoTime() - startNanos) / 1_000_000));
        }
        ProxyFixture.write(socket, ProxyFixture.ok("done"));
      }
    };
  }

  /**
   * Guards against a host that counts as one that takes nothing, because the kernel reports the
   * progress of a slow reader in large steps only.
   */
  @ParameterizedTest
  @CsvSource({"9000000, 500000", "9000000, 1000000"})
  void uploadToAHostThatReadsSteadilyIsServed(int size, int bytesPerSecond) throws Exception {
    fixture.start(steadyHost(size, bytesPerSecond));
    try (Socket client = fixture.connectClient()) {
      ProxyFixture.write(
          client,
          ProxyFixture.atMostOnceRequest(
              "a", "Content-Length: " + size, "X-Timeout-Ms: " + DEADLINE_MILLIS));
      ProxyFixture.runInBackground(
          () -> {
            for (int written = 0; written < size; written += PIECE_BYTES) {
              ProxyFixture.write(client, "x".repeat(Math.min(PIECE_BYTES, size - written)));
            }
          });
      assertThat(ProxyFixture.readMessage(client.getInputStream()))
          .startsWith("HTTP/1.1 200")
          .endsWith("done");
    }
  }
}
