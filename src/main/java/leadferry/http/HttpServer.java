package leadferry.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import leadferry.engine.AcceptBackoffHandler;
import leadferry.engine.BodyBudget;
import leadferry.engine.Log;
import leadferry.engine.ReadLagTracker;
import leadferry.engine.SocketBudget;
import leadferry.engine.Transport;
import leadferry.engine.UpstreamConnectionPool;

/** The side that faces the application: listens, and knows all of its connections. */
public final class HttpServer {
  /** Connections taken in one go; more might pass the limit before it is looked at. */
  private static final int ACCEPTS_PER_READ = 4;

  /**
   * Connections looked at for one accept where another listens. Guards against a crowd of thousands
   * whose every connect costs a look at all of them, until nobody reads that they have gone.
   */
  private static final int MAX_EVICTION_CANDIDATES = 32;

  /** How long (ms) the listener rests where nothing can make room yet. */
  private static final long ACCEPT_PAUSE_MILLIS = 20;

  private final Transport transport;
  private final SocketBudget sockets;
  private final BodyBudget budget;
  private final Log log;
  private final HttpServerSettings settings;
  private RequestFilter filter;
  private final ClientConnections connections = new ClientConnections();
  private final Set<String> openRequestIds = new HashSet<>();
  private Listener listener;
  private boolean draining;
  private int openCalls;
  private long sheddingSinceNanos;
  private long memoryRejections;
  private long socketRejections;

  /** A server of one loop; it listens itself, or is given what another has accepted. */
  public HttpServer(
      HttpServerSettings settings,
      RequestFilter filter,
      Transport transport,
      SocketBudget sockets,
      BodyBudget budget,
      Log log) {
    this.transport = transport;
    this.settings = settings;
    this.filter = filter;
    this.sockets = sockets;
    this.budget = budget;
    this.log = log;
    sockets.setClientCloser(this::evictForUpstream);
  }

