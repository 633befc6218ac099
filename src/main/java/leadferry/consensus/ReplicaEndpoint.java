package leadferry.consensus;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.util.Arrays;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

/** Where members and operators reach a keeper: an object a line, each way, over TCP. */
final class ReplicaEndpoint implements AutoCloseable {
  private static final int MOST_CONNECTIONS = 20_000;

  /** A connection that has said nothing for so long (s) is closed. */
  private static final int IDLE_S = 120;

  private final ReplicaConfig config;
  private final Replica keeper;
  private final Consumer<String> log;
  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(
          2, new DefaultThreadFactory("keeper-api", true), NioIoHandler.newFactory());
  private final Set<Session> sessions = ConcurrentHashMap.newKeySet();
  private final AtomicBoolean pushing = new AtomicBoolean();
  private Channel listener;

  ReplicaEndpoint(ReplicaConfig config, Replica keeper, Consumer<String> log) {
    this.config = config;
    this.keeper = keeper;
    this.log = log;
  }

  void log(String line) {
    log.accept(line);
  }

  /** Listens; throws if the address can't be had. */
  void listen() throws IOException {
    var bound =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.SO_BACKLOG, 4_096)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel ch) {
                    if (sessions.size() >= MOST_CONNECTIONS) {
                      ch.close();
                      return;
                    }
                    ch.pipeline()
                        .addLast(
                            new io.netty.handler.timeout.ReadTimeoutHandler(
                                IDLE_S, TimeUnit.SECONDS),
                            new LineBasedFrameDecoder(ReplicaConnection.MOST_BYTES, true, true),
                            new Session(ch));
                  }
                })
            .bind(config.api())
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new IOException(
          "api: " + config.api() + " can't be listened on: " + bound.cause().getMessage());
    }
    listener = bound.channel();
  }

  /** The ledger may have changed. */
  void changed() {
    if (pushing.compareAndSet(false, true)) {
      group.next().execute(this::push);
    }
  }

  void tick() {
    changed();
  }

  private void push() {
    pushing.set(false);
    ObjectNode view = null;
    long version;
    synchronized (keeper.ledger()) {
      version = keeper.ledger().version();
      if (sessions.stream().anyMatch(s -> s.behind(version))) {
        view = keeper.ledger().view();
      }
    }
    if (view == null) {
      return;
    }
    byte[] line = line(Json.object().put("push", true).set("view", view));
    for (Session s : sessions) {
      if (s.behind(version)) {
        s.version = version;
        s.channel.writeAndFlush(Unpooled.wrappedBuffer(line));
      }
    }
  }

  private static byte[] line(ObjectNode o) {
    byte[] bytes = Json.bytes(o);
    byte[] line = Arrays.copyOf(bytes, bytes.length + 1);
    line[bytes.length] = '\n';
    return line;
  }

  /** One connection. */
  private final class Session extends SimpleChannelInboundHandler<ByteBuf> {
    final Channel channel;
    volatile boolean watches;
    volatile long version = -1;

    Session(Channel channel) {
      this.channel = channel;
    }

    /** Whether it watches, lacks this version, and takes bytes. */
    boolean behind(long now) {
      return watches && version < now && channel.isWritable();
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      sessions.add(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      sessions.remove(this);
    }

    /** Guards against one that asks and never reads its answers. */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
      channel.config().setAutoRead(channel.isWritable());
      ctx.fireChannelWritabilityChanged();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
      ObjectNode q = Json.read(ByteBufUtil.getBytes(frame));
      if (q == null) {
        ctx.close();
        return;
      }
      long id = q.path("id").asLong();
      if (!q.path("fleet").asText().equals(config.fleet())) {
        answer(id, Json.object().put("error", "this is fleet " + config.fleet()));
        return;
      }
      String op = q.path("op").asText();
      switch (op) {
        case "submit" -> submit(id, q);
        case "renew" -> renew(id, q);
        case "health" -> answer(id, keeper.health());
        case "status" -> read(id, () -> keeper.ledger().status(q.path("history").asBoolean()));
        case "release" -> read(id, () -> keeper.ledger().release(q.path("release").asText("")));
        case "reports" -> read(id, keeper::reports);
        case "explain" ->
            read(
                id,
                () -> keeper.ledger().explain(q.path("kind").asText(), q.path("name").asText()));
        case "permit" -> read(id, () -> keeper.ledger().permit(q.path("permit").asText()));
        default ->
            answer(
                id,
                Json.object()
                    .put(
                        "error",
                        "op: '"
                            + op
                            + "' (expected: submit, renew, status, release, reports, explain, permit, health)"));
      }
    }

    private void submit(long id, ObjectNode q) {
      if (!(q.path("entry") instanceof ObjectNode entry) || !LogEntryCodec.isSubmittable(entry)) {
        answer(id, Json.object().put("error", "entry: one that can't be put into the log"));
        return;
      }
      watches |= LogEntryCodec.isJoin(entry);
      keeper.submit(entry, o -> answer(id, o));
    }

    private void renew(long id, ObjectNode q) {
      keeper.confirmed(
          no -> {
            if (no != null) {
              answer(id, keeper.leads() ? Json.object().put("undecided", no) : keeper.elsewhere());
              return;
            }
            if (q.has("release")) {
              boolean drives =
                  keeper.renewDriver(q.path("release").asText(), q.path("fence").asLong());
              answer(id, Json.object().put("status", drives ? "done" : "unknown"));
              return;
            }
            watches = true;
            String name = q.path("name").asText();
            boolean lives = keeper.renew(name, q.path("session").asLong());
            if (lives) {
              keeper.report(name, q.path("session").asLong(), q.path("report"));
            }
            boolean wanted;
            synchronized (keeper.ledger()) {
              wanted = keeper.ledger().reportsWanted();
            }
            answer(
                id, Json.object().put("status", lives ? "done" : "unknown").put("reports", wanted));
          });
    }

    private void read(long id, java.util.function.Supplier<ObjectNode> what) {
      keeper.confirmed(
          no -> {
            if (no != null) {
              answer(id, keeper.leads() ? Json.object().put("undecided", no) : keeper.elsewhere());
              return;
            }
            ObjectNode o;
            synchronized (keeper.ledger()) {
              o = what.get();
            }
            answer(id, o);
          });
    }

    private void answer(long id, ObjectNode o) {
      channel.writeAndFlush(Unpooled.wrappedBuffer(line(o.put("id", id))));
    }
  }

  @Override
  public void close() {
    if (listener != null) {
      listener.close();
    }
    group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
  }
}
