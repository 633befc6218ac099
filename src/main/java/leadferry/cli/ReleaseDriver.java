package leadferry.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import leadferry.consensus.Json;
import leadferry.consensus.Lease;
import leadferry.consensus.ReplicaClient;
import leadferry.consensus.ReplicaClient.UnreachableException;
import leadferry.consensus.Sleep;
import leadferry.release.ReleaseController;

/**
 * Drives one release: asks the keepers how it stands, does what {@link ReleaseController} says,
 * runs the operator's commands. Any number of processes may drive; one holds the lease at a time,
 * the others wait for it. One thread for the keepers, others for commands.
 *
 * <p>A command is a program with its arguments and no shell. It gets PATH and what LEADFERRY_
 * variables tell; its output is kept up to a bound and read to its end; past its time it is killed.
 * It has to turn away a lower LEADFERRY_FENCE than it has seen for its target.
 */
final class ReleaseDriver implements AutoCloseable {
  private static final long LOOK_MS = 100;

  /** A budget that said no is asked again after so long (ms). */
  private static final long REFUSED_MS = 500;

  private static final int MOST_OUTPUT = 4_096;
  private static final int RENEWALS = 4;

  private final ReplicaClient keepers;
  private final String release;
  private final long leaseMs;
  private final Consumer<String> log;
  private final ReleaseController conductor;
  private final Lease lease;
  private final ExecutorService commands =
      Executors.newCachedThreadPool(
          r -> {
            Thread t = new Thread(r, "command");
            t.setDaemon(true);
            return t;
          });
  private final ConcurrentLinkedQueue<Runnable> ends = new ConcurrentLinkedQueue<>();
  private volatile boolean closed;
  private long nextRenewal;
  private long notBefore;
  private String said = "";

  /** A driver that tells {@code log} what it does. */
  ReleaseDriver(
      ReplicaClient keepers, String name, String release, long leaseMs, Consumer<String> log) {
    this.keepers = keepers;
    this.release = release;
    this.leaseMs = leaseMs;
    this.log = log;
    this.conductor = new ReleaseController(name + "/" + UUID.randomUUID(), leaseMs);
    this.lease = new Lease(leaseMs);
  }

  /**
   * Drives until the release is over or this is closed; the release as it was last seen, or null
   * where there is none.
   */
  JsonNode run() {
    JsonNode seen = null;
    while (!closed) {
      for (Runnable end; (end = ends.poll()) != null; ) {
        end.run();
      }
      long now = System.nanoTime();
      JsonNode r =
          ask(
              Json.object().put("op", "release").put("release", release),
              now + leaseMs * 1_000_000L);
      if (r != null) {
        seen = r;
        if (r.path("status").asText().equals("unknown")) {
          return null;
        }
        if (ReleaseController.over(r)) {
          tell(r);
          return r;
        }
        renew(r);
        tell(r);
        JsonNode reports =
            conductor.drives(r) && r.path("baking").asLong() > 0
                ? ask(Json.object().put("op", "reports"), System.nanoTime() + leaseMs * 500_000L)
                : null;
        now = System.nanoTime();
        for (ReleaseController.Next next : conductor.next(r, reports, lease.holds(now), now)) {
          carryOut(r, next);
        }
      }
      Sleep.millis(LOOK_MS);
    }
    return seen;
  }

  private void tell(JsonNode r) {
    StringBuilder s =
        new StringBuilder(r.path("state").asText())
            .append(", ")
            .append(r.path("direction").asText());
    s.append(r.path("state_why").asText().isEmpty() ? "" : ": " + r.path("state_why").asText());
    s.append(
        conductor.drives(r)
            ? ", driven here"
            : r.path("driver").asText().isEmpty()
                ? ", nobody drives"
                : ", driven by " + r.path("driver").asText());
    if (!s.toString().equals(said)) {
      said = s.toString();
      log.accept(release + " is " + said);
    }
  }

  private void renew(JsonNode r) {
    long now = System.nanoTime();
    if (!conductor.drives(r)) {
      lease.lost();
      return;
    }
    if (lease.holds(now) && now - nextRenewal < 0) {
      return;
    }
    JsonNode o =
        ask(
            Json.object()
                .put("op", "renew")
                .put("release", release)
                .put("fence", r.path("fence").asLong()),
            now + leaseMs * 1_000_000L / RENEWALS);
    if (o != null) {
      if (o.path("status").asText().equals("done")) {
        lease.confirmed(now);
        nextRenewal = now + leaseMs * 1_000_000L / RENEWALS;
      } else {
        lease.lost();
      }
    }
  }

  private JsonNode ask(ObjectNode request, long until) {
    try {
      return keepers.call(request, until);
    } catch (UnreachableException e) {
      return null;
    }
  }

