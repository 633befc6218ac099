package leadferry.engine;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Set;

/** A host as the sockets see it: where it listens, whether it may get work, its connections. */
public final class UpstreamHost {
  /** Part of an idle time found dead that is trusted from then on, and the least of it. */
  private static final double KEEP_PART = 0.7;

  private static final long KEEP_LEAST_NANOS = 50_000_000L;

  /** The time in which the trusted idle time doubles again. */
  private static final double KEEP_DOUBLES_NANOS = 60e9;

  public final String name;
  final long id;
  InetSocketAddress address;
  boolean sendable;
  boolean listed;

  /**
   * Where it stands: what was judged by a group of hosts may not go to it once it belongs to
   * another.
   */
  String zone = "";

  long cell;

  /** When its process started, as discovery tells: connections to an earlier one are dead. */
  double startedAt;

  /**
   * The same in Unix time (ms) by the discovery's clock: what tells one start of its process from
   * another.
   */
  double startedUnixMs;

  /** Connections that carry nothing. */
  final IdleConnections idleConnections = new IdleConnections();

  /** Attempts that wait for a connection, the oldest first. */
  final ArrayDeque<Attempt> pendingAttempts = new ArrayDeque<>(2);

  /** Whether a look at {@link #pendingAttempts} is scheduled for the end of a rest. */
  boolean dispatchScheduled;

  /** This host's part in the places that workers share, or null. */
  HostConnectionSlots connectionSlots;

  /** Whether, and when (ns) last, bytes came behind an answer that belong to none. */
  boolean hasSentSurplus;

  long surplusAtNanos;

  final Set<Attempt> connectingAttempts = new LinkedHashSet<>(2);
  int openAttempts;
  private long keepNanos = Long.MAX_VALUE;
  private long keepSince;

  UpstreamHost(String name, long id) {
    this.name = name;
    this.id = id;
  }

  /** Bytes came behind an answer of this host's that belong to none. */
  void onSurplusBytes() {
    hasSentSurplus = true;
    surplusAtNanos = System.nanoTime();
  }

  /** How long (ns) a connection here may stand idle and still be used, by what has been seen. */
  long maxIdleNanos(long now) {
    return keepNanos == Long.MAX_VALUE
        ? keepNanos
        : (long) (keepNanos * Math.pow(2, (double) (now - keepSince) / KEEP_DOUBLES_NANOS));
  }

  /**
   * A connection that had stood idle for so long was dead without a sign when the next request was
   * written to it. Guards against hosts, or boxes between, that drop idle connections sooner than
   * the settings say: each such request may not be repeated. What has been learned is tried again
   * in time. It costs new connections where the ends of connections have nothing to do with age.
   */
  void onIdleConnectionDead(long idleNanos, long now) {
    long kept = Math.max(KEEP_LEAST_NANOS, (long) (KEEP_PART * idleNanos));
    if (kept < maxIdleNanos(now)) {
      keepNanos = kept;
      keepSince = now;
    }
  }
}
