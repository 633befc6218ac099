package leadferry.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import leadferry.engine.AcceptBackoff;
import leadferry.engine.BodyBudget;
import leadferry.engine.Log;
import leadferry.engine.ReadHorizon;
import leadferry.engine.Sockets;
import leadferry.engine.Transport;
import leadferry.engine.UpstreamConnectionPool;

/** The side that faces the application: listens, and knows all of its connections. */
public final class HttpServer {
  /** Connections taken in one go; more might pass the limit before it is looked at. */
  private static final int ACCEPTS = 4;

  /**
   * Connections looked at for one accept where another listens. Guards against a crowd of thousands
   * whose every connect costs a look at all of them, until nobody reads that they have gone.
   */
  private static final int LOOKS = 32;

  /** How long (ms) the listener rests where nothing can make room yet. */
  private static final long REST_MS = 20;

  private final Transport transport;
  private final Sockets sockets;
  private final BodyBudget budget;
  private final Log log;
  private final HttpServerSettings settings;
  private RequestFilter gate;
  private final Set<ClientConnection> connections = new LinkedHashSet<>();
  private final Set<String> openIds = new HashSet<>();
  private Listener listener;
  private boolean draining;
  private int carried;
  private long awaySince;
  private long refusedForMemory;
  private long refusedForSockets;

  /** A front of one loop; it listens itself, or is given what another has accepted. */
  public HttpServer(
      HttpServerSettings settings,
      RequestFilter gate,
      Transport transport,
      Sockets sockets,
      BodyBudget budget,
      Log log) {
    this.transport = transport;
    this.settings = settings;
    this.gate = gate;
    this.sockets = sockets;
    this.budget = budget;
    this.log = log;
    sockets.onWanted(this::yieldOne);
  }

