package leadferry.proxy;

import static leadferry.proxy.ProxyFixture.claim;
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
 * One client proxy after another at the same address, each ended as at SIGTERM, with requests in
 * flight throughout.
 */
class RestartsTest {
  private static final int RESTARTS = 20;
  private static final int REQUESTS = 10_000;
  private static final int CLIENTS = 12;

  /** For how long (ns) after SIGTERM new connections go on coming, as the platform has it. */
  private static final long NEW_NANOS = 400_000_000L;

  @TempDir Path folder;
  private ProxyFixture world;
  private final Queue<String> arrived = new ConcurrentLinkedQueue<>();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger again = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();
  private final AtomicBoolean enough = new AtomicBoolean();
  private volatile long endsFrom;
  private volatile boolean ends;

  @BeforeEach
  void open() {
    world = new ProxyFixture(folder, 256);
    world.aim = 100;
    world.deadline = 600;
  }

  @AfterEach
  void close() throws Exception {
    world.close();
  }

  /**
   * A client as the protocol has it: one request at a time, kept connections, once more on a new
   * one where a close crossed it.
   */
  private final class Client extends Thread {
    private final int number;
    private Socket kept;

    Client(int number) {
      this.number = number;
      setDaemon(true);
    }

    @Override
    public void run() {
      for (int i = 0; !enough.get(); i++) {
        String request = claim("c" + number + "-" + i);
        boolean old = kept != null;
        String answer = ask(request, false);
        if (answer == null && old) {
          again.incrementAndGet();
          answer = ask(request, true);
        }
        if (answer == null) {
          lost.incrementAndGet();
        } else {
          answered.incrementAndGet();
          served.addAndGet(answer.startsWith("HTTP/1.1 200") ? 1 : 0);
        }
        LockSupport.parkNanos(5_000_000);
      }
    }

    /** The answer, or null where the connection ended without one. */
    private String ask(String request, boolean crossed) {
      try {
        if (kept == null) {
          kept = connect(crossed);
        }
        write(kept, request);
        String answer = ProxyFixture.read(kept.getInputStream());
        if (answer == null
            || answer.toLowerCase(java.util.Locale.ROOT).contains("connection: close")) {
          kept.close();
          kept = null;
        }
        return answer;
      } catch (IOException e) {
        kept = null;
        return null;
      }
    }

    /** Whoever finds nobody listening comes again: nothing of his was taken. */
    private Socket connect(boolean crossed) throws IOException {
      long until = System.nanoTime() + ProxyFixture.PATIENCE_MS * 1_000_000L;
      while (!crossed && ends && System.nanoTime() - endsFrom > NEW_NANOS) {
        LockSupport.parkNanos(2_000_000);
      }
      while (true) {
        try {
          Socket s = new Socket(InetAddress.getLoopbackAddress(), world.listen);
          s.setSoTimeout(ProxyFixture.PATIENCE_MS);
          s.setTcpNoDelay(true);
          return s;
        } catch (java.net.ConnectException e) {
          if (System.nanoTime() > until) {
            throw e;
          }
          LockSupport.parkNanos(2_000_000);
        }
      }
    }
  }

  private ProxyFixture.Host host(int hangsOneIn) throws IOException {
    AtomicInteger seen = new AtomicInteger();
    return world
    .new Host(
        h -> {
          arrived.add(ProxyFixture.header(h, "X-Request-ID"));
          return seen.incrementAndGet() % hangsOneIn == 0 ? null : ok("done");
        });
  }

  @Test
  void tenThousandRequestsThroughTwentyRestartsAreNeitherLostNorRunTwice() throws Exception {
    world.listen = ProxyFixture.freePort();
    ProxyFixture.Host[] hosts = {
      host(1), host(20), host(50), host(1_000_000), host(1_000_000)
    }; // the first one answers nobody
    ProxyFixture.Discovery d = world.new Discovery(40, hosts);
    for (int i = 0; i < CLIENTS; i++) {
      new Client(i).start();
    }
    for (int i = 0; i <= RESTARTS; i++) {
      world.run(
          world.configure(d.address(), d.list()),
          new LineLog(new PrintStream(OutputStream.nullOutputStream()), false));
      ends = false;
      int enoughOfThis = (i + 1) * REQUESTS / (RESTARTS + 1);
      ProxyFixture.await(() -> answered.get() + lost.get() >= enoughOfThis);
      if (i == RESTARTS) {
        enough.set(true);
      }
      endsFrom = System.nanoTime();
      ends = true;
      world.drain().get();
      assertThat(world.clients()).isZero();
      world.proxy.stop();
    }
    Map<String, Integer> times = new HashMap<>();
    arrived.forEach(id -> times.merge(id, 1, Integer::sum));
    long twice = times.values().stream().filter(n -> n > 1).count();
    System.out.println(
        "restarts: "
            + RESTARTS
            + ", answered: "
            + answered
            + ", served: "
            + served
            + ", sent again by clients: "
            + again
            + ", lost: "
            + lost
            + ", twice: "
            + twice);
    assertThat(twice).isZero();
    assertThat(lost).hasValue(0);
    assertThat(served.get()).isGreaterThan(REQUESTS / 2);
  }
}
