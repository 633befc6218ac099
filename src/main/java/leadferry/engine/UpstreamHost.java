package leadferry.engine;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Set;

/** Tracks one host's address, eligibility and connections. */
public final class UpstreamHost {
  /**
   * New idle limit after a connection was found dead, as a share of the time for which that
   * connection had been idle. The limit is at least {@link #MIN_IDLE_LIMIT_NANOS}.
   */
  private static final double IDLE_LIMIT_SHARE = 0.7;

  private static final long MIN_IDLE_LIMIT_NANOS = 50_000_000L;

  /** Time (ns) in which a lowered idle limit doubles. */
  private static final double IDLE_LIMIT_DOUBLING_NANOS = 60e9;

  public final String name;
  final long id;
  InetSocketAddress address;
  boolean sendable;
  boolean listed;

  /**
   * Zone of the host, and below it the cell. The load balancer decides on a send by the zone and
   * cell of the host. Once the host belongs to another zone or cell, an attempt decided before must
   * not be sent to it.
   */
  String zone = "";

  long cell;

  /**
   * Start (ms, load balancer clock) of the host's process as reported by discovery; connections to
   * an earlier process are dead.
   */
  double startedAt;

  /**
   * Start of the host's process in Unix time (ms), as stated by discovery. A different value means
   * that the process was restarted.
   */
  double startedUnixMs;

  /** Host that has taken over the address of this one, or null. */
  UpstreamHost replacedBy;

  /** Connections that carry no attempt. */
  final IdleConnections idleConnections = new IdleConnections();

  /** Attempts that wait for a connection, oldest first. */
  final ArrayDeque<Attempt> pendingAttempts = new ArrayDeque<>(2);

  /** Whether a pass over {@link #pendingAttempts} is scheduled for the end of a rest. */
  boolean dispatchScheduled;

  /** Connection slots of this host that the workers share, or null. */
  HostConnectionSlots connectionSlots;

  /**
   * Whether the host has sent bytes that belong to no response. {@link #surplusAtNanos} is the time
   * (ns) at which such bytes last arrived.
   */
  boolean hasSentSurplus;

  long surplusAtNanos;

  final Set<Attempt> connectingAttempts = new LinkedHashSet<>(2);
  int openAttempts;
  private long maxIdleNanos = Long.MAX_VALUE;
  private long maxIdleSetAtNanos;

  UpstreamHost(String name, long id) {
    this.name = name;
    this.id = id;
  }

  /** Records that the host sent bytes that belong to no response. */
  void onSurplusBytes() {
    hasSentSurplus = true;
    surplusAtNanos = System.nanoTime();
  }

  /**
   * Returns the time (ns) for which a connection may be idle and still be used, as learned from
   * dead connections.
   */
  long maxIdleNanos(long now) {
    return maxIdleNanos == Long.MAX_VALUE
        ? maxIdleNanos
        : (long)
            (maxIdleNanos
                * Math.pow(2, (double) (now - maxIdleSetAtNanos) / IDLE_LIMIT_DOUBLING_NANOS));
  }

  /**
   * Lowers the idle limit after a connection that had been idle for {@code idleNanos} failed as
   * soon as the next request was written. Guards against hosts or middleboxes that drop idle
   * connections earlier than the settings state: a request that was written to such a connection
   * may not be safe to repeat. The lowered limit doubles every {@link #IDLE_LIMIT_DOUBLING_NANOS},
   * so longer idle times are tried again. Where connections end for reasons unrelated to their age,
   * the cost is extra new connections.
   */
  void onIdleConnectionDead(long idleNanos, long now) {
    long loweredNanos = Math.max(MIN_IDLE_LIMIT_NANOS, (long) (IDLE_LIMIT_SHARE * idleNanos));
    if (loweredNanos < maxIdleNanos(now)) {
      maxIdleNanos = loweredNanos;
      maxIdleSetAtNanos = now;
    }
  }
}
