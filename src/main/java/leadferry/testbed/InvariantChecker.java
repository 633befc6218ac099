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
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Checks the guarantees of the fleet by outside observation: its own probes of each proxy, the
 * requests executed at upstreams, the responses that clients got, and the test's own clock and
 * faults. It never relies on what the tested processes report about themselves.
 */
final class InvariantChecker implements AutoCloseable {
  private static final int PROBE_INTERVAL_MILLIS = 100;
  private static final int PROBE_TIMEOUT_MILLIS = 1_500;

  /** A probe result older than this, in nanoseconds, no longer describes the present state. */
  private static final long MAX_PROBE_AGE_NANOS = 2_000_000_000L;

  /**
   * Number of consecutive probe timeouts after which a proxy counts as unreachable. A single
   * timeout may be caused by a busy machine.
   */
  private static final int TIMEOUTS_UNTIL_UNREACHABLE = 2;

  /** The result of a health probe. */
  enum ProbeResult {
    SERVING,
    NOT_SERVING,
    /** The connection failed, or the response was neither status 200 nor status 503. */
    UNREACHABLE,
    /** No response arrived within the probe timeout. */
    TIMED_OUT
  }

  private record Observation(ProbeResult result, long atNanos) {}

  /**
   * Number of executions at a drained upstream and number of unsafe requests executed more than
   * once.
   */
  record UpstreamViolations(long sentToDrained, long executedTwice) {}

  /**
   * An interval, in nanoseconds, in which an upstream was reported out of service at every proxy.
   */
  private record DrainInterval(String upstream, long startNanos, long endNanos) {
    boolean covers(ExecutionLog.Execution execution) {
      return upstream.equals(execution.upstream())
          && execution.atNanos() > startNanos
          && execution.atNanos() < endNanos;
    }
  }

  /**
   * An interval, in nanoseconds, in which the test itself kept a proxy down. {@code endNanos} is
   * {@link Long#MAX_VALUE} until the proxy responds again.
   */
  private static final class Downtime {
    final long startNanos;

    /** When the proxy's process was resumed or started again; {@link Long#MAX_VALUE} before. */
    volatile long processRunningNanos = Long.MAX_VALUE;

    /** When the proxy responded to a probe again; {@link Long#MAX_VALUE} before. */
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
      releaseDowntimes.put(name, new CopyOnWriteArrayList<>());
      // No proxy has been started yet.
      faultDowntimes.put(name, new CopyOnWriteArrayList<>(List.of(new Downtime(startNanos))));
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

  /** Probes {@code proxy} immediately and returns the result. */
  ProbeResult probeNow(String proxy) {
    return probe(proxyAddresses.get(proxy));
  }

  /**
   * Records that a release begins to restart {@code proxy}, which closes its port for a while and
   * counts as out of service.
   */
  void onRestartStarted(String proxy) {
    releaseDowntimes.get(proxy).add(new Downtime(System.nanoTime()));
  }

  /** Records that {@code proxy} responds again after a restart by a release. */
  void onRestartFinished(String proxy) {
    List<Downtime> downtimes = releaseDowntimes.get(proxy);
    downtimes.get(downtimes.size() - 1).endNanos = System.nanoTime();
  }

  ProbeResult lastProbeResult(String proxy) {
    Observation observation = observations.get(proxy);
    return observation == null ? ProbeResult.UNREACHABLE : observation.result();
  }

