package leadferry.testbed;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Starts and ends the test's processes and upstreams for release commands, which reach it over TCP
 * with one line in each direction. Keeps the highest fence seen for each target, rejects lower
 * ones, and records every invocation.
 */
public final class ProcessSupervisor implements AutoCloseable {
  /** Replaces targets and reports their versions. */
  public interface Targets {
    /**
     * Replaces a target by {@code version}. Returns after the old one has ended and the new one has
     * been started.
     */
    void replace(String target, String version) throws IOException, InterruptedException;

    /** Returns the installed version, or "". */
    String version(String target);
  }

  /**
   * One invocation of the script. {@code rejected} means that its fence was lower than one seen
   * before.
   */
  public record Invocation(
      String verb,
      String target,
      long fence,
      long actionId,
      String version,
      boolean rejected,
      long atNanos) {}

  /** Lets a test act before an invocation is executed and after it. */
  public interface Hook {
    void onInvocation(boolean before, Invocation invocation) throws InterruptedException;
  }

  private final ServerSocket listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
  private final Targets targets;
  private final Map<String, Long> fences = new ConcurrentHashMap<>();
  private final Map<String, Object> locks = new ConcurrentHashMap<>();
  private final List<Invocation> invocations = new ArrayList<>();
  private volatile Hook hook = (before, invocation) -> {};

  /** Starts a supervisor that listens on any loopback port. */
  public ProcessSupervisor(Targets targets) throws IOException {
    this.targets = targets;
    Thread thread = new Thread(this::accept, "supervisor");
    thread.setDaemon(true);
    thread.start();
  }

  /** Writes the script that release plans name: {@code carry.sh command|check}. */
  public Path writeScript(Path folder) throws IOException {
    Path file =
        Files.writeString(
            folder.resolve("carry.sh"),
            """
            exec 3<>/dev/tcp/127.0.0.1/%d || exit 9
            echo "$1 $LEADFERRY_TARGET $LEADFERRY_FENCE $LEADFERRY_ACTION ${LEADFERRY_VERSION:--}" >&3
            read -r -u 3 -t 60 answer || exit 8
            echo "$answer"
            case $answer in *fence*) exit 7;; *failed*) exit 6;; esac
            """
                .formatted(listener.getLocalPort()));
    return file;
  }

  /** Replaces the hook, which is called on the thread of the invocation. */
  public void setHook(Hook newHook) {
    hook = newHook;
  }

  /** Returns all invocations in the order of their arrival at their targets. */
  public List<Invocation> invocations() {
    synchronized (invocations) {
      return List.copyOf(invocations);
    }
  }

  /** Returns the commands that were executed at {@code target}. */
  public List<Invocation> executedCommands(String target) {
    return invocations().stream()
        .filter(
            invocation ->
                invocation.verb().equals("command")
                    && !invocation.rejected()
                    && invocation.target().equals(target))
        .toList();
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        Thread thread = new Thread(() -> serve(socket), "supervisor-call");
        thread.setDaemon(true);
        thread.start();
      } catch (IOException e) {
        // the listener was closed, or a connection was closed immediately
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      String line =
          new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8))
              .readLine();
      if (line != null) {
        socket
            .getOutputStream()
            .write((execute(line.split(" ")) + "\n").getBytes(StandardCharsets.UTF_8));
      }
    } catch (IOException e) {
      // The driver has disconnected. The next driver finds out whether its command was executed.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private String execute(String[] words) throws InterruptedException {
    String target = words[1];
    long fence = Long.parseLong(words[2]);
    Invocation received =
        new Invocation(
            words[0], target, fence, Long.parseLong(words[3]), words[4], false, System.nanoTime());
    hook.onInvocation(
        true, received); // the hook stands for the time that the command takes to get here
    synchronized (locks.computeIfAbsent(target, key -> new Object())) {
      long highest = fences.merge(target, fence, Math::max);
      Invocation invocation =
          new Invocation(
              received.verb(),
              target,
              fence,
              received.actionId(),
              received.version(),
              fence < highest,
              System.nanoTime());
      synchronized (invocations) {
        invocations.add(invocation);
      }
      if (invocation.rejected()) {
        return "a higher fence was seen";
      }
      if (received.verb().equals("check")) {
        return targets.version(target);
      }
      try {
        targets.replace(target, received.version());
      } catch (IOException e) {
        return "failed: " + e.getMessage();
      }
      hook.onInvocation(false, invocation);
      return "ok";
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
