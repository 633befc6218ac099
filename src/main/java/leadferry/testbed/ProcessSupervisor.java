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
 * Whoever starts and ends processes and hosts at the rig's site, as operators' commands reach it:
 * one line each way over TCP. It keeps the highest fence that it has seen for each target and turns
 * lower ones away, and notes all that it was asked to do.
 */
public final class ProcessSupervisor implements AutoCloseable {
  /** Changes targets and tells what they are. */
  public interface Targets {
    /**
     * Replaces a target by that version; returns once the old one has gone and the new one has been
     * started.
     */
    void replace(String target, String version) throws IOException, InterruptedException;

    /** The version that is there, or "". */
    String version(String target);
  }

  /** Something that was asked for; {@code refused} by its fence. */
  public record Invocation(
      String verb,
      String target,
      long fence,
      long actionId,
      String version,
      boolean rejected,
      long atNanos) {}

  /** What a test does while something is asked for, before it is carried out and after it. */
  public interface Hook {
    void onInvocation(boolean before, Invocation deed) throws InterruptedException;
  }

  private final ServerSocket listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
  private final Targets site;
  private final Map<String, Long> fences = new ConcurrentHashMap<>();
  private final Map<String, Object> locks = new ConcurrentHashMap<>();
  private final List<Invocation> invocations = new ArrayList<>();
  private volatile Hook hook = (before, deed) -> {};

  public ProcessSupervisor(Targets site) throws IOException {
    this.site = site;
    Thread t = new Thread(this::accept, "supervisor");
    t.setDaemon(true);
    t.start();
  }

  /** Writes the program that operators' plans name: {@code carry.sh command|check}. */
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

  public void setHook(Hook h) {
    hook = h;
  }

  /** All that was asked for, in its order. */
  public List<Invocation> invocations() {
    synchronized (invocations) {
      return List.copyOf(invocations);
    }
  }

  /** What was carried out at a target. */
  public List<Invocation> executedCommands(String target) {
    return invocations().stream()
        .filter(d -> d.verb().equals("command") && !d.rejected() && d.target().equals(target))
        .toList();
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket s = listener.accept();
        Thread t = new Thread(() -> serve(s), "supervisor-call");
        t.setDaemon(true);
        t.start();
      } catch (IOException e) {
        // closed, or a connection that went at once
      }
    }
  }

  private void serve(Socket s) {
    try (s) {
      String line =
          new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.UTF_8))
              .readLine();
      if (line != null) {
        s.getOutputStream()
            .write((carryOut(line.split(" ")) + "\n").getBytes(StandardCharsets.UTF_8));
      }
    } catch (IOException e) {
      // the driver has gone; what it asked for was done or not, as the next one will see
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private String carryOut(String[] words) throws InterruptedException {
    String target = words[1];
    long fence = Long.parseLong(words[2]);
    Invocation asked =
        new Invocation(
            words[0], target, fence, Long.parseLong(words[3]), words[4], false, System.nanoTime());
    hook.onInvocation(true, asked); // on its way here, so to speak
    synchronized (locks.computeIfAbsent(target, k -> new Object())) {
      long highest = fences.merge(target, fence, Math::max);
      Invocation deed =
          new Invocation(
              asked.verb(),
              target,
              fence,
              asked.actionId(),
              asked.version(),
              fence < highest,
              System.nanoTime());
      synchronized (invocations) {
        invocations.add(deed);
      }
      if (deed.rejected()) {
        return "a higher fence was seen";
      }
      if (asked.verb().equals("check")) {
        return site.version(target);
      }
      try {
        site.replace(target, asked.version());
      } catch (IOException e) {
        return "failed: " + e.getMessage();
      }
      hook.onInvocation(false, deed);
      return "ok";
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