  private void carryOut(JsonNode r, ReleaseController.Next next) {
    if (next instanceof ReleaseController.Submit s) {
      if (s.op().equals("release_intend") && System.nanoTime() - notBefore < 0) {
        return;
      }
      ObjectNode entry = Json.object().put("op", s.op()).put("release", release);
      s.with().forEach((k, v) -> entry.putPOJO(k, v));
      JsonNode o =
          ask(
              Json.object().put("op", "submit").set("entry", Json.read(Json.bytes(entry))),
              System.nanoTime() + leaseMs * 1_000_000L);
      String status = o == null ? "unreachable" : o.path("status").asText();
      if (s.op().equals("release_intend") && !status.equals("granted")) {
        notBefore = System.nanoTime() + REFUSED_MS * 1_000_000L;
      } else if (!s.op().equals("release_drive") || status.equals("done")) {
        log.accept(
            s.op().substring("release_".length())
                + " "
                + s.with().getOrDefault("target", "")
                + ": "
                + status
                + (o != null && o.has("why") ? " " + o.path("why") : ""));
      }
    } else if (next instanceof ReleaseController.Run run) {
      if (r.path("carry").path("by").asText().equals("agent")) {
        conductor.ended(run, new ReleaseController.Ended(true, ""));
        return;
      }
      commands.execute(
          () -> {
            Result x =
                command(r, "command", run.target(), run.action(), run.fence(), run.version());
            ends.add(
                () -> conductor.ended(run, new ReleaseController.Ended(x.status() == 0, x.text())));
          });
    } else if (next instanceof ReleaseController.Look look) {
      commands.execute(
          () -> {
            Result x = command(r, "check", look.target(), look.action(), look.fence(), "");
            ends.add(
                () ->
                    conductor.seen(
                        look,
                        x.status() == 0
                            ? new ReleaseController.Seen(
                                x.output().lines().findFirst().orElse("").strip())
                            : new ReleaseController.Seen("")));
          });
    }
  }

  private record Result(int status, String output, String text) {}

  private Result command(
      JsonNode r, String which, String target, long action, long fence, String version) {
    List<String> words = new ArrayList<>();
    r.path("carry")
        .path(which)
        .forEach(
            w -> words.add(w.asText().replace("{target}", target).replace("{version}", version)));
    long timeout = r.path("carry").path("timeout_ms").asLong(60_000);
    // The last look before it begins: guards against a process that stood still between the
    // ledger's word and here.
    if (!lease.holds(System.nanoTime())) {
      return new Result(-1, "", "the driver's lease was over");
    }
    ProcessBuilder b = new ProcessBuilder(words).redirectErrorStream(true);
    String path = System.getenv("PATH");
    b.environment().clear();
    b.environment().put("PATH", path == null ? "/usr/bin:/bin" : path);
    b.environment().put("LEADFERRY_RELEASE", release);
    b.environment().put("LEADFERRY_TARGET", target);
    b.environment().put("LEADFERRY_VERSION", version);
    b.environment().put("LEADFERRY_FENCE", Long.toString(fence));
    b.environment().put("LEADFERRY_ACTION", Long.toString(action));
    log.accept(
        which + " " + target + (version.isEmpty() ? "" : " to " + version) + ", fence " + fence);
    try {
      Process p = b.start();
      p.getOutputStream().close();
      StringBuilder output = new StringBuilder();
      Thread reader = new Thread(() -> read(p.getInputStream(), output), "output");
      reader.setDaemon(true);
      reader.start();
      boolean ended = p.waitFor(timeout, TimeUnit.MILLISECONDS);
      if (!ended) {
        p.descendants().forEach(ProcessHandle::destroyForcibly);
        p.destroyForcibly();
        p.waitFor();
      }
      reader.join(1_000); // a child of its own may hold the output open
      String said;
      synchronized (output) {
        said = output.toString();
      }
      int status = ended ? p.exitValue() : -1;
      String text =
          which
              + (ended ? " ended with " + status : " was killed after " + timeout + " ms")
              + (said.isBlank() ? "" : ": " + cut(said.strip()));
      if (status != 0) {
        log.accept(target + ": " + text);
      }
      return new Result(status, said, text);
    } catch (IOException e) {
      log.accept(target + ": " + which + " can't be run: " + e.getMessage());
      return new Result(-1, "", which + " can't be run: " + e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new Result(-1, "", which + " was cut off");
    }
  }

  private static String cut(String s) {
    return s.length() > 200 ? s.substring(0, 200) + "..." : s;
  }

  /**
   * Keeps the begin and reads on to the end, so that what writes without end is not held up, nor
   * holds us.
   */
  private static void read(InputStream in, StringBuilder into) {
    byte[] chunk = new byte[1_024];
    int n;
    try {
      while ((n = in.read(chunk)) >= 0) {
        synchronized (into) {
          if (into.length() < MOST_OUTPUT) {
            into.append(new String(chunk, 0, n, StandardCharsets.UTF_8));
          }
        }
      }
    } catch (IOException e) {
      // killed
    }
  }

  @Override
  public void close() {
    closed = true;
    commands.shutdownNow();
  }
}
