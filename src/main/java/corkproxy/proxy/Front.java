package corkproxy.proxy;

import corkproxy.balancer.Settings;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** The side that faces the application: listens, and knows all of its connections. */
final class Front {
  private static final int BACKLOG = 1_024;

  private final Dispatcher dispatcher;
  private final Sockets sockets;
  private final BodyBudget budget;
  private final Log log;
  private final int maxOpen;
  private final Map<String, Settings.RequestClass> types = new HashMap<>();
  private final Set<ClientConnection> connections = new LinkedHashSet<>();
  private Channel listener;
  private boolean draining;
  private long refusedForMemory;
  private long refusedForSockets;

  Front(Dispatcher dispatcher, Config config, Sockets sockets, BodyBudget budget, Log log) {
    this.dispatcher = dispatcher;
    this.sockets = sockets;
    this.budget = budget;
    this.log = log;
    this.maxOpen = config.maxOpen();
    for (Settings.RequestClass c : config.settings().classes()) {
      types.put(c.name(), c);
    }
  }

  /** Listens; throws what the bind throws. */
  void listen(EventLoopGroup loop, Config config) throws Exception {
    listener =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, Upstreams.READS)
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, Upstreams.MARKS)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel ch) {
                    accepted(ch);
                  }
                })
            .bind(config.listen())
            .sync()
            .channel();
  }

  Channel listener() {
    return listener;
  }

  private void accepted(SocketChannel ch) {
    boolean overflow = !sockets.roomForClient();
    ClientConnection.Decoder decoder = new ClientConnection.Decoder();
    sockets.clientOpened();
    ch.pipeline()
        .addLast(
            decoder, new HttpResponseEncoder(), new ClientConnection(this, ch, decoder, overflow));
    if (sockets.exhausted()) {
      // Guards against accepts that fail again and again: the rest waits in the backlog.
      listener.config().setAutoRead(false);
    }
  }

  void opened(ClientConnection c) {
    connections.add(c);
    sockets.clientIdle(c, true);
  }

  void closed(ClientConnection c) {
    connections.remove(c);
    sockets.clientClosed(c);
    if (!sockets.exhausted() && listener.isOpen()) {
      listener.config().setAutoRead(true);
    }
  }

  /** The client proxy goes: answers tell clients to move off, and idle connections are closed. */
  void drain() {
    draining = true;
    for (ClientConnection c : new ArrayList<>(connections)) {
      if (!c.busy()) {
        c.closeIdle();
      }
    }
  }

  boolean draining() {
    return draining;
  }

  /** Whether anything that was taken, or is being taken, has no answer yet. */
  boolean busy() {
    for (ClientConnection c : connections) {
      if (c.busy()) {
        return true;
      }
    }
    return false;
  }

  /** Whether requests would be served. */
  boolean ready() {
    return !draining && dispatcher.hosts().anySendable();
  }

  void sweep() {
    long now = System.nanoTime();
    for (ClientConnection c : new ArrayList<>(connections)) {
      c.sweep(now);
    }
  }

  void refusedForMemory() {
    log.line("out of memory for bodies: " + ++refusedForMemory + " requests refused unsent");
  }

  void refusedForSockets() {
    log.line("out of sockets: " + ++refusedForSockets + " requests refused unsent");
  }

  Settings.RequestClass type(String name) {
    return types.get(name);
  }

  Dispatcher dispatcher() {
    return dispatcher;
  }

  Sockets sockets() {
    return sockets;
  }

  BodyBudget budget() {
    return budget;
  }

  Log log() {
    return log;
  }

  int maxOpen() {
    return maxOpen;
  }
}
