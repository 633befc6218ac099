package leadferry.http;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The open connections of one server, oldest first. Where one is to make room, the most readily
 * spared of the oldest is found here.
 *
 * <p>Used on the server's event loop alone.
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
   * Closes, to make room, the most readily spared of the {@code maxLooks} oldest; false if none.
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

  /** A drain begins: closes what carries nothing. */
  void closeIdleForDrain() {
    for (ClientConnection connection : snapshot()) {
      if (connection.isClosableAtDrain()) {
        connection.close(CloseReason.DRAINING);
      }
    }
  }

  /** Closes what carries nothing and had time to send a request; true if any was closed. */
  boolean closeIdle() {
    boolean anyClosed = false;
    for (ClientConnection connection : snapshot()) {
      if (connection.isClosable(HttpServer.readUntilNanos())) {
        connection.close(CloseReason.DRAINING);
        anyClosed = true;
      }
    }
    return anyClosed;
  }

  /** Answers each request that is open as failed, and rejects what has not come whole. */
  void terminateAll() {
    for (ClientConnection connection : snapshot()) {
      connection.terminate();
    }
  }

  /** Whether anything that was taken, or is being taken, has no response yet. */
  boolean hasPendingRequests() {
    for (ClientConnection connection : connections) {
      if (connection.isBusy()) {
        return true;
      }
    }
    return false;
  }

  /** Ends what takes too long. */
  void enforceTimeouts() {
    long nowNanos = HttpServer.readUntilNanos();
    for (ClientConnection connection : snapshot()) {
      connection.enforceTimeouts(nowNanos);
    }
  }

  /** A copy: a connection may leave the set while it is looked at. */
  private ArrayList<ClientConnection> snapshot() {
    return new ArrayList<>(connections);
  }
}