  /** Listens, beside other processes that do; throws what the bind throws. */
  public void listen(EventLoopGroup loop, InetSocketAddress address) throws Exception {
    listener =
        (Listener)
            new ServerBootstrap()
                .group(loop)
                .channel(Listener.class)
                .option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true)
                .option(ChannelOption.SO_BACKLOG, Listener.BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(
                    ChannelOption.RECVBUF_ALLOCATOR,
                    new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(ACCEPTS))
                .handler(new AcceptBackoff(log::line, this::acceptsAgain))
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, UpstreamConnectionPool.READS)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, UpstreamConnectionPool.MARKS)
                .childHandler(
                    new ChannelInitializer<SocketChannel>() {
                      @Override
                      protected void initChannel(SocketChannel ch) {
                        accepted(ch);
                      }
                    })
                .bind(address)
                .sync()
                .channel();
  }

  public Channel listener() {
    return listener;
  }

  /** Another process listens in this one's place: closes the socket once its backlog is empty. */
  public void leaveListening() {
    listener.takeRestAndClose();
  }

  /**
   * Sends clients away, or no longer: every answer asks to leave, and a connection goes once
   * nothing has come on it for a while.
   */
  public void sendAway(boolean away) {
    draining = away;
    awaySince = away ? System.nanoTime() : 0;
  }

  /**
   * Guards against clients that ask once and stay, where each of their requests comes on a new
   * connection.
   */
  boolean crowded() {
    return sockets.crowded();
  }

  /** Since when (ns) clients are sent away, 0 if they are not. */
  long awaySince() {
    return awaySince;
  }

  /** Takes a connection that has been accepted; called on its loop. */
  public void accepted(SocketChannel ch) {
    RequestDecoder decoder = new RequestDecoder();
    sockets.clientOpened();
    // Not with the handlers: they never hear of a connection that was reset before its turn.
    ch.closeFuture().addListener(f -> sockets.clientClosed());
    ch.pipeline()
        .addLast(
            decoder, new HttpResponseEncoder(), new ClientConnection(this, ch, decoder, letInAt()));
    if (listener != null) {
      makeRoom();
    } else if (!sockets.roomForClient()) {
      // Another accepts for many: what can make no room of its own is the newcomer.
      ClientConnection c = mostDispensable(LOOKS);
      if (c == null) {
        ch.close();
      } else {
        c.close(CloseReason.MAKE_ROOM);
      }
    }
  }

  /**
   * The earliest (ns) at which the connection that is accepted now can have been let in, where this
   * front listens itself.
   */
  private long letInAt() {
    return listener == null ? heard() : listener.since();
  }

  /**
   * Sees to it that one more client can be accepted. Guards usual clients against crowds: whoever
   * says nothing, or has been answered, makes room, and where nobody can, the rest waits in the
   * backlog for a moment. It also catches clients that leave connections behind. It does harm where
   * a usual client connects long before it speaks, and only in a crowd.
   */
  private void makeRoom() {
    while (!sockets.roomForClient()) {
      ClientConnection c = mostDispensable(Integer.MAX_VALUE);
      if (c == null) {
        if (listener.config().isAutoRead()) {
          listener.config().setAutoRead(false);
          listener.eventLoop().schedule(this::rested, REST_MS, TimeUnit.MILLISECONDS);
        }
        return;
      }
      c.close(CloseReason.MAKE_ROOM);
    }
  }

  /** A host's connection needs the place of a client that can be spared; false if there is none. */
  private boolean yieldOne() {
    ClientConnection c = mostDispensable(listener == null ? LOOKS : Integer.MAX_VALUE);
    if (c != null) {
      c.close(CloseReason.MAKE_ROOM);
    }
    return c != null;
  }

  /**
   * The listener had to wait for the system; the first connections may come before it is known
   * here.
   */
  private void acceptsAgain() {
    if (listener != null) {
      makeRoom();
    }
  }

  private void rested() {
    if (listener.isOpen()) {
      listener.config().setAutoRead(true);
      makeRoom();
    }
  }

  /** Of the oldest connections, so many of them, the one that makes room most readily, or null. */
  private ClientConnection mostDispensable(int looks) {
    long now = heard();
    int left = looks;
    ClientConnection found = null;
    EvictionOrder least = EvictionOrder.NEVER;
    for (ClientConnection c : connections) {
      EvictionOrder order = c.evictionOrder(now);
      if (order.compareTo(least) < 0) {
        found = c;
        least = order;
      }
      if (--left <= 0) {
        break;
      }
    }
    return found;
  }

  /**
   * Until when (ns) all that clients have sent has been read. Guards against the end of one whose
   * request stands in the kernel while the loop is behind: it looks silent for as long as nobody
   * reads.
   */
  static long heard() {
    return System.nanoTime() - ReadHorizon.behind();
  }

  void opened(ClientConnection c) {
    connections.add(c);
  }

  void closed(ClientConnection c) {
    connections.remove(c);
  }

  /** A request has been given to the engine. */
  void carries() {
    carried++;
  }

  /** Such a request has its answer, or its client has gone. */
  void carried() {
    carried--;
  }

  /** Whether there is a connection to a host to be had for one more. */
  boolean roomForRequest() {
    return sockets.roomForRequest(carried);
  }

  /** Takes the id of a request; false if a request that is open has it. */
  boolean openId(String id) {
    return openIds.add(id);
  }

  void closeId(String id) {
    openIds.remove(id);
  }

  /** The client proxy goes: answers tell clients to move off, and idle connections are closed. */
  public void drain() {
    draining = true;
    for (ClientConnection c : new ArrayList<>(connections)) {
      if (c.closableAtDrain()) {
        c.close(CloseReason.DRAINING);
      }
    }
  }

  /**
   * Nobody new is expected, and nobody may stay: closes what carries nothing and had time to speak.
   * A request that crosses that close comes again, on a new connection. True if any was closed.
   */
  public boolean clear() {
    boolean any = false;
    for (ClientConnection c : new ArrayList<>(connections)) {
      if (c.closable(heard())) {
        c.close(CloseReason.DRAINING);
        any = true;
      }
    }
    return any;
  }

  /**
   * No more time: each request that is open is answered as failed, and what has not come whole is
   * turned away.
   */
  public void giveUp() {
    for (ClientConnection c : new ArrayList<>(connections)) {
      c.terminate();
    }
  }

  public boolean draining() {
    return draining;
  }

  /** Whether no client is connected. */
  public boolean empty() {
    return connections.isEmpty();
  }

  /** Whether anything that was taken, or is being taken, has no answer yet. */
  public boolean busy() {
    for (ClientConnection c : connections) {
      if (c.busy()) {
        return true;
      }
    }
    return false;
  }

  /** Upkeep, a few times a second. */
  public void sweep() {
    long now = heard();
    for (ClientConnection c : new ArrayList<>(connections)) {
      c.enforceTimeouts(now);
    }
  }

  Transport transport() {
    return transport;
  }

  void refusedForMemory() {
    log.line("out of memory for bodies: " + ++refusedForMemory + " requests refused unsent");
  }

  void refusedForSockets() {
    log.line("out of sockets: " + ++refusedForSockets + " requests refused unsent");
  }

  public HttpServerSettings settings() {
    return settings;
  }

  RequestFilter gate() {
    return gate;
  }

  /** From the next head on, this gate judges; what was taken goes on as it was taken. */
  public void gate(RequestFilter next) {
    gate = next;
  }

  BodyBudget budget() {
    return budget;
  }

  Log log() {
    return log;
  }
}