  /**
   * Checks that no more proxies are out of service than allowed. Proxies that the test took down
   * itself do not count.
   */
  private synchronized void checkProxiesOut() {
    long now = System.nanoTime();
    Set<String> out = new TreeSet<>();
    observations.forEach(
        (name, observation) -> {
          if (now - observation.atNanos() < MAX_PROBE_AGE_NANOS
              && observation.result() != ProbeResult.SERVING
              && !wasDownAt(name, observation.atNanos())) {
            out.add(
                name
                    + (observation.result() == ProbeResult.NOT_SERVING
                        ? " reports not serving"
                        : " does not respond"));
          }
        });
    if (out.size() > Math.max(maxProxiesOut, proxiesAllowed)) {
      addViolation(
          String.format(
              Locale.ROOT,
              "after %.1f s: too many proxies out of service at once: %s (allowed: %d)",
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

  /** Records that the test takes {@code proxy} down by killing, suspending or starting it. */
  void onTakenDown(String proxy) {
    faultDowntimes.get(proxy).add(new Downtime(System.nanoTime()));
  }

  /** Records that the process of {@code proxy} was resumed or started again. */
  void onProcessRunning(String proxy) {
    List<Downtime> downtimes = faultDowntimes.get(proxy);
    downtimes.get(downtimes.size() - 1).processRunningNanos = System.nanoTime();
  }

  /** Records that {@code proxy} responds to probes again. */
  void onRecovered(String proxy) {
    List<Downtime> downtimes = faultDowntimes.get(proxy);
    if (!downtimes.isEmpty()) {
      downtimes.get(downtimes.size() - 1).endNanos = System.nanoTime();
    }
  }

  private boolean wasDownAt(String proxy, long atNanos) {
    return faultDowntimes.get(proxy).stream()
        .anyMatch(
            downtime ->
                atNanos >= downtime.startNanos - 500_000_000L && atNanos <= downtime.endNanos);
  }

  /** Returns the number of proxies that the test took down and that have not responded since. */
  int proxiesTakenDown() {
    return (int)
        faultDowntimes.values().stream()
            .filter(
                downtimes ->
                    downtimes.stream().anyMatch(downtime -> downtime.endNanos == Long.MAX_VALUE))
            .count();
  }

  /**
   * Returns the proxies whose processes the test has kept from running without interruption since
   * before {@code nanos}.
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
   * Records a drain grant for {@code proxy}. {@code proxiesDown} are the proxies that were down
   * long before the call and still are; they use up the budget.
   */
  synchronized void onProxyGranted(String proxy, Set<String> proxiesDown) {
    Set<String> out = new TreeSet<>(proxiesDown);
    out.add(proxy);
    if (out.size() > proxiesAllowed) {
      violations.add(
          "drain granted although proxies that are down use up the budget: "
              + out
              + ", "
              + proxiesAllowed
              + " allowed");
    }
  }

  /** Records that an operator was told that {@code upstream} is out of service at every proxy. */
  synchronized void onUpstreamDrained(String upstream) {
    drainStartNanos.put(upstream, System.nanoTime());
    maxUpstreamsOut = Math.max(maxUpstreamsOut, drainStartNanos.size());
    if (drainStartNanos.size() > upstreamsAllowed) {
      violations.add(
          "too many hosts out of service at once: "
              + new TreeSet<>(drainStartNanos.keySet())
              + ", "
              + upstreamsAllowed
              + " allowed");
    }
  }

  /** Returns an upstream that is out of service, or null. */
  String anyDrainedUpstream() {
    return drainStartNanos.keySet().stream().findFirst().orElse(null);
  }

  /** Records that {@code upstream} is about to return to service. */
  synchronized void onUpstreamReturning(String upstream) {
    Long startNanos = drainStartNanos.remove(upstream);
    if (startNanos != null) {
      drainIntervals.add(new DrainInterval(upstream, startNanos, System.nanoTime()));
    }
  }

  /**
   * Records a completed client request. A request without a valid response is lost, unless the test
   * had the proxy down between {@code dueNanos} and {@code endNanos}.
   */
  void onRequestCompleted(
      String proxy, LoadGenerator.Outcome outcome, long dueNanos, long endNanos) {
    if (outcome != LoadGenerator.Outcome.UNANSWERED && outcome != LoadGenerator.Outcome.WRONG) {
      return;
    }
    List<Downtime> downtimes = new ArrayList<>(faultDowntimes.get(proxy));
    downtimes.addAll(releaseDowntimes.get(proxy));
    for (Downtime downtime : downtimes) {
      if (dueNanos <= downtime.endNanos && endNanos >= downtime.startNanos) {
        return; // the test had the process down while it held the request
      }
    }
    lostRequests.incrementAndGet();
    addViolation(
        String.format(
            Locale.ROOT,
            "after %.1f s: request lost at %s: %s %.0f ms after its due time",
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
   * Checks the executions at upstreams: none at a drained upstream, and no unsafe request twice.
   *
   * @param unsafePrefixes prefixes of the ids of requests that may run at most once
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
            addViolation(
                "unsafe request " + id + " was executed " + requestExecutions.size() + " times");
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
