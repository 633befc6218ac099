package leadferry.testbed;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A process of the program that a rig starts, stops, continues, kills and starts again; known from
 * outside only.
 */
public final class Child implements AutoCloseable {
  private final String name;
  private final List<String> first;
  private final List<String> again;
  private final Path log;
  private Process process;
  private boolean stopped;

  /**
   * {@code first} starts it the first time, {@code again} after that; what it tells goes to {@code
   * log}.
   */
  public Child(String name, List<String> first, List<String> again, Path log) {
    this.name = name;
    this.first = List.copyOf(first);
    this.again = List.copyOf(again);
    this.log = log;
  }

  /**
   * The command that starts this build of the program with these arguments, on so many MB of heap.
   */
  public static List<String> program(int heapMb, String... args) {
    List<String> out =
        new ArrayList<>(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx" + heapMb + "m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xshare:auto",
                "-cp",
                System.getProperty("java.class.path"),
                "leadferry.Main"));
    out.addAll(List.of(args));
    return out;
  }

  public String name() {
    return name;
  }

  public synchronized void start() throws IOException {
    List<String> command = process == null ? first : again;
    process =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
            .start();
    stopped = false;
  }

  /**
   * Starts it so that it can write no file past that size (KiB): writes fail then, as on a full
   * disk.
   */
  public synchronized void startOnDiskOf(int kib) throws IOException {
    List<String> command =
        new ArrayList<>(List.of("bash", "-c", "ulimit -f " + kib + "; exec \"$@\"", "bash"));
    command.addAll(process == null ? first : again);
    process =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
            .start();
    stopped = false;
  }

  public synchronized boolean runs() {
    return process != null && process.isAlive() && !stopped;
  }

  public synchronized long pid() {
    return process == null ? -1 : process.pid();
  }

  public synchronized void stop() {
    signal("STOP");
    stopped = true;
  }

  public synchronized void resume() {
    signal("CONT");
    stopped = false;
  }

  public synchronized void kill() {
    process.destroyForcibly();
    try {
      process.waitFor(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** SIGTERM, and so many milliseconds for its end; the exit status, or -1. */
  public synchronized int end(long mostMs) {
    process.destroy();
    try {
      return process.waitFor(mostMs, TimeUnit.MILLISECONDS) ? process.exitValue() : -1;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return -1;
    }
  }

  private void signal(String signal) {
    if (process == null || !process.isAlive()) {
      return;
    }
    try {
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public synchronized void close() {
    if (process != null) {
      process.destroyForcibly();
    }
  }
}
