package leadferry.engine;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.BooleanSupplier;

/**
 * Limits all file descriptors of the process. Connections to hosts have a claim to half of them at
 * any time. Client connections have the other half, and can borrow the part of the first half that
 * connections to hosts leave unused. Borrowed descriptors are returned when a connection to a host
 * is to be opened: idle connections to hosts close first, in the order in which they became idle,
 * then client connections, in the order in which the protocol's server evicts them.
 *
 * <pre>
 *   |&lt;------- clients, at least -------&gt;|&lt;- lent -&gt;|&lt;- margin -&gt;|&lt;- open to hosts -&gt;|
 *   0                                 half                                       all of them
 * </pre>
 */
public final class SocketBudget {
  /** Connection that carries no attempt and may be closed to free its descriptor. */
  interface IdleConnection {
    void closeIdle();
  }

  /**
   * Descriptors reserved for the JVM itself, the listeners, discovery, operators and connections
   * that are being closed.
   */
  private static final int RESERVED = 40;

  /**
   * Minimum number of descriptors of each side (client connections, connections to hosts), even
   * where another process uses the rest.
   */
  private static final int MIN_PER_SIDE = 8;

  private final int descriptors;
  private int limitPerSide;
  private BooleanSupplier clientCloser = () -> false;
  private int otherClients;
  private int otherUpstreams;
  private final Set<IdleConnection> idleUpstreams = new LinkedHashSet<>();
  private int clientCount;
  private int upstreamCount;

  /**
   * Creates a budget for a process that may open {@code descriptors} file descriptors and at first
   * uses all of them alone.
   */
  public SocketBudget(int descriptors) {
    this.descriptors = descriptors;
    useAllDescriptors();
  }

  /** Assigns all descriptors to this process. */
  public void useAllDescriptors() {
    limitPerSide = Math.max(MIN_PER_SIDE, (descriptors - RESERVED) / 2);
    otherClients = 0;
    otherUpstreams = 0;
  }

  /**
   * Shares the budget with another process, which holds {@code otherProcessClients} client and
   * {@code otherProcessUpstreams} host connections. Connections already open in this process stay
   * open.
   */
  public void shareDescriptors(int otherProcessClients, int otherProcessUpstreams) {
    limitPerSide = Math.max(MIN_PER_SIDE, (descriptors - 2 * RESERVED) / 2);
    otherClients = otherProcessClients;
    otherUpstreams = otherProcessUpstreams;
  }

  /**
   * Sets the action that evicts one client connection, which the protocol's server chooses. The
   * action returns false where no client connection can be evicted.
   */
  public void setClientCloser(BooleanSupplier closer) {
    clientCloser = closer;
  }

  /**
   * Returns the number of client connections permitted now: half of all descriptors, plus the part
   * of the other half that connections to hosts leave unused, less a margin.
   */
  private int clientLimit() {
    int hosts = upstreamCount + otherUpstreams;
    return Math.max(
        limitPerSide,
        2 * limitPerSide - hosts - Math.max(MIN_PER_SIDE, Math.max(hosts, limitPerSide) / 4));
  }

  /** Returns the number of open client connections. */
  public int clientCount() {
    return clientCount;
  }

  /** Returns the number of connections to hosts that are open or being opened. */
  public int upstreamCount() {
    return upstreamCount;
  }

  /** Whether one more client connection may be accepted. */
  public boolean hasRoomForClient() {
    return clientCount < Math.max(MIN_PER_SIDE, clientLimit() - otherClients);
  }

  /**
   * Whether so few descriptors are left for client connections that each should close after its
   * current response.
   */
  public boolean isNearClientLimit() {
    int max = clientLimit();
    return clientCount + otherClients >= max - Math.max(2, max / 16);
  }

  /**
   * Closes idle connections to hosts, and client connections on borrowed descriptors, until one
   * more connection to a host fits. Returns whether that connection may be opened.
   */
  public boolean makeRoomForUpstream() {
    int max = Math.max(MIN_PER_SIDE, limitPerSide - otherUpstreams);
    while (upstreamCount >= max && !idleUpstreams.isEmpty()) {
      IdleConnection oldest = idleUpstreams.iterator().next();
      idleUpstreams.remove(oldest);
      oldest.closeIdle();
    }
    // Client connections close to return borrowed descriptors.
    while (upstreamCount < max && isLackingRoom() && clientCloser.getAsBoolean()) {
      // repeat until there is room or no client connection can be closed
    }
    return upstreamCount < max && !isLackingRoom();
  }

  /**
   * Whether client connections hold borrowed descriptors that the next connection to a host needs.
   */
  private boolean isLackingRoom() {
    int openClients = clientCount + otherClients;
    return openClients > limitPerSide
        && openClients + upstreamCount + otherUpstreams >= 2 * limitPerSide;
  }

  /**
   * Whether one more request fits beside {@code carried} others; each request needs a connection to
   * a host.
   */
  public boolean hasRoomForRequest(int carried) {
    return carried < limitPerSide;
  }

  /** Counts an accepted client connection. */
  public void onClientOpened() {
    clientCount++;
  }

  /** Removes a closed client connection from the count. */
  public void onClientClosed() {
    clientCount--;
  }

  void onUpstreamOpened() {
    upstreamCount++;
  }

  void onUpstreamClosed() {
    upstreamCount--;
  }

  void setUpstreamIdle(IdleConnection connection, boolean isIdle) {
    if (isIdle) {
      idleUpstreams.add(connection);
    } else {
      idleUpstreams.remove(connection);
    }
  }
}
