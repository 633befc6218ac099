package leadferry.testbed;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Says whether the promises were kept, by what was seen from outside: own probes of each proxy,
 * what hosts ran, what clients were answered, and the rig's own clock and faults. It asks no
 * process of the program for its word.
 */
final class InvariantChecker implements AutoCloseable {
  private static final int PROBE_INTERVAL_MILLIS = 100;
  private static final int PROBE_TIMEOUT_MILLIS = 1_500;

  /** An answer of a probe that is older than this (ns) tells nothing of now. */
  private static final long MAX_PROBE_AGE_NANOS = 2_000_000_000L;

  /**
   * So many probes in a row that had no answer in time make a proxy out; one may be the machine's
   * doing.
   */
  private static final int TIMEOUTS_UNTIL_UNREACHABLE = 2;

  /** What a probe saw. */
  enum ProbeResult {
    SERVING,
    NOT_SERVING,
    /** Nothing is there. */
    UNREACHABLE,
    /** No answer in time. */
    TIMED_OUT
  }

  private record Observation(ProbeResult result, long atNanos) {}

  /** Requests that ran at a drained upstream, and unsafe ones that ran more than once. */
  record UpstreamViolations(long sentToDrained, long executedTwice) {}

  /** A time (ns) in which an upstream was said to be out of service everywhere. */
  private record DrainInterval(String upstream, long startNanos, long endNanos) {
    boolean covers(ExecutionLog.Execution execution) {
      return upstream.equals(execution.upstream())
          && execution.atNanos() > startNanos
          && execution.atNanos() < endNanos;
    }
  }

  /**
   * A time (ns) in which the rig itself had a proxy down; {@code to} Long.MAX_VALUE while it has.
   */
  private static final class Downtime {
    final long startNanos;

    /** When its process went on, or was started again. */
    volatile long processRunningNanos = Long.MAX_VALUE;

    /** When it had been seen to answer. */
    volatile long endNanos = Long.MAX_VALUE;

    Downtime(long startNanos) {
      this.startNanos = startNanos;
    }
  }

  private final Map<String, InetSocketAddress> proxyAddresses;
  private final int proxiesAllowed;
  private final int upstreamsAllowed;
  private final Map<String, Observation> observations = new ConcurrentHashMap<>();
  private final Map<String, List<Downtime>> faultDowntimes = new ConcurrentHashMap<>();
  private final Map<String, List<Downtime>> releaseDowntimes = new ConcurrentHashMap<>();
  private final Map<String, Long> drainStartNanos = new ConcurrentHashMap<>();
  private final List<DrainInterval> drainIntervals = new ArrayList<>();
  private final Set<String> violations = new TreeSet<>();
  private final AtomicLong lostRequests = new AtomicLong();
  private final long startNanos = System.nanoTime();
  private volatile boolean closed;
  private int maxProxiesOut;
  private int maxUpstreamsOut;

  InvariantChecker(
      Map<String, InetSocketAddress> proxyAddresses, int proxiesAllowed, int upstreamsAllowed) {
    this.proxyAddresses = proxyAddresses;
    this.proxiesAllowed = proxiesAllowed;
    this.upstreamsAllowed = upstreamsAllowed;
    for (String name : proxyAddresses.keySet()) {
      releaseDowntimes.put(name, new java.util.concurrent.CopyOnWriteArrayList<>());
      faultDowntimes.put(
          name,
          new java.util.concurrent.CopyOnWriteArrayList<>(
              List.of(new Downtime(startNanos)))); // nobody has been started yet
      Thread thread = new Thread(() -> probeUntilClosed(name), "probe-" + name);
      thread.setDaemon(true);
      thread.start();
    }
  }

