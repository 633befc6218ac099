package leadferry.testbed;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A proxy as a process of its own, throttled to a part of a core: it is stopped and continued by
 * signals every few milliseconds, which needs no rights and no tools of isolation. Unlike a quota
 * it also holds back what the kernel would give in bursts; figures are compared with each other,
 * not with a platform's.
 */
public final class ThrottledProxy implements AutoCloseable {
  /** A whole turn of the throttle (ms). */
  private static final double TURN_MILLIS = 10;

  private static final int START_MILLIS = 30_000;

  private final List<String> command;
  private final Map<String, String> environment;
  private final InetSocketAddress address;
  private final double share;
  private final Path log;
  private Process process;
  private Process throttle;

  /**
   * A proxy that this command starts and that listens at {@code address}; {@code share} of a core
   * above 0, 1 for all that it can get; what it tells goes to {@code log}.
   */
  public ThrottledProxy(
      List<String> command,
      Map<String, String> environment,
      InetSocketAddress address,
      double share,
      Path log) {
    if (!(share > 0 && share <= 1)) {
      throw new IllegalArgumentException("share: " + share + " (expected: above 0, at most 1)");
    }
    this.command = List.copyOf(command);
    this.environment = Map.copyOf(environment);
    this.address = address;
    this.share = share;
    this.log = log;
  }

  /** Where it listens. */
  public InetSocketAddress address() {
    return address;
  }

  /** Starts it and does not wait. */
  public void start() {
    try {
      ProcessBuilder builder =
          new ProcessBuilder(command)
              .redirectErrorStream(true)
              .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
      builder.environment().putAll(environment);
      process = builder.start();
      throttle();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void throttle() throws IOException {
    if (share < 1) {
      String running = seconds(TURN_MILLIS * share);
      String stopped = seconds(TURN_MILLIS * (1 - share));
      // Only builtins: a process for each signal would cost more than what is measured.
      throttle =
          new ProcessBuilder(
                  "bash",
                  "-c",
                  "exec 3<> <(:); while kill -STOP $0 2>/dev/null; do read -t "
                      + stopped
                      + " -u 3; kill -CONT $0 2>/dev/null; read -t "
                      + running
                      + " -u 3; done",
                  Long.toString(process.pid()))
              .start();
    }
  }

  private static String seconds(double millis) {
    return String.format(Locale.ROOT, "%.4f", millis / 1_000);
  }

  /**
   * Waits until it accepts a connection; the seconds since {@code sinceNanos}, or NaN if it never
   * did.
   */
  public double awaitListening(long sinceNanos) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + START_MILLIS * 1_000_000L;
    while (System.nanoTime() < deadlineNanos) {
      try (Socket socket = new Socket()) {
        socket.connect(address, 1_000);
        return (System.nanoTime() - sinceNanos) / 1e9;
      } catch (IOException e) {
        Thread.sleep(5);
      }
    }
    return Double.NaN;
  }

  /** Stops it as a whole until {@link #resume}. */
  public void pause() {
    endThrottle();
    signal("STOP");
  }

  /** Lets it go on. */
  public void resume() {
    signal("CONT");
    try {
      throttle();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Asks it to end, waits for at most so long and then kills it; its exit status. */
  public int terminate(long timeoutMillis) {
    process.destroy();
    try {
      if (!process.waitFor(timeoutMillis, TimeUnit.MILLISECONDS)) {
        endThrottle();
        signal("CONT");
        process.destroyForcibly();
      }
      return process.waitFor();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return -1;
    } finally {
      endThrottle();
    }
  }

  private void endThrottle() {
    if (throttle != null) {
      throttle.destroy();
      try {
        throttle.waitFor();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      throttle = null;
    }
  }

  private void signal(String name) {
    try {
      new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * What the kernel tells of it: seconds of CPU, connections that wait to be accepted, open and
   * half-closed.
   */
  public record Sample(double cpuSeconds, int acceptQueueLength, int established, int closeWait) {}

  /** Looks now; a part that can't be read is 0. */
  public Sample sample() {
    int waiting = 0;
    int established = 0;
    int closeWait = 0;
    String port = String.format(Locale.ROOT, ":%04X", address.getPort());
    for (String table : List.of("/proc/net/tcp", "/proc/net/tcp6")) {
      for (String line : lines(Path.of(table))) {
        String[] fields = line.trim().split("\\s+");
        if (fields.length > 4 && fields[1].endsWith(port)) {
          switch (fields[3]) {
            case "0A" -> waiting += Integer.parseInt(fields[4].split(":")[1], 16);
            case "01" -> established++;
            case "08" -> closeWait++;
            default -> {}
          }
        }
      }
    }
    List<String> stat = lines(Path.of("/proc/" + process.pid() + "/stat"));
    double cpuSeconds = 0;
    if (!stat.isEmpty()) {
      String[] fields = stat.get(0).substring(stat.get(0).lastIndexOf(')') + 2).split(" ");
      cpuSeconds = (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) / 100.0;
    }
    return new Sample(cpuSeconds, waiting, established, closeWait);
  }

  private static List<String> lines(Path file) {
    try {
      return Files.readAllLines(file);
    } catch (IOException e) {
      return List.of();
    }
  }

  /** Kills it. */
  @Override
  public void close() {
    endThrottle();
    if (process != null) {
      process.destroyForcibly();
    }
  }
}
