package leadferry.testbed;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A process of the program that a test starts, stops, continues, kills and starts again; known from
 * outside only.
 */
public final class ManagedProcess implements AutoCloseable {
  private final String name;
  private final List<String> firstCommand;
  private final List<String> laterCommand;
  private final Path log;
  private Process process;
  private boolean suspended;

  /**
   * A process that is not started yet.
   *
   * @param firstCommand starts it the first time
   * @param laterCommand starts it after that
   * @param log gets what it writes to standard output and error
   */
  public ManagedProcess(
      String name, List<String> firstCommand, List<String> laterCommand, Path log) {
    this.name = name;
    this.firstCommand = List.copyOf(firstCommand);
    this.laterCommand = List.copyOf(laterCommand);
    this.log = log;
  }

  /**
   * The command that starts this build of the program with these arguments, on so many MB of heap.
   */
  public static List<String> commandLine(int heapMb, String... arguments) {
    List<String> command =
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
    command.addAll(List.of(arguments));
    return command;
  }

  /** The name by which a test knows it. */
  public String name() {
    return name;
  }

  /** Starts it; its first command is for its first start alone. */
  public synchronized void start() throws IOException {
    run(command());
  }

  /**
   * Starts it so that it can write no file past that size (KiB): writes fail then, as on a full
   * disk.
   */
  public synchronized void startWithFileSizeLimit(int limitKib) throws IOException {
    List<String> command =
        new ArrayList<>(List.of("bash", "-c", "ulimit -f " + limitKib + "; exec \"$@\"", "bash"));
    command.addAll(command());
    run(command);
  }

  private List<String> command() {
    return process == null ? firstCommand : laterCommand;
  }

  private void run(List<String> command) throws IOException {
    process =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
            .start();
    suspended = false;
  }

  /** Whether it is alive and not stopped. */
  public synchronized boolean isRunning() {
    return process != null && process.isAlive() && !suspended;
  }

  /** Its process id, or -1 before its first start. */
  public synchronized long pid() {
    return process == null ? -1 : process.pid();
  }

  /** Stops it (SIGSTOP) until {@link #resume}. */
  public synchronized void suspend() {
    signal("STOP");
    suspended = true;
  }

  /** Lets it go on (SIGCONT). */
  public synchronized void resume() {
    signal("CONT");
    suspended = false;
  }

  /** Kills it (SIGKILL) and waits for its end. */
  public synchronized void kill() {
    process.destroyForcibly();
    try {
      process.waitFor(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** SIGTERM, and so many milliseconds for its end; the exit status, or -1. */
  public synchronized int terminate(long timeoutMillis) {
    process.destroy();
    try {
      return process.waitFor(timeoutMillis, TimeUnit.MILLISECONDS) ? process.exitValue() : -1;
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
