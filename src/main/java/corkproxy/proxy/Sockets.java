package corkproxy.proxy;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The bound over all descriptors. Idle connections, oldest first, make room for new ones: clients'
 * for clients, and hosts' for either.
 */
final class Sockets {
  /** A connection that carries nothing and may be closed to make room. */
  interface Idle {
    void closeIdle();
  }

  /** Descriptors of the JVM itself, the listener, discovery and what is being closed. */
  private static final int RESERVED = 48;

  /** Part of the sockets that clients may use: each of their requests needs one to a host too. */
  private static final double CLIENT_PART = 0.6;

  private final int limit;
  private final int clientLimit;
  private final Set<Idle> idleClients = new LinkedHashSet<>();
  private final Set<Idle> idleUpstreams = new LinkedHashSet<>();
  private int clients;
  private int upstreams;

  Sockets(int descriptors) {
    this.limit = Math.max(16, descriptors - RESERVED);
    this.clientLimit = Math.max(8, (int) (CLIENT_PART * limit));
  }

  /** Whether one more client may be accepted once something idle was closed. */
  boolean roomForClient() {
    while (clients >= clientLimit) {
      if (!closeOldest(idleClients)) {
        return false;
      }
    }
    return clients + upstreams < limit || closeOldest(idleUpstreams) || closeOldest(idleClients);
  }

  /** Whether one more connection to a host may be opened once something idle was closed. */
  boolean roomForUpstream() {
    return clients + upstreams < limit || closeOldest(idleUpstreams) || closeOldest(idleClients);
  }

  private static boolean closeOldest(Set<Idle> idle) {
    if (idle.isEmpty()) {
      return false;
    }
    Idle oldest = idle.iterator().next();
    idle.remove(oldest);
    oldest.closeIdle();
    return true;
  }

  /** Whether not one more descriptor may be taken. */
  boolean exhausted() {
    return clients + upstreams >= limit;
  }

  void clientOpened() {
    clients++;
  }

  void clientClosed(Idle c) {
    clients--;
    idleClients.remove(c);
  }

  void upstreamOpened() {
    upstreams++;
  }

  void upstreamClosed() {
    upstreams--;
  }

  void clientIdle(Idle c, boolean idle) {
    mark(idleClients, c, idle);
  }

  void upstreamIdle(Idle c, boolean idle) {
    mark(idleUpstreams, c, idle);
  }

  private static void mark(Set<Idle> set, Idle c, boolean idle) {
    if (idle) {
      set.add(c);
    } else {
      set.remove(c);
    }
  }
}