  private void probeUntilClosed(String name) {
    int timeouts = 0;
    while (!closed) {
      long atNanos = System.nanoTime();
      ProbeResult result = probe(proxyAddresses.get(name));
      timeouts = result == ProbeResult.TIMED_OUT ? timeouts + 1 : 0;
      if (result != ProbeResult.TIMED_OUT || timeouts >= TIMEOUTS_UNTIL_UNREACHABLE) {
        observations.put(
            name,
            new Observation(
                result == ProbeResult.TIMED_OUT ? ProbeResult.UNREACHABLE : result, atNanos));
      }
      checkProxiesOut();
      try {
        Thread.sleep(PROBE_INTERVAL_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private static ProbeResult probe(InetSocketAddress address) {
    try (Socket socket = new Socket()) {
      socket.connect(address, PROBE_TIMEOUT_MILLIS);
      socket.setSoTimeout(PROBE_TIMEOUT_MILLIS);
      socket
          .getOutputStream()
          .write(
              "GET /_health HTTP/1.1\r\nHost: probe\r\nConnection: close\r\n\r\n"
                  .getBytes(StandardCharsets.US_ASCII));
      byte[] head = socket.getInputStream().readNBytes(12);
      String status = new String(head, StandardCharsets.US_ASCII);
      return status.endsWith("200")
          ? ProbeResult.SERVING
          : status.endsWith("503") ? ProbeResult.NOT_SERVING : ProbeResult.UNREACHABLE;
    } catch (java.net.SocketTimeoutException e) {
      return ProbeResult.TIMED_OUT;
    } catch (IOException e) {
      return ProbeResult.UNREACHABLE;
    }
  }

  /** A probe of its own, right now. */
  ProbeResult probeNow(String proxy) {
    return probe(proxyAddresses.get(proxy));
  }

  /**
   * It is being restarted because a release says so: its port is closed for a while, and it counts
   * as out.
   */
  void onRestartStarted(String proxy) {
    releaseDowntimes.get(proxy).add(new Downtime(System.nanoTime()));
  }

  /** It has been seen to answer again after that. */
  void onRestartFinished(String proxy) {
    List<Downtime> downtimes = releaseDowntimes.get(proxy);
    downtimes.get(downtimes.size() - 1).endNanos = System.nanoTime();
  }

  ProbeResult lastProbeResult(String proxy) {
    Observation observation = observations.get(proxy);
    return observation == null ? ProbeResult.UNREACHABLE : observation.result();
  }

  /** Proxies that are out and that the rig has not taken down itself. */
  private synchronized void checkProxiesOut() {
    long now = System.nanoTime();
    Set<String> out = new TreeSet<>();
    observations.forEach(
        (name, observation) -> {
          if (now - observation.atNanos() < MAX_PROBE_AGE_NANOS
              && observation.result() != ProbeResult.SERVING
              && !onTakenDown(name, observation.atNanos())) {
            out.add(
                name
                    + (observation.result() == ProbeResult.NOT_SERVING
                        ? " says no"
                        : " is silent"));
          }
        });
    if (out.size() > Math.max(maxProxiesOut, proxiesAllowed)) {
      addViolation(
          String.format(
              Locale.ROOT,
              "after %.1f s proxies out at once: %s, %d allowed",
              (now - startNanos) / 1e9,
              out,
              proxiesAllowed));
    }
    maxProxiesOut = Math.max(maxProxiesOut, out.size());
  }

  int proxiesNotServing() {
    return (int)
        observations.entrySet().stream()
            .filter(e -> e.getValue().result() == ProbeResult.NOT_SERVING)
            .count();
  }

  /** The rig takes a proxy down, by killing, stopping or starting it. */
  void onTakenDown(String proxy) {
    faultDowntimes.get(proxy).add(new Downtime(System.nanoTime()));
  }

  /** Its process goes on, or has been started again. */
  void onProcessRunning(String proxy) {
    List<Downtime> downtimes = faultDowntimes.get(proxy);
    downtimes.get(downtimes.size() - 1).processRunningNanos = System.nanoTime();
  }

  /** It has been seen to answer again. */
  void onRecovered(String proxy) {
    List<Downtime> downtimes = faultDowntimes.get(proxy);
    if (!downtimes.isEmpty()) {
      downtimes.get(downtimes.size() - 1).endNanos = System.nanoTime();
    }
  }

  private boolean onTakenDown(String proxy, long atNanos) {
    return faultDowntimes.get(proxy).stream()
        .anyMatch(
            downtime ->
                atNanos >= downtime.startNanos - 500_000_000L && atNanos <= downtime.endNanos);
  }

  /** Proxies that the rig took down and that have not been seen to answer since. */
  int proxiesTakenDown() {
    return (int)
        faultDowntimes.values().stream()
            .filter(
                downtimes ->
                    downtimes.stream().anyMatch(downtime -> downtime.endNanos == Long.MAX_VALUE))
            .count();
  }

  /**
   * Proxies whose processes the rig has kept from running, without a break, since before that time
   * (ns).
   */
  Set<String> proxiesDownSince(long nanos) {
    Set<String> out = new TreeSet<>();
    faultDowntimes.forEach(
        (name, downtimes) -> {
          if (downtimes.stream()
              .anyMatch(
                  downtime ->
                      downtime.startNanos <= nanos
                          && downtime.processRunningNanos == Long.MAX_VALUE
                          && downtime.endNanos == Long.MAX_VALUE)) {
            out.add(name);
          }
        });
    return out;
  }

  /**
   * A grant came back for this proxy, while others were long dead and still are: they use the
   * budget up.
   */
  synchronized void onProxyGranted(String proxy, Set<String> proxiesDown) {
    Set<String> out = new TreeSet<>(proxiesDown);
    out.add(proxy);
    if (out.size() > proxiesAllowed) {
      violations.add(
          "granted while the budget was used up by the dead: "
              + out
              + ", "
              + proxiesAllowed
              + " allowed");
    }
  }

  /** An operator was told that a host is out of service everywhere. */
  synchronized void onUpstreamDrained(String upstream) {
    drainStartNanos.put(upstream, System.nanoTime());
    maxUpstreamsOut = Math.max(maxUpstreamsOut, drainStartNanos.size());
    if (drainStartNanos.size() > upstreamsAllowed) {
      violations.add(
          "hosts out at once: "
              + new TreeSet<>(drainStartNanos.keySet())
              + ", "
              + upstreamsAllowed
              + " allowed");
    }
  }

  /** A host that is out, or null. */
  String anyDrainedUpstream() {
    return drainStartNanos.keySet().stream().findFirst().orElse(null);
  }

  /** It is about to be given back. */
  synchronized void onUpstreamReturning(String upstream) {
    Long startNanos = drainStartNanos.remove(upstream);
    if (startNanos != null) {
      drainIntervals.add(new DrainInterval(upstream, startNanos, System.nanoTime()));
    }
  }

  /** A client's request is over; {@code start} is when it was due. */
  void onRequestCompleted(
      String proxy, LoadGenerator.Outcome outcome, long dueNanos, long endNanos) {
    if (outcome != LoadGenerator.Outcome.UNANSWERED && outcome != LoadGenerator.Outcome.WRONG) {
      return;
    }
    List<Downtime> downtimes = new ArrayList<>(faultDowntimes.get(proxy));
    downtimes.addAll(releaseDowntimes.get(proxy));
    for (Downtime downtime : downtimes) {
      if (dueNanos <= downtime.endNanos && endNanos >= downtime.startNanos) {
        return; // the rig had the process down while it held the request
      }
    }
    lostRequests.incrementAndGet();
    addViolation(
        String.format(
            Locale.ROOT,
            "after %.1f s a request was lost at %s: %s %.0f ms after it was due",
            (endNanos - startNanos) / 1e9,
            proxy,
            outcome,
            (endNanos - dueNanos) / 1e6));
  }

  synchronized void addViolation(String violation) {
    if (violations.size() < 100) {
      violations.add(violation);
    }
  }

  /**
   * Looks at what ran at upstreams.
   *
   * @param unsafePrefixes the ids of requests that may run once begin so
   */
  synchronized UpstreamViolations checkUpstreams(
      ExecutionLog executions, Set<String> unsafePrefixes) {
    drainStartNanos.forEach(
        (upstream, drainedNanos) ->
            drainIntervals.add(new DrainInterval(upstream, drainedNanos, Long.MAX_VALUE)));
    AtomicLong sentToDrained = new AtomicLong();
    AtomicLong executedTwice = new AtomicLong();
    executions.forEach(
        (id, requestExecutions) -> {
          for (ExecutionLog.Execution execution : requestExecutions) {
            long intervals =
                drainIntervals.stream().filter(interval -> interval.covers(execution)).count();
            if (intervals > 0) {
              sentToDrained.addAndGet(intervals);
              addViolation("request sent to drained host " + execution.upstream());
            }
          }
          if (requestExecutions.size() > 1 && unsafePrefixes.stream().anyMatch(id::startsWith)) {
            executedTwice.incrementAndGet();
            addViolation("unsafe request " + id + " ran " + requestExecutions.size() + " times");
          }
        });
    return new UpstreamViolations(sentToDrained.get(), executedTwice.get());
  }

  long lostRequests() {
    return lostRequests.get();
  }

  synchronized int maxProxiesOut() {
    return maxProxiesOut;
  }

  synchronized int maxUpstreamsOut() {
    return maxUpstreamsOut;
  }

  synchronized List<String> violations() {
    return List.copyOf(violations);
  }

  @Override
  public void close() {
    closed = true;
  }
}
