package leadferry.proxy;

import static leadferry.proxy.ProxyFixture.atMostOnceRequest;
import static leadferry.proxy.ProxyFixture.ok;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A start that finds something missing for a moment. */
class StartTest {
  private static final long HOLD_MILLIS = 300;

  @TempDir Path folder;
  private ProxyFixture fixture;

  @BeforeEach
  void open() {
    fixture = new ProxyFixture(folder, 128);
  }

  @AfterEach
  void close() throws Exception {
    fixture.close();
  }

  @Test
  void listenAddressIsBoundOnceItIsFree() throws Exception {
    ServerSocket holder = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    fixture.listenPort = holder.getLocalPort();
    CompletableFuture<Void> released =
        CompletableFuture.runAsync(
            () -> close(holder),
            CompletableFuture.delayedExecutor(HOLD_MILLIS, TimeUnit.MILLISECONDS));
    fixture.start(fixture.new UpstreamHost(head -> ok("served")));
    released.join();
    assertThat(fixture.sendRequest(atMostOnceRequest("first"))).endsWith("served");
  }

  private static void close(ServerSocket holder) {
    try {
      holder.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
