package leadferry.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assumptions;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against requests that a daemon loses when accept(2) fails. One in ten accepts fails with
 * an error that Linux documents, with the epoll transport and with NIO; every request must get its
 * response in time.
 */
class DaemonAcceptTest {
  private static final long LENGTH_MS = 4_000;

  /**
   * The slack of the protocol page plus the delay of the threads of this process on a busy machine.
   */
  private static final long SLACK_MS = 250;

  private static final int CLIENTS = 12;
  private static final int DEADLINE_MS = 1_000;
  private static final int ONE_IN = 10;
  private static final int MIN_REQUESTS = 300;

  @TempDir Path folder;
  private final SoakHistory history = new SoakHistory();
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private ProxyProcess daemon;
  private volatile boolean running = true;

  @AfterEach
  void close() {
    running = false;
    daemon.kill();
    threads.shutdownNow();
  }

  private static String operatorFile(
      int port, String transport, List<RecordingUpstream> upstreams) {
    StringBuilder text =
        new StringBuilder("[daemon]\nworkers = 2\ntransport = \"" + transport + "\"\n");
    text.append("[listener.main]\naddress = \"127.0.0.1:").append(port).append("\"\n");
    text.append("[class.claim]\naim_ms = 400\ndeadline_ms = ")
        .append(DEADLINE_MS)
        .append("\nrepeat = \"unsafe\"\n");
    text.append("[class.log]\naim_ms = 400\ndeadline_ms = ").append(DEADLINE_MS);
    text.append("\nrepeat = \"keyed\"\nscope = \"pod\"\nwindow_ms = 500\n[pool.all]\n");
    for (RecordingUpstream each : upstreams) {
      text.append("[[pool.all.member]]\nid = \"")
          .append(each.name())
          .append("\"\naddress = \"")
          .append(each.address());
      text.append("\"\npod = \"p\"\n");
    }
    for (String route : List.of("claim", "log")) {
      text.append("[[route]]\nname = \"").append(route).append("\"\nprefix = \"/").append(route);
      text.append("\"\nclass = \"").append(route).append("\"\npool = \"all\"\n");
    }
    return text.toString();
  }

  private final SoakClient.Target target =
      new SoakClient.Target() {
        @Override
        public boolean canConnect() {
          return true;
        }

        @Override
        public boolean isRunning() {
          return running;
        }

        @Override
        public int port() {
          return daemon.port();
        }
      };

  @ParameterizedTest
  @ValueSource(strings = {"epoll", "nio"})
  void acceptFailuresLoseNoRequest(String transport) throws Exception {
    Optional<Path> library = PreloadLibrary.build(folder);
    Assumptions.assumeTrue(library.isPresent(), "requires a C compiler");
    List<RecordingUpstream> upstreams = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      upstreams.add(new RecordingUpstream("s" + i, 0, 10, history, threads, i));
    }
    start(transport, upstreams, library.get());
    SoakClient.Profile habits = new SoakClient.Profile(50, 1, 0, DEADLINE_MS, DEADLINE_MS, false);
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      Thread client = new Thread(new SoakClient("c" + i, 0, habits, target, history, i));
      client.start();
      clients.add(client);
    }
    Thread.sleep(LENGTH_MS);
    running = false;
    for (Thread client : clients) {
      client.join();
    }
    upstreams.forEach(RecordingUpstream::close);
    List<SoakJudge.Violation> violations = new SoakJudge(history, 0, SLACK_MS).violations();
    System.out.println(
        "daemon, "
            + transport
            + ": requests "
            + history.requests().size()
            + ", faults injected "
            + daemon.injectedFaults()
            + ", violations "
            + violations.size());
    assertThat(violations).isEmpty();
    assertThat(daemon.injectedFaults()).isGreaterThan(MIN_REQUESTS / (2L * ONE_IN));
    assertThat(history.requests()).hasSizeGreaterThan(MIN_REQUESTS);
  }

  private void start(String transport, List<RecordingUpstream> upstreams, Path library)
      throws IOException, InterruptedException {
    int port = SoakRun.freePort();
    Path file =
        Files.writeString(folder.resolve("daemon.toml"), operatorFile(port, transport, upstreams));
    daemon = ProxyProcess.daemon(file, folder, port);
    List<SystemCallFault> faults = new ArrayList<>();
    for (String fault : SoakPlan.ACCEPT_FAULTS) {
      faults.add(
          SystemCallFault.always(
              "accept", "listener", fault, ONE_IN * SoakPlan.ACCEPT_FAULTS.size()));
    }
    daemon.start(new ProxyProcess.Faults(library, faults, 7, null, 0));
  }
}