  /** Listens, beside other processes that do; throws what the bind throws. */
  public void listen(EventLoopGroup loop, InetSocketAddress address) throws Exception {
    AcceptBackoffHandler backoff = new AcceptBackoffHandler(log::line, this::onAcceptResumed);
    listener =
        (Listener)
            ServerSockets.bootstrap(
                    loop, Listener.class, Listener.BACKLOG, backoff, this::onAccepted)
                .option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true)
                .option(
                    ChannelOption.RECVBUF_ALLOCATOR,
                    new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(ACCEPTS_PER_READ))
                .childOption(
                    ChannelOption.RECVBUF_ALLOCATOR, UpstreamConnectionPool.READ_BUFFER_ALLOCATOR)
                .childOption(
                    ChannelOption.WRITE_BUFFER_WATER_MARK,
                    UpstreamConnectionPool.WRITE_BUFFER_WATER_MARK)
                .bind(address)
                .sync()
                .channel();
  }

  /** The listening socket, or null if connections are given to this server. */
  public Channel listener() {
    return listener;
  }

  /** Another process listens in this one's place: closes the socket once its backlog is empty. */
  public void stopListening() {
    listener.acceptBacklogAndClose();
  }

  /**
   * Sends clients away, or no longer: every answer asks to leave, and a connection goes once
   * nothing has come on it for a while.
   */
  public void setClientShedding(boolean enabled) {
    draining = enabled;
    sheddingSinceNanos = enabled ? System.nanoTime() : 0;
  }

  /**
   * Guards against clients that ask once and stay, where each of their requests comes on a new
   * connection.
   */
  boolean isCrowded() {
    return sockets.isNearClientLimit();
  }

  /** Since when (ns) clients are sent away, 0 if they are not. */
  long sheddingSinceNanos() {
    return sheddingSinceNanos;
  }

  /** Takes a connection that has been accepted; called on its loop. */
  public void onAccepted(SocketChannel channel) {
    RequestDecoder decoder = new RequestDecoder();
    sockets.onClientOpened();
    // Not with the handlers: they never hear of a connection that was reset before its turn.
    channel.closeFuture().addListener(f -> sockets.onClientClosed());
    ClientConnection connection =
        new ClientConnection(this, channel, decoder, earliestAcceptNanos());
    channel.pipeline().addLast(decoder, new HttpResponseEncoder(), connection);
    if (listener != null) {
      ensureClientCapacity();
    } else if (!sockets.hasRoomForClient() && !connections.evictOne(MAX_EVICTION_CANDIDATES)) {
      // Another accepts for many: what can make no room of its own is the newcomer.
      channel.close();
    }
  }

  /**
   * The earliest (ns) at which the connection that is accepted now can have been let in, where this
   * server listens itself.
   */
  private long earliestAcceptNanos() {
    return listener == null ? readUntilNanos() : listener.earliestAcceptNanos();
  }

  /**
   * Sees to it that one more client can be accepted. Guards usual clients against crowds: whoever
   * says nothing, or has been answered, makes room, and where nobody can, the rest waits in the
   * backlog for a moment. It also catches clients that leave connections behind. It does harm where
   * a usual client connects long before it speaks, and only in a crowd.
   */
  private void ensureClientCapacity() {
    while (!sockets.hasRoomForClient()) {
      if (!connections.evictOne(Integer.MAX_VALUE)) {
        pauseAccepting();
        return;
      }
    }
  }

  private void pauseAccepting() {
    if (listener.config().isAutoRead()) {
      listener.config().setAutoRead(false);
      listener
          .eventLoop()
          .schedule(this::resumeAccepting, ACCEPT_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /** An upstream connection needs the place of a client that can be spared; false if none can. */
  private boolean evictForUpstream() {
    return connections.evictOne(listener == null ? MAX_EVICTION_CANDIDATES : Integer.MAX_VALUE);
  }

  /** The listener had to wait for the system; it may accept before it is known here. */
  private void onAcceptResumed() {
    if (listener != null) {
      ensureClientCapacity();
    }
  }

  private void resumeAccepting() {
    if (listener.isOpen()) {
      listener.config().setAutoRead(true);
      ensureClientCapacity();
    }
  }

  /**
   * Until when (ns) all that clients have sent has been read. Guards against the end of one whose
   * request stands in the kernel while the loop is behind: it looks silent for as long as nobody
   * reads.
   */
  static long readUntilNanos() {
    return System.nanoTime() - ReadLagTracker.lagNanos();
  }

  ClientConnections connections() {
    return connections;
  }

  /** A request has been given to the engine. */
  void onCallStarted() {
    openCalls++;
  }

  /** Such a request has its answer, or its client has gone. */
  void onCallEnded() {
    openCalls--;
  }

  /** Whether there is a connection to a host to be had for one more. */
  boolean hasUpstreamCapacity() {
    return sockets.hasRoomForRequest(openCalls);
  }

  /** Takes the id of a request; false if a request that is open has it. */
  boolean claimRequestId(String id) {
    return openRequestIds.add(id);
  }

  void releaseRequestId(String id) {
    openRequestIds.remove(id);
  }

  /** The client proxy goes: answers tell clients to move off, and idle connections are closed. */
  public void drain() {
    draining = true;
    connections.closeIdleForDrain();
  }

  /**
   * Nobody new is expected, and nobody may stay: closes what carries nothing and had time to speak.
   * A request that crosses that close comes again, on a new connection. True if any was closed.
   */
  public boolean closeIdleConnections() {
    return connections.closeIdle();
  }

  /**
   * No more time: each request that is open is answered as failed, and what has not come whole is
   * turned away.
   */
  public void terminateConnections() {
    connections.terminateAll();
  }

  /** Whether responses ask their clients to leave. */
  public boolean isDraining() {
    return draining;
  }

  /** Whether no client is connected. */
  public boolean hasNoClients() {
    return connections.isEmpty();
  }

  /** Whether anything that was taken, or is being taken, has no answer yet. */
  public boolean hasPendingRequests() {
    return connections.hasPendingRequests();
  }

  /** Ends what takes too long; to be called a few times a second. */
  public void enforceTimeouts() {
    connections.enforceTimeouts();
  }

  Transport transport() {
    return transport;
  }

  void recordMemoryRejection() {
    log.line("out of memory for bodies: " + ++memoryRejections + " requests refused unsent");
  }

  void recordSocketRejection() {
    log.line("out of sockets: " + ++socketRejections + " requests refused unsent");
  }

  /** The bounds of its connections. */
  public HttpServerSettings settings() {
    return settings;
  }

  RequestFilter filter() {
    return filter;
  }

  /**
   * From the next head on, this filter judges; requests that were taken before go on under theirs.
   */
  public void setFilter(RequestFilter newFilter) {
    filter = newFilter;
  }

  BodyBudget budget() {
    return budget;
  }

  Log log() {
    return log;
  }
}
