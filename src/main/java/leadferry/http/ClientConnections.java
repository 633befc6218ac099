package leadferry.http;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import leadferry.engine.Dispatcher;

/**
 * Open connections of one server, oldest first; selects the connection to evict when sockets are
 * scarce.
 *
 * <p>Used only on the server's event loop.
 */
final class ClientConnections {
  private final Set<ClientConnection> connections = new LinkedHashSet<>();

  void add(ClientConnection connection) {
    connections.add(connection);
  }

  void remove(ClientConnection connection) {
    connections.remove(connection);
  }

  boolean isEmpty() {
    return connections.isEmpty();
  }

  /**
   * Evicts the connection that is first in {@link EvictionOrder} among the {@code maxCandidates}
   * oldest connections; returns false if none of them may be evicted.
   */
  boolean evictOne(int maxCandidates) {
    ClientConnection connection = findMostEvictable(maxCandidates);
    if (connection == null) {
      return false;
    }
    connection.close(CloseReason.MAKE_ROOM);
    return true;
  }

  private ClientConnection findMostEvictable(int maxCandidates) {
    long nowNanos = HttpServer.readUntilNanos();
    int candidatesLeft = maxCandidates;
    ClientConnection candidate = null;
    EvictionOrder lowestOrder = EvictionOrder.NEVER;
    for (ClientConnection connection : connections) {
      EvictionOrder order = connection.evictionOrder(nowNanos);
      if (order.compareTo(lowestOrder) < 0) {
        candidate = connection;
        lowestOrder = order;
      }
      if (--candidatesLeft <= 0) {
        break;
      }
    }
    return candidate;
  }

  /** Closes idle connections at the start of a drain. */
  void closeIdleForDrain() {
    for (ClientConnection connection : snapshot()) {
      if (connection.isClosableAtDrain()) {
        connection.closeUnused(CloseReason.DRAINING);
      }
    }
  }

  /**
   * Closes idle connections whose clients had time to send a request; returns true if any was
   * closed.
   */
  boolean closeIdle() {
    boolean anyClosed = false;
    for (ClientConnection connection : snapshot()) {
      if (connection.isClosable(HttpServer.readUntilNanos())) {
        connection.closeUnused(CloseReason.DRAINING);
        anyClosed = true;
      }
    }
    return anyClosed;
  }

  /** Sends an error response for each open request and rejects incomplete requests. */
  void terminateAll() {
    for (ClientConnection connection : snapshot()) {
      connection.terminate();
    }
  }

  /** Whether any request that was received, completely or in part, has no response yet. */
  boolean hasPendingRequests() {
    for (ClientConnection connection : connections) {
      if (connection.isBusy()) {
        return true;
      }
    }
    return false;
  }

  /** Adds the pools of requests that are still being received to a set. */
  void addAwaitingPoolsTo(Set<Dispatcher> pools) {
    for (ClientConnection connection : connections) {
      Dispatcher pool = connection.awaitingPool();
      if (pool != null) {
        pools.add(pool);
      }
    }
  }

  /** Enforces the time limits of all connections. */
  void enforceTimeouts() {
    long nowNanos = HttpServer.readUntilNanos();
    for (ClientConnection connection : snapshot()) {
      connection.enforceTimeouts(nowNanos);
    }
  }

  /** Returns a copy, because a connection may be removed during the iteration. */
  private ArrayList<ClientConnection> snapshot() {
    return new ArrayList<>(connections);
  }
}
