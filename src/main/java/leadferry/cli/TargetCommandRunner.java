package leadferry.cli;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Runs the programs that a release plan names for its targets, with their arguments and without a
 * shell. The environment of a program holds only PATH and the LEADFERRY_ variables. The runner
 * reads the whole output of a program and keeps the first 4096 to 5119 characters. After its
 * timeout a program is killed with its descendants. A program must reject a LEADFERRY_FENCE lower
 * than the highest one it has seen for its target.
 *
 * <p>Thread-safe. Each call runs one program and blocks the calling thread.
 */
final class TargetCommandRunner {
  private static final int MAX_OUTPUT_CHARACTERS = 4_096;
  private static final int MAX_SUMMARY_CHARACTERS = 200;
  private static final int READ_CHUNK_BYTES = 1_024;

  /** Limit of the wait for the end of the output, which a descendant may keep open for longer. */
  private static final long OUTPUT_CLOSE_TIMEOUT_MILLIS = 1_000;

  private static final String DEFAULT_PATH = "/usr/bin:/bin";

  /** Exit status for a program that did not run or was killed. */
  private static final int NO_STATUS = -1;

  /**
   * Purpose of a run. Its label is in log lines and in the reasons stored in the replicated log.
   */
  enum Purpose {
    CHANGE("command"),
    CHECK("check");

    private final String label;

    Purpose(String word) {
      this.label = word;
    }
  }

  /**
   * One run of a program.
   *
   * @param purpose purpose of the run
   * @param template the program and its arguments, with the placeholders {@code {target}} and
   *     {@code {version}}
   * @param target name of the target
   * @param action number of the action on the target
   * @param fence fencing token of the action
   * @param version version that the target is to run, or "" for a check
   * @param timeoutMillis time after which the program is killed
   */
  record Invocation(
      Purpose purpose,
      List<String> template,
      String target,
      long action,
      long fence,
      String version,
      long timeoutMillis) {
    private List<String> commandLine() {
      return template.stream()
          .map(word -> word.replace("{target}", target).replace("{version}", version))
          .toList();
    }
  }

  /**
   * Result of a run.
   *
   * @param exitStatus exit status of the program; -1 if it did not run or was killed
   * @param output beginning of the output of the program
   * @param summary human-readable summary of the run
   */
  record Result(int exitStatus, String output, String summary) {
    boolean isSuccess() {
      return exitStatus == 0;
    }
  }

  private final String release;
  private final BooleanSupplier leaseHeld;
  private final Consumer<String> log;

  /**
   * Creates a runner for one release.
   *
   * @param leaseHeld whether the driver holds its lease; no program is started without it
   * @param log receives one line for each start and each failure
   */
  TargetCommandRunner(String release, BooleanSupplier leaseHeld, Consumer<String> log) {
    this.release = release;
    this.leaseHeld = leaseHeld;
    this.log = log;
  }

  /** Runs a program until it exits or its timeout expires. */
  Result run(Invocation invocation) {
    String label = invocation.purpose().label;
    // Guards against a driver process that was suspended after the replicas' response and has lost
    // its lease meanwhile.
    if (!leaseHeld.getAsBoolean()) {
      return new Result(NO_STATUS, "", "the driver's lease has expired");
    }
    String version = invocation.version();
    log.accept(
        label
            + " "
            + invocation.target()
            + (version.isEmpty() ? "" : " to " + version)
            + ", fence "
            + invocation.fence());
    try {
      Result result = await(start(invocation), invocation);
      if (!result.isSuccess()) {
        log.accept(invocation.target() + ": " + result.summary());
      }
      return result;
    } catch (IOException e) {
      String summary = label + " could not be run: " + e.getMessage();
      log.accept(invocation.target() + ": " + summary);
      return new Result(NO_STATUS, "", summary);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new Result(NO_STATUS, "", label + " was interrupted");
    }
  }

  private Process start(Invocation invocation) throws IOException {
    ProcessBuilder builder = new ProcessBuilder(invocation.commandLine()).redirectErrorStream(true);
    String path = System.getenv("PATH");
    Map<String, String> environment = builder.environment();
    environment.clear();
    environment.put("PATH", path == null ? DEFAULT_PATH : path);
    environment.put("LEADFERRY_RELEASE", release);
    environment.put("LEADFERRY_TARGET", invocation.target());
    environment.put("LEADFERRY_VERSION", invocation.version());
    environment.put("LEADFERRY_FENCE", Long.toString(invocation.fence()));
    environment.put("LEADFERRY_ACTION", Long.toString(invocation.action()));
    Process process = builder.start();
    process.getOutputStream().close();
    return process;
  }

  private static Result await(Process process, Invocation invocation) throws InterruptedException {
    StringBuilder buffer = new StringBuilder();
    Thread reader = new Thread(() -> read(process.getInputStream(), buffer), "output");
    reader.setDaemon(true);
    reader.start();
    boolean ended = process.waitFor(invocation.timeoutMillis(), TimeUnit.MILLISECONDS);
    if (!ended) {
      process.descendants().forEach(ProcessHandle::destroyForcibly);
      process.destroyForcibly();
      process.waitFor();
    }
    reader.join(OUTPUT_CLOSE_TIMEOUT_MILLIS);
    String output;
    synchronized (buffer) {
      output = buffer.toString();
    }
    int status = ended ? process.exitValue() : NO_STATUS;
    String ending =
        ended
            ? " exited with status " + status
            : " was killed after " + invocation.timeoutMillis() + " ms";
    String outputSummary = output.isBlank() ? "" : ": " + abbreviate(output.strip());
    return new Result(status, output, invocation.purpose().label + ending + outputSummary);
  }

  private static String abbreviate(String text) {
    return text.length() > MAX_SUMMARY_CHARACTERS
        ? text.substring(0, MAX_SUMMARY_CHARACTERS) + "..."
        : text;
  }

  /**
   * Keeps the beginning of the output and reads the rest. A program whose output is not read would
   * block on a full pipe.
   */
  private static void read(InputStream input, StringBuilder buffer) {
    byte[] chunk = new byte[READ_CHUNK_BYTES];
    try {
      for (int length = input.read(chunk); length >= 0; length = input.read(chunk)) {
        synchronized (buffer) {
          if (buffer.length() < MAX_OUTPUT_CHARACTERS) {
            buffer.append(new String(chunk, 0, length, StandardCharsets.UTF_8));
          }
        }
      }
    } catch (IOException e) {
      // The program was killed.
    }
  }
}
