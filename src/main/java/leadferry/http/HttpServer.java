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
import java.util.Set;
import java.util.concurrent.TimeUnit;
import leadferry.engine.AcceptBackoffHandler;
import leadferry.engine.BodyBudget;
import leadferry.engine.Dispatcher;
import leadferry.engine.Log;
import leadferry.engine.ReadLagTracker;
import leadferry.engine.SocketBudget;
import leadferry.engine.Transport;
import leadferry.engine.UpstreamConnectionPool;

/** Accepts client connections on one event loop and owns all of them. */
public final class HttpServer {
  /**
   * Maximum number of connections accepted in one read of the listener. A larger number could
   * exceed the limit of clients before {@link #ensureClientCapacity} checks it.
   */
  private static final int ACCEPTS_PER_READ = 4;

  /**
   * Maximum number of connections that are examined for eviction per accepted connection if another
   * component owns the listening socket. Guards against a burst of thousands of connections: an
   * examination of all connections for each accepted one would keep the event loop from detecting
   * that clients have disconnected.
   */
  private static final int MAX_EVICTION_CANDIDATES = 32;

  /** Pause (ms) of the listener while no connection can be evicted. */
  private static final long ACCEPT_PAUSE_MILLIS = 20;

  private final Transport transport;
  private final SocketBudget sockets;
  private final BodyBudget budget;
  private final HeadBudget headBudget;
  private final Log log;
  private final HttpServerSettings settings;
  private RequestFilter filter;
  private final ClientConnections connections = new ClientConnections();
  private final RequestIdTable requestIds;
  private Listener listener;
  private boolean draining;
  private int openCalls;
  private long sheddingSinceNanos;
  private long memoryRejections;
  private long headRejections;
  private long socketRejections;

  /**
   * Creates a server for one event loop. It listens by itself after {@link #listen}; otherwise
   * another component passes accepted connections to {@link #onAccepted}.
   */
  public HttpServer(
      HttpServerSettings settings,
      RequestFilter filter,
      Transport transport,
      SocketBudget sockets,
      BodyBudget budget,
      HeadBudget headBudget,
      RequestIdTable requestIds,
      Log log) {
    this.transport = transport;
    this.settings = settings;
    this.filter = filter;
    this.sockets = sockets;
    this.budget = budget;
    this.headBudget = headBudget;
    this.requestIds = requestIds;
    this.log = log;
    sockets.setClientCloser(this::evictForUpstream);
  }

  /**
   * Binds the listening socket with {@code SO_REUSEPORT}, so that other processes can listen on the
   * same address.
   *
   * @throws Exception the failure of the bind
   */
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

  /** Returns the listening socket, or null if accepted connections are passed to this server. */
  public Channel listener() {
    return listener;
  }

  /**
   * Accepts the connections in the backlog and closes the listening socket. Used when another
   * process listens on the same address.
   */
  public void stopListening() {
    listener.acceptBacklogAndClose();
  }

  /**
   * Starts or stops shedding clients. While it is enabled, every response carries {@code
   * Connection: close}, and a connection without traffic is closed after a delay (see {@link
   * ConnectionTimeouts}).
   */
  public void setClientShedding(boolean enabled) {
    draining = enabled;
    sheddingSinceNanos = enabled ? System.nanoTime() : 0;
  }

  /**
   * Whether the process is close to its limit of client sockets. Guards against clients that open a
   * new connection for each request and keep the old one open: responses close their connections
   * while this is true.
   */
  boolean isCrowded() {
    return sockets.isNearClientLimit();
  }

  /**
   * Returns the {@link System#nanoTime} at which shedding of clients began, or 0 if it is disabled.
   */
  long sheddingSinceNanos() {
    return sheddingSinceNanos;
  }

  /** Adds an accepted connection; called on its event loop. */
  public void onAccepted(SocketChannel channel) {
    RequestDecoder decoder = new RequestDecoder(headBudget);
    sockets.onClientOpened();
    // The close future is used because handlers are not notified of a connection that is reset
    // before its channel becomes active.
    channel.closeFuture().addListener(f -> sockets.onClientClosed());
    ClientConnection connection =
        new ClientConnection(this, channel, decoder, earliestAcceptNanos());
    channel.pipeline().addLast(decoder, new HttpResponseEncoder(), connection);
    if (listener != null) {
      ensureClientCapacity();
    } else if (!sockets.hasRoomForClient() && !connections.evictOne(MAX_EVICTION_CANDIDATES)) {
      // Another component accepts for several servers. A new connection is closed if this server
      // is full and can evict no other connection.
      channel.close();
    }
  }

