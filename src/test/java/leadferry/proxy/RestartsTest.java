package leadferry.proxy;

import static leadferry.proxy.ProxyFixture.atMostOnceRequest;
import static leadferry.proxy.ProxyFixture.ok;
import static leadferry.proxy.ProxyFixture.write;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import leadferry.engine.LineLog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Restarts the client proxy repeatedly at the same address, each time with a drain as at SIGTERM
 * and with requests in flight. Guards against requests that a restart loses or runs twice.
 */
class RestartsTest {
  private static final int RESTARTS = 20;
  private static final int REQUESTS = 10_000;
  private static final int CLIENTS = 12;

  /** Time for which new connections go on arriving after SIGTERM, as on the platform. */
  private static final long NEW_CONNECTION_NANOS = 400_000_000L;

  @TempDir Path folder;
  private ProxyFixture fixture;
  private final Queue<String> receivedIds = new ConcurrentLinkedQueue<>();
  private final AtomicInteger responses = new AtomicInteger();
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger resent = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();
  private final AtomicBoolean stopped = new AtomicBoolean();
  private volatile long drainStartNanos;
  private volatile boolean draining;

  @BeforeEach
  void open() {
    fixture = new ProxyFixture(folder, 256);
    fixture.aimMillis = 100;
    fixture.deadlineMillis = 600;
  }

  @AfterEach
  void close() throws Exception {
    fixture.close();
  }

  /**
   * Client that follows the protocol: one request at a time on a kept connection, and one more
   * attempt on a new connection if a close crossed the request.
   */
  private final class Client extends Thread {
    private final int number;
    private Socket connection;

    Client(int number) {
      this.number = number;
      setDaemon(true);
    }

    @Override
    public void run() {
      for (int i = 0; !stopped.get(); i++) {
        String request = atMostOnceRequest("c" + number + "-" + i);
        boolean reused = connection != null;
        String response = sendRequest(request, false);
        if (response == null && reused) {
          resent.incrementAndGet();
          response = sendRequest(request, true);
        }
        if (response == null) {
          lost.incrementAndGet();
        } else {
          responses.incrementAndGet();
          served.addAndGet(response.startsWith("HTTP/1.1 200") ? 1 : 0);
        }
        LockSupport.parkNanos(5_000_000);
      }
    }

    /** Returns the response, or null if the connection ended without one. */
    private String sendRequest(String request, boolean resent) {
      try {
        if (connection == null) {
          connection = connect(resent);
        }
        write(connection, request);
        String response = ProxyFixture.readMessage(connection.getInputStream());
        if (response == null
            || response.toLowerCase(java.util.Locale.ROOT).contains("connection: close")) {
          connection.close();
          connection = null;
        }
        return response;
      } catch (IOException e) {
        connection = null;
        return null;
      }
    }

    /** Connects, and retries while nothing listens: no request was accepted then. */
    private Socket connect(boolean resent) throws IOException {
      long until = System.nanoTime() + ProxyFixture.TIMEOUT_MILLIS * 1_000_000L;
      while (!resent && draining && System.nanoTime() - drainStartNanos > NEW_CONNECTION_NANOS) {
        LockSupport.parkNanos(2_000_000);
      }
      while (true) {
        try {
          Socket socket = new Socket(InetAddress.getLoopbackAddress(), fixture.listenPort);
          socket.setSoTimeout(ProxyFixture.TIMEOUT_MILLIS);
          socket.setTcpNoDelay(true);
          return socket;
        } catch (java.net.ConnectException e) {
          if (System.nanoTime() > until) {
            throw e;
          }
          LockSupport.parkNanos(2_000_000);
        }
      }
    }
  }

  private ProxyFixture.UpstreamHost host(int unansweredInterval) throws IOException {
    AtomicInteger seen = new AtomicInteger();
    return fixture
    .new UpstreamHost(
        h -> {
          receivedIds.add(ProxyFixture.headerValue(h, "X-Request-ID"));
          return seen.incrementAndGet() % unansweredInterval == 0 ? null : ok("done");
        });
  }

  @Test
  void restartsNeitherLoseNorRepeatRequests() throws Exception {
    fixture.listenPort = ProxyFixture.freePort();
    ProxyFixture.UpstreamHost[] hosts = {
      host(1), host(20), host(50), host(1_000_000), host(1_000_000)
    }; // the first host never responds
    ProxyFixture.DiscoveryServer discovery = fixture.new DiscoveryServer(40, hosts);
    for (int i = 0; i < CLIENTS; i++) {
      new Client(i).start();
    }
    for (int i = 0; i <= RESTARTS; i++) {
      fixture.startProxy(
          fixture.writeConfig(discovery.address(), discovery.endpointList()),
          new LineLog(new PrintStream(OutputStream.nullOutputStream()), false));
      draining = false;
      int target = (i + 1) * REQUESTS / (RESTARTS + 1);
      ProxyFixture.await(() -> responses.get() + lost.get() >= target);
      if (i == RESTARTS) {
        stopped.set(true);
      }
      drainStartNanos = System.nanoTime();
      draining = true;
      fixture.drain().get();
      assertThat(fixture.clientConnections()).isZero();
      fixture.proxy.stop();
    }
    Map<String, Integer> times = new HashMap<>();
    receivedIds.forEach(id -> times.merge(id, 1, Integer::sum));
    long twice = times.values().stream().filter(n -> n > 1).count();
    System.out.println(
        "restarts: "
            + RESTARTS
            + ", responses: "
            + responses
            + ", served: "
            + served
            + ", sent again by clients: "
            + resent
            + ", lost: "
            + lost
            + ", twice: "
            + twice);
    assertThat(twice).isZero();
    assertThat(lost).hasValue(0);
    assertThat(served.get()).isGreaterThan(REQUESTS / 2);
  }
}
