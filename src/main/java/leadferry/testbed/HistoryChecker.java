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
final class HistoryChecker implements AutoCloseable {
  private static final int PROBE_MS = 100;
  private static final int PATIENCE_MS = 1_500;

  /** An answer of a probe that is older than this (ns) tells nothing of now. */
  private static final long FRESH_NANOS = 2_000_000_000L;

  /**
   * So many probes in a row that had no answer in time make a proxy out; one may be the machine's
   * doing.
   */
  private static final int SLOW_ONES = 2;

  /** What a probe saw. */
  enum Seen {
    SERVES,
    SAYS_NO,
    /** Nothing is there. */
    NOTHING,
    /** No answer in time. */
    SLOW
  }

  private record Look(Seen seen, long at) {}

  /** Requests that ran at a drained upstream, and unsafe ones that ran more than once. */
  record UpstreamViolations(long sentToDrained, long executedTwice) {}

  /** A time (ns) in which an upstream was said to be out of service everywhere. */
  private record DrainedTime(String host, long from, long until) {
    boolean covers(ExecutionLog.Execution run) {
      return host.equals(run.host()) && run.at() > from && run.at() < until;
    }
  }

  /**
   * A time (ns) in which the rig itself had a proxy down; {@code to} Long.MAX_VALUE while it has.
   */
  private static final class Down {
    final long from;

    /** When its process went on, or was started again. */
    volatile long runs = Long.MAX_VALUE;

    /** When it had been seen to answer. */
    volatile long to = Long.MAX_VALUE;

    Down(long from) {
      this.from = from;
    }
  }

  private final Map<String, InetSocketAddress> proxies;
  private final int proxiesAllowed;
  private final int hostsAllowed;
  private final Map<String, Look> looks = new ConcurrentHashMap<>();
  private final Map<String, List<Down>> downs = new ConcurrentHashMap<>();
  private final Map<String, List<Down>> restarts = new ConcurrentHashMap<>();
  private final Map<String, Long> hostsOut = new ConcurrentHashMap<>();
  private final List<DrainedTime> drainedTimes = new ArrayList<>();
  private final Set<String> broken = new TreeSet<>();
  private final AtomicLong lost = new AtomicLong();
  private final long began = System.nanoTime();
  private volatile boolean closed;
  private int proxiesMost;
  private int hostsMost;

  HistoryChecker(Map<String, InetSocketAddress> proxies, int proxiesAllowed, int hostsAllowed) {
    this.proxies = proxies;
    this.proxiesAllowed = proxiesAllowed;
    this.hostsAllowed = hostsAllowed;
    for (String name : proxies.keySet()) {
      restarts.put(name, new java.util.concurrent.CopyOnWriteArrayList<>());
      downs.put(
          name,
          new java.util.concurrent.CopyOnWriteArrayList<>(
              List.of(new Down(began)))); // nobody has been started yet
      Thread t = new Thread(() -> probe(name), "probe-" + name);
      t.setDaemon(true);
      t.start();
    }
  }