  /**
   * Returns the earliest {@link System#nanoTime} at which the kernel can have completed the
   * handshake of the connection that is accepted now. A server without a listening socket of its
   * own returns {@link #readUntilNanos}.
   */
  private long earliestAcceptNanos() {
    return listener == null ? readUntilNanos() : listener.earliestAcceptNanos();
  }

  /**
   * Evicts connections until one more client can be accepted, and pauses the listener if none can
   * be evicted; further clients wait in the backlog. Guards regular clients against bursts of
   * connections: silent connections and those with a finished response are evicted first. This also
   * closes connections that clients leave open unused. Drawback: while sockets are scarce, a
   * regular client that connects long before its first request is disconnected.
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

  /**
   * Evicts a client connection to free a socket for an upstream connection; returns false if none
   * can be evicted.
   */
  private boolean evictForUpstream() {
    return connections.evictOne(listener == null ? MAX_EVICTION_CANDIDATES : Integer.MAX_VALUE);
  }

  /**
   * Called when the listener accepts again after a failed accept. Evicts connections if clients are
   * at their limit, because the next connection may be accepted before this server has counted it.
   */
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
   * Returns the {@link System#nanoTime} up to which the event loop has read all input of clients.
   * Guards against a close of the connection of a client whose request is in the kernel's buffer
   * while the event loop is late: without this bound the client looks silent.
   */
  static long readUntilNanos() {
    return System.nanoTime() - ReadLagTracker.lagNanos();
  }

  ClientConnections connections() {
    return connections;
  }

  /** Counts a request that was passed to the engine. */
  void onCallStarted() {
    openCalls++;
  }

  /**
   * Counts the end of a request that was passed to the engine: it has its response, or its client
   * has disconnected.
   */
  void onCallEnded() {
    openCalls--;
  }

  /** Whether the socket limit leaves an upstream connection for one more request. */
  boolean hasUpstreamCapacity() {
    return sockets.hasRoomForRequest(openCalls);
  }

  /** Returns the ids of requests that no other request may have. */
  RequestIdTable requestIds() {
    return requestIds;
  }

  /**
   * Starts the drain of this process: responses carry {@code Connection: close}, and idle
   * connections are closed.
   */
  public void drain() {
    draining = true;
    connections.closeIdleForDrain();
  }

  /**
   * Closes connections that carry no request and whose clients had time to send one; used when no
   * new client is expected. A client whose request crosses the close sends it again on a new
   * connection. Returns true if any connection was closed.
   */
  public boolean closeIdleConnections() {
    return connections.closeIdle();
  }

  /**
   * Ends all requests at the end of the grace period: each open request gets an error response, and
   * an incomplete request is rejected.
   */
  public void terminateConnections() {
    connections.terminateAll();
  }

  /** Whether responses carry {@code Connection: close}. */
  public boolean isDraining() {
    return draining;
  }

  /** Whether no client is connected. */
  public boolean hasNoClients() {
    return connections.isEmpty();
  }

  /** Whether any request that was received, completely or in part, has no response yet. */
  public boolean hasPendingRequests() {
    return connections.hasPendingRequests();
  }

  /**
   * Adds the pools that filters have selected for requests which are still being received, and
   * which the pools don't know yet, to a set.
   */
  public void addAwaitingPoolsTo(Set<Dispatcher> pools) {
    connections.addAwaitingPoolsTo(pools);
  }

  /** Enforces the time limits of all connections; must be called several times a second. */
  public void enforceTimeouts() {
    connections.enforceTimeouts();
  }

  Transport transport() {
    return transport;
  }

  void recordMemoryRejection() {
    log.line(
        "request rejected unsent: out of memory for bodies (total: " + ++memoryRejections + ")");
  }

  void recordHeadRejection() {
    log.line("request rejected unsent: out of memory for heads (total: " + ++headRejections + ")");
  }

  void recordSocketRejection() {
    log.line("request rejected unsent: out of sockets (total: " + ++socketRejections + ")");
  }

  /** Returns the limits of this server's connections. */
  public HttpServerSettings settings() {
    return settings;
  }

  RequestFilter filter() {
    return filter;
  }

  /**
   * Replaces the filter for all following requests. Requests that were received before keep the
   * result of their filter.
   */
  public void setFilter(RequestFilter newFilter) {
    filter = newFilter;
  }

  BodyBudget budget() {
    return budget;
  }

  HeadBudget headBudget() {
    return headBudget;
  }

  Log log() {
    return log;
  }
}
