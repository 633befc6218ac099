package leadferry.proxy;

import static leadferry.proxy.ProxyFixture.claim;
import static leadferry.proxy.ProxyFixture.ok;
import static leadferry.proxy.ProxyFixture.write;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The platform's process itself, with the signals that it gets at the wrong instant; it is ended by
 * id, whatever comes.
 */
class SignalsTest {
  @TempDir Path folder;
  private ProxyFixture world;
  private Process process;
  private final CountDownLatch answers = new CountDownLatch(1);

  @BeforeEach
  void open() throws IOException {
    world = new ProxyFixture(folder, 128);
    world.deadline = ProxyFixture.PATIENCE_MS;
    world.listen = ProxyFixture.freePort();
  }

  @AfterEach
  void close() throws Exception {
    process.destroyForcibly();
    world.close();
  }

  /** A host that answers once it is let. */
  private ProxyFixture.Host host(String answer) throws IOException {
    return world
    .new Host(
        h -> {
          try {
            answers.await();
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
          return answer;
        });
  }

  private Path start(ProxyFixture.Host host) throws IOException {
    ProxyFixture.Discovery d = world.new Discovery(40, host);
    Path file = world.configure(d.address(), d.list());
    ProcessBuilder b =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx64m",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "leadferry.Main",
                "proxy")
            .redirectErrorStream(true)
            .redirectOutput(folder.resolve("log").toFile());
    b.environment().put("BALANCER_CONFIG", file.toString());
    b.environment().put("TMPDIR", folder.toString());
    process = b.start();
    return file;
  }

  /** The first connection that anybody can have, as soon as the process listens. */
  private Socket first() throws IOException, InterruptedException {
    long until = System.nanoTime() + ProxyFixture.PATIENCE_MS * 1_000_000L;
    while (true) {
      try {
        Socket s = new Socket(InetAddress.getLoopbackAddress(), world.listen);
        s.setSoTimeout(ProxyFixture.PATIENCE_MS);
        return s;
      } catch (IOException e) {
        if (System.nanoTime() > until) {
          throw e;
        }
        Thread.sleep(1);
      }
    }
  }

  private void signal(String name) throws Exception {
    assertThat(
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor())
        .isZero();
  }

  private void endsWell() throws Exception {
    assertThat(process.waitFor(ProxyFixture.PATIENCE_MS, TimeUnit.MILLISECONDS)).isTrue();
    assertThat(process.exitValue()).isZero();
  }

  /** What is taken in the first moment is answered, though the end is asked for in that moment. */
  @Test
  void anEndThatIsAskedForAsSoonAsItListensLosesNothing() throws Exception {
    ProxyFixture.Host host = host(ok("done"));
    start(host);
    try (Socket s = first()) {
      write(s, claim("first"));
      signal("TERM");
      signal("TERM"); // and once more
      ProxyFixture.await(() -> host.heads.size() == 1);
      answers.countDown();
      assertThat(ProxyFixture.read(s.getInputStream())).endsWith("done");
    }
    endsWell();
  }

  /** Nobody has been let in, so nothing is owed. */
  @Test
  void anEndThatIsAskedForBeforeItListensIsAnEnd() throws Exception {
    start(host(ok("done")));
    ProxyFixture.await(() -> process.info().startInstant().isPresent() || !process.isAlive());
    signal("TERM");
    assertThat(process.waitFor(ProxyFixture.PATIENCE_MS, TimeUnit.MILLISECONDS)).isTrue();
  }

  /**
   * The old configuration or the new one: the request in flight keeps its host, and gets its
   * answer.
   */
  @Test
  void aNewConfigurationAndTheEndInOneMomentLoseNothing() throws Exception {
    ProxyFixture.Host host = host(ok("done"));
    start(host);
    try (Socket s = first()) {
      write(s, claim("first"));
      ProxyFixture.await(() -> host.heads.size() == 1);
      ProxyFixture.Host other = world.new Host(h -> ok("other"));
      ProxyFixture.Discovery there = world.new Discovery(3, other);
      world.configure(there.address(), there.list());
      signal("HUP");
      signal("TERM");
      answers.countDown();
      assertThat(ProxyFixture.read(s.getInputStream())).endsWith("done");
    }
    endsWell();
  }

  /**
   * More than the kernel takes for a client that reads slowly: the process goes on until it is out,
   * and then ends.
   */
  @Test
  void anAnswerThatItsClientReadsSlowlyIsWholeThoughTheProcessEnds() throws Exception {
    world.deadline = 2_000; // 2.7 s from SIGTERM to SIGKILL
    int size = 16 << 20;
    ProxyFixture.Host host = host(ok("x".repeat(size)));
    start(host);
    try (Socket s = first()) {
      write(s, claim("first"));
      ProxyFixture.await(() -> host.heads.size() == 1);
      answers.countDown();
      InputStream in = s.getInputStream();
      int head = in.readNBytes(4).length;
      signal("TERM");
      Thread.sleep(1_500); // past the time in which it accepts; nothing is read meanwhile
      String rest = new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
      assertThat(rest.length() - rest.indexOf("\r\n\r\n") - 4).isEqualTo(size);
      assertThat(head).isEqualTo(4);
    }
    endsWell();
  }
}
