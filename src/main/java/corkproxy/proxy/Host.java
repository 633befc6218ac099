package corkproxy.proxy;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Set;

/** A host as the sockets see it: where it listens, whether it may get work, its connections. */
final class Host {
  final String name;
  final long id;
  InetSocketAddress address;
  boolean sendable;
  boolean listed;

  /** When its process started, as discovery tells: connections to an earlier one are dead. */
  double started;
  final ArrayDeque<UpstreamConnection> idle = new ArrayDeque<>(2);
  final Set<UpstreamCall> connecting = new LinkedHashSet<>(2);
  int calls;

  Host(String name, long id) {
    this.name = name;
    this.id = id;
  }
}
