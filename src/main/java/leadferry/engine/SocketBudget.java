package leadferry.engine;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.BooleanSupplier;

/**
 * The bound over all descriptors. Half of them are hosts' whenever they need them; clients have the
 * other half, and what hosts leave of their own, which they give back when a host's connection is
 * to be opened: idle ones to hosts go first, oldest first, then whichever client makes room most
 * readily.
 *
 * <pre>
 *   |&lt;------- clients, at least -------&gt;|&lt;- lent -&gt;|&lt;- margin -&gt;|&lt;- open to hosts -&gt;|
 *   0                                 half                                       all of them
 * </pre>
 */
public final class SocketBudget {
  /** A connection that carries nothing and may be closed to make room. */
  interface IdleConnection {
    void closeIdle();
  }

  /**
   * Descriptors of the JVM itself, the listeners, discovery, operators and what is being closed.
   */
  private static final int RESERVED = 40;

  /** A process that goes short because of another keeps so many for each side all the same. */
  private static final int LEAST = 8;

  private final int descriptors;
  private int limit;
  private BooleanSupplier yields = () -> false;
  private int otherClients;
  private int otherUpstreams;
  private final Set<IdleConnection> idleUpstreams = new LinkedHashSet<>();
  private int clients;
  private int upstreams;

  /** A bound for a process that may open so many descriptors, at first all for itself. */
  public SocketBudget(int descriptors) {
    this.descriptors = descriptors;
    useAllDescriptors();
  }

  /** All descriptors are this process's. */
  public void useAllDescriptors() {
    limit = Math.max(LEAST, (descriptors - RESERVED) / 2);
    otherClients = 0;
    otherUpstreams = 0;
  }

  /** Another process goes by the same bound, and holds so many. What is open here stays. */
  public void shareDescriptors(int clientsThere, int upstreamsThere) {
    limit = Math.max(LEAST, (descriptors - 2 * RESERVED) / 2);
    otherClients = clientsThere;
    otherUpstreams = upstreamsThere;
  }

  /**
   * Who closes the client that makes room most readily, where there is one; false if there is none.
   */
  public void setClientCloser(BooleanSupplier closesClient) {
    yields = closesClient;
  }

  /** What clients may have of all now: half, and what hosts leave of theirs but for a margin. */
  private int clientLimit() {
    int hosts = upstreams + otherUpstreams;
    return Math.max(limit, 2 * limit - hosts - Math.max(LEAST, Math.max(hosts, limit) / 4));
  }

  /** Connections of clients that are open. */
  public int clientCount() {
    return clients;
  }

  /** Connections to hosts that are open, or being opened. */
  public int upstreamCount() {
    return upstreams;
  }

  /** Whether one more client may be accepted. */
  public boolean hasRoomForClient() {
    return clients < Math.max(LEAST, clientLimit() - otherClients);
  }

  /** Whether so little is left for clients that those who have their answer should not stay. */
  public boolean isNearClientLimit() {
    int most = clientLimit();
    return clients + otherClients >= most - Math.max(2, most / 16);
  }

  /** Whether one more connection to a host may be opened once something idle was closed. */
  public boolean makeRoomForUpstream() {
    int most = Math.max(LEAST, limit - otherUpstreams);
    while (upstreams >= most && !idleUpstreams.isEmpty()) {
      IdleConnection oldest = idleUpstreams.iterator().next();
      idleUpstreams.remove(oldest);
      oldest.closeIdle();
    }
    // What clients have been lent is the hosts' again when they need it.
    while (upstreams < most && lacks() && yields.getAsBoolean()) {
      // until there is room, or nobody gives way
    }
    return upstreams < most && !lacks();
  }

  /** Whether clients hold what hosts need. */
  private boolean lacks() {
    int others = clients + otherClients;
    return others > limit && others + upstreams + otherUpstreams >= 2 * limit;
  }

  /** Whether one more request may be carried, beside so many: each needs a connection to a host. */
  public boolean hasRoomForRequest(int carried) {
    return carried < limit;
  }

  /** A client's connection has been accepted. */
  public void onClientOpened() {
    clients++;
  }

  /** A client's connection has closed. */
  public void onClientClosed() {
    clients--;
  }

  void onUpstreamOpened() {
    upstreams++;
  }

  void onUpstreamClosed() {
    upstreams--;
  }

  void setUpstreamIdle(IdleConnection connection, boolean idle) {
    if (idle) {
      idleUpstreams.add(connection);
    } else {
      idleUpstreams.remove(connection);
    }
  }
}
