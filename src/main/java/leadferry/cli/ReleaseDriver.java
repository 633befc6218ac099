package leadferry.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import leadferry.cli.TargetCommandRunner.Invocation;
import leadferry.cli.TargetCommandRunner.Purpose;
import leadferry.cli.TargetCommandRunner.Result;
import leadferry.consensus.Json;
import leadferry.consensus.Lease;
import leadferry.consensus.ReplicaClient;
import leadferry.consensus.ReplicaClient.UnreachableException;
import leadferry.consensus.Sleep;
import leadferry.disruption.Outcome.Status;
import leadferry.release.ChangeCommands;
import leadferry.release.CommandResult;
import leadferry.release.DriverAction;
import leadferry.release.MemberReports;
import leadferry.release.ReleaseCommand;
import leadferry.release.ReleaseCommandCodec;
import leadferry.release.ReleaseController;
import leadferry.release.ReleaseView;
import leadferry.release.ReleaseViewCodec;

/**
 * Drives one release: polls the replicas for its status, carries out the actions of {@link
 * ReleaseController} and runs the operator's programs. Several processes may drive the same
 * release. One process holds the lease at a time, and the others wait for it.
 *
 * <p>{@link #run} sends the requests to the replicas and confines the controller to the calling
 * thread. The programs run on separate threads, which return their results through a queue.
 */
final class ReleaseDriver implements AutoCloseable {
  /** Interval of the status requests. */
  private static final long POLL_INTERVAL_MILLIS = 100;

  /** Delay before a change that was not granted is requested again. */
  private static final long REFUSED_INTENT_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private static final int RENEWALS_PER_LEASE = 4;
  private static final int REPORT_TIMEOUTS_PER_LEASE = 2;

