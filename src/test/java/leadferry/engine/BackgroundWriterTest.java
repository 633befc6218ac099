package leadferry.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class BackgroundWriterTest {
  private static final int TEXTS = 5_000;

  private final CountDownLatch read = new CountDownLatch(1);
  private final ByteArrayOutputStream arrived = new ByteArrayOutputStream();

  /** A pipe whose reader does not read until {@link #read} is counted down. */
  private final OutputStream pipe =
      new OutputStream() {
        @Override
        public synchronized void write(int b) {
          write(new byte[] {(byte) b}, 0, 1);
        }

        @Override
        public void write(byte[] bytes, int from, int count) {
          try {
            read.await();
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
          arrived.write(bytes, from, count);
        }
      };

  @Test
  @Timeout(value = 20, unit = TimeUnit.SECONDS, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
  void stoppedReaderDoesNotBlockTheCaller() {
    BackgroundWriter writer = new BackgroundWriter(new PrintStream(pipe));
    for (int i = 0; i < TEXTS; i++) {
      writer.write("line\n");
    }
    read.countDown();
    writer.flush(10_000);
    assertThat(arrived.toString(StandardCharsets.UTF_8))
        .containsPattern(
            "leadferry: [0-9]+ log entries dropped: the reader of the log is too slow");
    assertThat(arrived.toString(StandardCharsets.UTF_8).lines().count()).isLessThan(TEXTS / 2);
  }

  @Test
  void flushWritesQueuedTextsInOrder() {
    read.countDown();
    BackgroundWriter writer = new BackgroundWriter(new PrintStream(pipe));
    writer.write("one\n");
    writer.write("two\n");
    writer.flush(10_000);
    assertThat(arrived.toString(StandardCharsets.UTF_8)).isEqualTo("one\ntwo\n");
  }
}
