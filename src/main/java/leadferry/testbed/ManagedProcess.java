package leadferry.testbed;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A process of leadferry that a test starts, suspends, resumes, kills and starts again. The test
 * observes it only from outside.
 */
public final class ManagedProcess implements AutoCloseable {
  private final String name;
  private final List<String> firstCommand;
  private final List<String> laterCommand;
  private final Path log;
  private Process process;
  private boolean suspended;

  /**
   * Creates a process that is not started yet.
   *
   * @param firstCommand command line of the first start
   * @param laterCommand command line of all later starts
   * @param log file to which standard output and standard error are appended
   */
  public ManagedProcess(
      String name, List<String> firstCommand, List<String> laterCommand, Path log) {
    this.name = name;
    this.firstCommand = List.copyOf(firstCommand);
    this.laterCommand = List.copyOf(laterCommand);
    this.log = log;
  }

  /**
   * Returns the command line that runs this build of leadferry with {@code arguments} and a heap of
   * {@code heapMb} megabytes.
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

  /** Returns the name used in the test. */
  public String name() {
    return name;
  }

  /**
   * Starts the process, the first time with the first command line and later with the other one.
   */
  public synchronized void start() throws IOException {
    launch(command());
  }

  /**
   * Starts the process with a limit on the size of each file it writes, in KiB. Writes beyond the
   * limit fail as they do on a full disk.
   */
  public synchronized void startWithFileSizeLimit(int limitKib) throws IOException {
    List<String> command =
        new ArrayList<>(List.of("bash", "-c", "ulimit -f " + limitKib + "; exec \"$@\"", "bash"));
    command.addAll(command());
    launch(command);
  }

  private List<String> command() {
    return process == null ? firstCommand : laterCommand;
  }

  private void launch(List<String> command) throws IOException {
    process =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
            .start();
    suspended = false;
  }

  /** Returns whether the process is alive and not suspended. */
  public synchronized boolean isRunning() {
    return process != null && process.isAlive() && !suspended;
  }

  /** Returns the process id, or -1 before the first start. */
  public synchronized long pid() {
    return process == null ? -1 : process.pid();
  }

  /** Suspends the process (SIGSTOP) until {@link #resume}. */
  public synchronized void suspend() {
    signal("STOP");
    suspended = true;
  }

  /** Resumes the process (SIGCONT). */
  public synchronized void resume() {
    signal("CONT");
    suspended = false;
  }

  /** Kills the process (SIGKILL) and waits up to 5 seconds for its end. */
  public synchronized void kill() {
    process.destroyForcibly();
    try {
      process.waitFor(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Sends SIGTERM and waits up to {@code timeoutMillis} for the end of the process. Returns the
   * exit status, or -1 if the process has not ended or the wait was interrupted.
   */
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
