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
 * Runs the programs that a release's plan names for its targets, with their arguments and no shell.
 * They get PATH and LEADFERRY_ variables; their output is kept up to a bound and read to its end;
 * past its time a program is killed with its descendants. It has to reject a lower LEADFERRY_FENCE
 * than it has seen for its target.
 *
 * <p>Thread-safe: each call runs one program in the thread that calls.
 */
final class TargetCommandRunner {
  private static final int MAX_OUTPUT_CHARACTERS = 4_096;
  private static final int MAX_TEXT_CHARACTERS = 200;
  private static final int READ_CHUNK_BYTES = 1_024;

  /** A descendant may hold the output open for longer. */
  private static final long OUTPUT_END_MILLIS = 1_000;

  private static final String DEFAULT_PATH = "/usr/bin:/bin";

  /** The status of a program that did not run or did not end by itself. */
  private static final int NO_STATUS = -1;

  /** What a program is run for; its word is in logs and in the reasons that the log keeps. */
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
   * @param purpose what it is for
   * @param template the program and its arguments, with {@code {target}} and {@code {version}}
   * @param target the target's name
   * @param action the number of the action on it
   * @param fence the fence that goes with it
   * @param version what the target is to run, or "" for a check
   * @param timeoutMillis how long it may run
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
   * What became of a run.
   *
   * @param exitStatus the program's exit status, or -1
   * @param output what it wrote, up to a bound
   * @param summary what happened, for people
   */
  record Result(int exitStatus, String output, String summary) {
    boolean isSuccess() {
      return exitStatus == 0;
    }
  }

  private final String release;
  private final BooleanSupplier leaseHolds;
  private final Consumer<String> log;

  /** Runs programs of a release while the driver's lease holds; {@code log} gets a line each. */
  TargetCommandRunner(String release, BooleanSupplier leaseHolds, Consumer<String> log) {
    this.release = release;
    this.leaseHolds = leaseHolds;
    this.log = log;
  }

  /** Runs a program to its end, or to the end of its time. */
  Result run(Invocation invocation) {
    String word = invocation.purpose().label;
    // Guards against a process that stood still between the replicas' response and here.
    if (!leaseHolds.getAsBoolean()) {
      return new Result(NO_STATUS, "", "the driver's lease was over");
    }
    String version = invocation.version();
    log.accept(
        word
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
      String text = word + " can't be run: " + e.getMessage();
      log.accept(invocation.target() + ": " + text);
      return new Result(NO_STATUS, "", text);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new Result(NO_STATUS, "", word + " was cut off");
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
    reader.join(OUTPUT_END_MILLIS);
    String output;
    synchronized (buffer) {
      output = buffer.toString();
    }
    int status = ended ? process.exitValue() : NO_STATUS;
    String end =
        ended ? " ended with " + status : " was killed after " + invocation.timeoutMillis() + " ms";
    String said = output.isBlank() ? "" : ": " + abbreviate(output.strip());
    return new Result(status, output, invocation.purpose().label + end + said);
  }

  private static String abbreviate(String text) {
    return text.length() > MAX_TEXT_CHARACTERS
        ? text.substring(0, MAX_TEXT_CHARACTERS) + "..."
        : text;
  }

  /** Keeps the beginning and reads to the end, so that a program that writes more can go on. */
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