  private void probe(String name) {
    int slow = 0;
    while (!closed) {
      long at = System.nanoTime();
      Seen seen = ask(proxies.get(name));
      slow = seen == Seen.SLOW ? slow + 1 : 0;
      if (seen != Seen.SLOW || slow >= SLOW_ONES) {
        looks.put(name, new Look(seen == Seen.SLOW ? Seen.NOTHING : seen, at));
      }
      count();
      try {
        Thread.sleep(PROBE_MS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private static Seen ask(InetSocketAddress to) {
    try (Socket s = new Socket()) {
      s.connect(to, PATIENCE_MS);
      s.setSoTimeout(PATIENCE_MS);
      s.getOutputStream()
          .write(
              "GET /_health HTTP/1.1\r\nHost: probe\r\nConnection: close\r\n\r\n"
                  .getBytes(StandardCharsets.US_ASCII));
      byte[] head = s.getInputStream().readNBytes(12);
      String status = new String(head, StandardCharsets.US_ASCII);
      return status.endsWith("200")
          ? Seen.SERVES
          : status.endsWith("503") ? Seen.SAYS_NO : Seen.NOTHING;
    } catch (java.net.SocketTimeoutException e) {
      return Seen.SLOW;
    } catch (IOException e) {
      return Seen.NOTHING;
    }
  }

  /** A probe of its own, right now. */
  Seen now(String proxy) {
    return ask(proxies.get(proxy));
  }

  /**
   * It is being restarted because a release says so: its port is closed for a while, and it counts
   * as out.
   */
  void restarts(String proxy) {
    restarts.get(proxy).add(new Down(System.nanoTime()));
  }

  /** It has been seen to answer again after that. */
  void restarted(String proxy) {
    List<Down> all = restarts.get(proxy);
    all.get(all.size() - 1).to = System.nanoTime();
  }

  Seen seen(String proxy) {
    Look l = looks.get(proxy);
    return l == null ? Seen.NOTHING : l.seen();
  }

  /** Proxies that are out and that the rig has not taken down itself. */
  private synchronized void count() {
    long now = System.nanoTime();
    Set<String> out = new TreeSet<>();
    looks.forEach(
        (name, l) -> {
          if (now - l.at() < FRESH_NANOS && l.seen() != Seen.SERVES && !down(name, l.at())) {
            out.add(name + (l.seen() == Seen.SAYS_NO ? " says no" : " is silent"));
          }
        });
    if (out.size() > Math.max(proxiesMost, proxiesAllowed)) {
      breaks(
          String.format(
              Locale.ROOT,
              "after %.1f s proxies out at once: %s, %d allowed",
              (now - began) / 1e9,
              out,
              proxiesAllowed));
    }
    proxiesMost = Math.max(proxiesMost, out.size());
  }

  int proxiesOut() {
    return (int) looks.entrySet().stream().filter(e -> e.getValue().seen() == Seen.SAYS_NO).count();
  }

  /** The rig takes a proxy down, by killing, stopping or starting it. */
  void down(String proxy) {
    downs.get(proxy).add(new Down(System.nanoTime()));
  }

  /** Its process goes on, or has been started again. */
  void runs(String proxy) {
    List<Down> all = downs.get(proxy);
    all.get(all.size() - 1).runs = System.nanoTime();
  }

  /** It has been seen to answer again. */
  void up(String proxy) {
    List<Down> all = downs.get(proxy);
    if (!all.isEmpty()) {
      all.get(all.size() - 1).to = System.nanoTime();
    }
  }

  private boolean down(String proxy, long at) {
    return downs.get(proxy).stream().anyMatch(d -> at >= d.from - 500_000_000L && at <= d.to);
  }

  /** Proxies that the rig took down and that have not been seen to answer since. */
  int downNow() {
    return (int)
        downs.values().stream()
            .filter(all -> all.stream().anyMatch(d -> d.to == Long.MAX_VALUE))
            .count();
  }

  /**
   * Proxies whose processes the rig has kept from running, without a break, since before that time
   * (ns).
   */
  Set<String> deadSince(long before) {
    Set<String> out = new TreeSet<>();
    downs.forEach(
        (name, all) -> {
          if (all.stream()
              .anyMatch(
                  d -> d.from <= before && d.runs == Long.MAX_VALUE && d.to == Long.MAX_VALUE)) {
            out.add(name);
          }
        });
    return out;
  }

  /**
   * A grant came back for this proxy, while others were long dead and still are: they use the
   * budget up.
   */
  synchronized void granted(String proxy, Set<String> dead) {
    Set<String> out = new TreeSet<>(dead);
    out.add(proxy);
    if (out.size() > proxiesAllowed) {
      broken.add(
          "granted while the budget was used up by the dead: "
              + out
              + ", "
              + proxiesAllowed
              + " allowed");
    }
  }

  /** An operator was told that a host is out of service everywhere. */
  synchronized void hostOut(String host) {
    hostsOut.put(host, System.nanoTime());
    hostsMost = Math.max(hostsMost, hostsOut.size());
    if (hostsOut.size() > hostsAllowed) {
      broken.add(
          "hosts out at once: "
              + new TreeSet<>(hostsOut.keySet())
              + ", "
              + hostsAllowed
              + " allowed");
    }
  }

  /** A host that is out, or null. */
  String anyHostOut() {
    return hostsOut.keySet().stream().findFirst().orElse(null);
  }

  /** It is about to be given back. */
  synchronized void hostBack(String host) {
    Long from = hostsOut.remove(host);
    if (from != null) {
      drainedTimes.add(new DrainedTime(host, from, System.nanoTime()));
    }
  }

  /** A client's request is over; {@code start} is when it was due. */
  void request(String proxy, LoadGenerator.Outcome outcome, long start, long end) {
    if (outcome != LoadGenerator.Outcome.UNANSWERED && outcome != LoadGenerator.Outcome.WRONG) {
      return;
    }
    List<Down> away = new ArrayList<>(downs.get(proxy));
    away.addAll(restarts.get(proxy));
    for (Down d : away) {
      if (start <= d.to && end >= d.from) {
        return; // the rig had the process down while it held the request
      }
    }
    lost.incrementAndGet();
    breaks(
        String.format(
            Locale.ROOT,
            "after %.1f s a request was lost at %s: %s %.0f ms after it was due",
            (end - began) / 1e9,
            proxy,
            outcome,
            (end - start) / 1e6));
  }

  synchronized void breaks(String what) {
    if (broken.size() < 100) {
      broken.add(what);
    }
  }

  /**
   * Looks at what ran at upstreams.
   *
   * @param unsafePrefixes the ids of requests that may run once begin so
   */
  synchronized UpstreamViolations checkUpstreams(
      ExecutionLog executions, Set<String> unsafePrefixes) {
    hostsOut.forEach((host, from) -> drainedTimes.add(new DrainedTime(host, from, Long.MAX_VALUE)));
    AtomicLong sentToDrained = new AtomicLong();
    AtomicLong executedTwice = new AtomicLong();
    executions.visit(
        (id, runs) -> {
          for (ExecutionLog.Execution run : runs) {
            long times = drainedTimes.stream().filter(time -> time.covers(run)).count();
            if (times > 0) {
              sentToDrained.addAndGet(times);
              breaks("request sent to drained host " + run.host());
            }
          }
          if (runs.size() > 1 && unsafePrefixes.stream().anyMatch(id::startsWith)) {
            executedTwice.incrementAndGet();
            breaks("unsafe request " + id + " ran " + runs.size() + " times");
          }
        });
    return new UpstreamViolations(sentToDrained.get(), executedTwice.get());
  }

  long lost() {
    return lost.get();
  }

  synchronized int proxiesMost() {
    return proxiesMost;
  }

  synchronized int hostsMost() {
    return hostsMost;
  }

  synchronized List<String> broken() {
    return List.copyOf(broken);
  }

  @Override
  public void close() {
    closed = true;
  }
}
