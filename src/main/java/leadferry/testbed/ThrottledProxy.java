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
 * A proxy process throttled to a fraction of a core. Signals suspend and resume it every few
 * milliseconds, which requires neither privileges nor isolation tools. Unlike a CPU quota, this
 * also prevents bursts, so results are comparable only with each other and not with those of a
 * platform.
 */
public final class ThrottledProxy implements AutoCloseable {
  /** Period of the throttle in milliseconds. */
  private static final double PERIOD_MILLIS = 10;

  private static final int START_MILLIS = 30_000;

  private final List<String> command;
  private final Map<String, String> environment;
  private final InetSocketAddress address;
  private final double share;
  private final Path log;
  private Process process;
  private Process throttle;

  /**
   * Creates a proxy that {@code command} starts and that listens at {@code address}.
   *
   * @param share fraction of a core, above 0; 1 for no throttling
   * @param log file to which standard output and standard error are appended
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

  /** Returns the address that the proxy listens on. */
  public InetSocketAddress address() {
    return address;
  }

  /** Starts the process without waiting for it to listen. */
  public void start() {
    try {
      ProcessBuilder builder =
          new ProcessBuilder(command)
              .redirectErrorStream(true)
              .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
      builder.environment().putAll(environment);
      process = builder.start();
      startThrottle();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void startThrottle() throws IOException {
    if (share < 1) {
      String running = seconds(PERIOD_MILLIS * share);
      String stopped = seconds(PERIOD_MILLIS * (1 - share));
      // Only shell builtins: starting a process for each signal would cost more CPU time than is
      // measured.
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
   * Waits until the proxy accepts a connection. Returns the seconds since {@code sinceNanos}, or
   * NaN if it does not within 30 seconds.
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

  /** Suspends the proxy until {@link #resume}. */
  public void pause() {
    endThrottle();
    signal("STOP");
  }

  /** Resumes the proxy with its throttling. */
  public void resume() {
    signal("CONT");
    try {
      startThrottle();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Sends SIGTERM, waits up to {@code timeoutMillis} and then kills the process. Returns the exit
   * status, or -1 if interrupted.
   */
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
   * The kernel's figures for the process and its port: CPU seconds, connections waiting to be
   * accepted, established connections, and connections closed by the peer only.
   */
  public record Sample(double cpuSeconds, int acceptQueueLength, int established, int closeWait) {}

  /** Takes a sample. A figure that cannot be read is 0. */
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

  /** Kills the process. */
  @Override
  public void close() {
    endThrottle();
    if (process != null) {
      process.destroyForcibly();
    }
  }
}