  private final ReplicaClient replicas;
  private final String release;
  private final long leaseNanos;
  private final Consumer<String> log;
  private final ReleaseController controller;
  private final Lease lease;
  private final TargetCommandRunner runner;
  private final ExecutorService commandThreads =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task, "command");
            thread.setDaemon(true);
            return thread;
          });
  private final ConcurrentLinkedQueue<Runnable> completions = new ConcurrentLinkedQueue<>();
  private volatile boolean closed;
  private long nextRenewalNanos;
  private long nextIntentNanos;
  private String lastStatusLine = "";

  /** Creates a driver that writes a line to {@code log} for each of its steps. */
  ReleaseDriver(
      ReplicaClient replicas, String name, String release, long leaseMillis, Consumer<String> log) {
    this.replicas = replicas;
    this.release = release;
    this.leaseNanos = TimeUnit.MILLISECONDS.toNanos(leaseMillis);
    this.log = log;
    this.controller = new ReleaseController(name + "/" + UUID.randomUUID(), leaseMillis);
    this.lease = new Lease(leaseMillis);
    this.runner = new TargetCommandRunner(release, () -> lease.isHeld(System.nanoTime()), log);
  }

  /**
   * Drives until the release has ended or {@link #close} is called.
   *
   * @return the last known status of the release; empty if no release of that name exists or no
   *     status was received
   */
  Optional<ReleaseView> run() {
    Optional<ReleaseView> lastSeen = Optional.empty();
    while (!closed) {
      runCompletions();
      Optional<JsonNode> response =
          call(Json.object().put("op", "release").put("release", release), leaseNanos);
      if (response.isPresent() && hasStatus(response.get(), Status.UNKNOWN)) {
        return Optional.empty();
      }
      if (response.isPresent() && ReleaseViewCodec.isRelease(response.get())) {
        ReleaseView view = ReleaseViewCodec.read(response.get());
        lastSeen = Optional.of(view);
        if (view.state().isClosed()) {
          logStatus(view);
          return lastSeen;
        }
        driveOnce(view);
      }
      Sleep.millis(POLL_INTERVAL_MILLIS);
    }
    return lastSeen;
  }

  private void runCompletions() {
    for (Runnable completion = completions.poll();
        completion != null;
        completion = completions.poll()) {
      completion.run();
    }
  }

  private void driveOnce(ReleaseView view) {
    renewLease(view);
    logStatus(view);
    Optional<MemberReports> reports = Optional.empty();
    if (controller.isDriverOf(view) && view.progress().bakingSinceChange() > 0) {
      reports =
          call(Json.object().put("op", "reports"), leaseNanos / REPORT_TIMEOUTS_PER_LEASE)
              .map(MemberReports::read);
    }
    long now = System.nanoTime();
    for (DriverAction action : controller.nextActions(view, reports, lease.isHeld(now), now)) {
      carryOut(view, action);
    }
  }

  private void logStatus(ReleaseView view) {
    String reason = view.stateReason().isEmpty() ? "" : ": " + view.stateReason();
    String line =
        view.state().storedName()
            + ", "
            + ReleaseStatusPrinter.directionName(view.progress().direction())
            + reason
            + describeDriver(view);
    if (!line.equals(lastStatusLine)) {
      lastStatusLine = line;
      log.accept(release + " is " + line);
    }
  }

  private String describeDriver(ReleaseView view) {
    if (controller.isDriverOf(view)) {
      return ", driven by this process";
    }
    return view.hasDriver() ? ", driven by " + view.driver() : ", no driver";
  }

  private void renewLease(ReleaseView view) {
    long now = System.nanoTime();
    if (!controller.isDriverOf(view)) {
      lease.onSessionLost();
      return;
    }
    if (lease.isHeld(now) && now - nextRenewalNanos < 0) {
      return;
    }
    long renewalNanos = leaseNanos / RENEWALS_PER_LEASE;
    ObjectNode request =
        Json.object().put("op", "renew").put("release", release).put("fence", view.fence());
    call(request, renewalNanos)
        .ifPresent(
            response -> {
              if (hasStatus(response, Status.DONE)) {
                lease.onConfirmed(now);
                nextRenewalNanos = now + renewalNanos;
              } else {
                lease.onSessionLost();
              }
            });
  }

  private Optional<JsonNode> call(ObjectNode request, long timeoutNanos) {
    try {
      return Optional.of(replicas.call(request, System.nanoTime() + timeoutNanos));
    } catch (UnreachableException e) {
      return Optional.empty();
    }
  }

  private static boolean hasStatus(JsonNode response, Status status) {
    return response.path("status").asText().equals(status.storedName());
  }

  private void carryOut(ReleaseView view, DriverAction action) {
    if (action instanceof DriverAction.SubmitCommand submission) {
      submit(submission.command());
    } else if (action instanceof DriverAction.RunChange change) {
      runChange(view.changeCommands(), change);
    } else if (action instanceof DriverAction.CheckVersion check) {
      checkVersion(view.changeCommands(), check);
    }
  }

  private void submit(ReleaseCommand command) {
    boolean isIntent = command instanceof ReleaseCommand.IntendChange;
    if (isIntent && System.nanoTime() - nextIntentNanos < 0) {
      return;
    }
    ObjectNode request =
        Json.object().put("op", "submit").set("entry", ReleaseCommandCodec.encode(command));
    Optional<JsonNode> response = call(request, leaseNanos);
    if (isIntent && response.filter(json -> hasStatus(json, Status.GRANTED)).isEmpty()) {
      nextIntentNanos = System.nanoTime() + REFUSED_INTENT_BACKOFF_NANOS;
      return;
    }
    boolean isLeaseRefused =
        command instanceof ReleaseCommand.AcquireLease
            && response.filter(json -> hasStatus(json, Status.DONE)).isEmpty();
    if (!isLeaseRefused) {
      log.accept(describe(command) + ": " + describeOutcome(response));
    }
  }

  private static String describeOutcome(Optional<JsonNode> response) {
    return response
        .map(json -> json.path("status").asText() + (json.has("why") ? " " + json.path("why") : ""))
        .orElse("unreachable");
  }

  private static String describe(ReleaseCommand command) {
    if (command instanceof ReleaseCommand.AcquireLease) {
      return "acquire lease";
    }
    if (command instanceof ReleaseCommand.IntendChange intent) {
      return "drain " + intent.target();
    }
    if (command instanceof ReleaseCommand.BeginChange change) {
      return "begin change of " + change.target();
    }
    if (command instanceof ReleaseCommand.RecordObservation observation) {
      return "record observation of " + observation.target();
    }
    return "record verdict";
  }

  private void runChange(ChangeCommands commands, DriverAction.RunChange change) {
    if (commands.executor() == ChangeCommands.Executor.AGENT) {
      controller.onChangeEnded(change, new CommandResult(true, ""));
      return;
    }
    Invocation invocation =
        new Invocation(
            Purpose.CHANGE,
            commands.changeCommand(),
            change.target(),
            change.action(),
            change.fence(),
            change.version(),
            commands.timeoutMillis());
    commandThreads.execute(
        () -> {
          Result result = runner.run(invocation);
          CommandResult ended = new CommandResult(result.isSuccess(), result.summary());
          completions.add(() -> controller.onChangeEnded(change, ended));
        });
  }

  private void checkVersion(ChangeCommands commands, DriverAction.CheckVersion check) {
    Invocation invocation =
        new Invocation(
            Purpose.CHECK,
            commands.checkCommand().orElse(List.of()),
            check.target(),
            check.action(),
            check.fence(),
            "",
            commands.timeoutMillis());
    commandThreads.execute(
        () -> {
          Result result = runner.run(invocation);
          String version =
              result.isSuccess() ? result.output().lines().findFirst().orElse("").strip() : "";
          completions.add(() -> controller.onVersionChecked(check, Optional.of(version)));
        });
  }

  @Override
  public void close() {
    closed = true;
    commandThreads.shutdownNow();
  }
}
