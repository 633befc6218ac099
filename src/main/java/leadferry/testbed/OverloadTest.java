package leadferry.testbed;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * A scripted storm before a proxy on loopback: calm, a trigger, its end, and how long it takes
 * until as many usual clients are served as before.
 *
 * <pre>
 *   calm            trigger          after
 *   |---------------|xxxxxxxxxxxxxxx|------------------------------|
 *    share served    begin()  end()  ^ recovered: a second at 95% of calm's share
 * </pre>
 *
 * <p>Usual clients form a closed loop: each asks, waits for its answer, thinks, asks again on the
 * same connection, and where no answer comes in time it closes and connects anew at once. That is
 * what keeps a collapse up once its trigger has gone: the fewer are served, the more connect.
 * Everything runs on one loop; the number of connections and the time are bounded by the plan.
 */
public final class OverloadTest implements AutoCloseable {
  /** What a client of the crowd does. */
  public enum Crowd {
    /** What a usual one does. */
    USUAL,
    /** The same, but asks again at once on any refusal. */
    RETRYING,
    /** Connects and says nothing. */
    SILENT,
    /** Sends a byte of a head each second. */
    TRICKLING,
    /** Sends the head of a request with a body, and stops. */
    HEADS,
    /** Asks as fast as it can and never reads. */
    DEAF
  }

  /**
   * The plan of a storm; times in seconds, if not named otherwise.
   *
   * @param clients usual clients, over all targets in turn
   * @param thinkMs mean of the exponential time that a usual client waits after an answer
   * @param timeoutMs how long an answer, or a connection, is waited for
   * @param crowd what further clients do between begin and end of the trigger
   * @param crowdSize how many of them, 0 to 20,000
   * @param reconnects whether all usual clients close and connect at once as the trigger begins
   */
  public record Plan(
      List<InetSocketAddress> targets,
      int clients,
      double thinkMs,
      long timeoutMs,
      Crowd crowd,
      int crowdSize,
      boolean reconnects,
      double calm,
      double trigger,
      double after,
      String path,
      long seed) {}

  /** What usual clients met in a tenth of a second, by when they asked. */
  public static final class Bucket {
    private int asked;
    private int served;
    private int refused;
    private int gaveUp;

    /** Requests that began here. */
    public int asked() {
      return asked;
    }

    public int served() {
      return served;
    }

    public int refused() {
      return refused;
    }

    /** Without any answer: time was up, or the connection went. */
    public int gaveUp() {
      return gaveUp;
    }
  }

  /** Buckets a second. */
  public static final int PER_SECOND = 10;

  private static final long REOPEN_MS = 100;
  private static final double RECOVERED = 0.95;

  private final Plan plan;
  private final Runnable begin;
  private final Runnable end;
  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(
          1, new DefaultThreadFactory("storm", true), NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final SplittableRandom random;
  private final Bucket[] buckets;
  private final List<Client> crowd = new ArrayList<>();
  private final List<Client> usual = new ArrayList<>();
  private final String run = Long.toHexString(System.nanoTime());
  private long startedAt;
  private long lastServedAt;
  private long longestGap;
  private boolean crowding;
  private boolean over;
  private long ids;

  /**
   * {@code begin} and {@code end} are the trigger besides the crowd; they run on a thread of their
   * own.
   */
  public OverloadTest(Plan plan, Runnable begin, Runnable end) {
    if (plan.targets().isEmpty()
        || plan.clients() < 1
        || plan.crowdSize() < 0
        || plan.crowdSize() > 20_000) {
      throw new IllegalArgumentException(
          "plan: " + plan + " (expected: a target, clients, at most 20000 in a crowd)");
    }
    this.plan = plan;
    this.begin = begin;
    this.end = end;
    this.random = new SplittableRandom(plan.seed());
    this.buckets =
        new Bucket[(int) Math.ceil((plan.calm() + plan.trigger() + plan.after()) * PER_SECOND) + 1];
    for (int i = 0; i < buckets.length; i++) {
      buckets[i] = new Bucket();
    }
  }

  /** Runs all of it and waits for its end. */
  public void run() throws InterruptedException {
    startedAt = System.nanoTime();
    loop.submit(
            () -> {
              for (int i = 0; i < plan.clients(); i++) {
                Client c =
                    new Client(Crowd.USUAL, plan.targets().get(i % plan.targets().size()), true);
                usual.add(c);
                loop.schedule(
                    c::open, (long) (random.nextDouble() * plan.thinkMs()), TimeUnit.MILLISECONDS);
              }
            })
        .syncUninterruptibly();
    sleepUntil(plan.calm());
    loop.execute(this::beginCrowd);
    begin.run();
    sleepUntil(plan.calm() + plan.trigger());
    end.run();
    loop.execute(this::endCrowd);
    sleepUntil(plan.calm() + plan.trigger() + plan.after());
    loop.submit(
            () -> {
              over = true;
              gap();
              usual.forEach(Client::close);
            })
        .syncUninterruptibly();
  }

  private void sleepUntil(double seconds) throws InterruptedException {
    long left = startedAt + (long) (seconds * 1e9) - System.nanoTime();
    if (left > 0) {
      TimeUnit.NANOSECONDS.sleep(left);
    }
  }

  private void beginCrowd() {
    crowding = true;
    lastServedAt = System.nanoTime();
    longestGap = 0;
    if (plan.reconnects()) {
      usual.forEach(Client::again);
    }
    for (int i = 0; i < plan.crowdSize(); i++) {
      Client c = new Client(plan.crowd(), plan.targets().get(i % plan.targets().size()), false);
      crowd.add(c);
      c.open();
    }
  }

  private void endCrowd() {
    crowding = false;
    crowd.forEach(Client::close);
  }

  private void gap() {
    long now = System.nanoTime();
    longestGap = Math.max(longestGap, now - lastServedAt);
    lastServedAt = now;
  }

  // --- what came of it

  /**
   * Share of the requests of usual clients that were served, of those asked from one second to
   * another.
   */
  public double share(double from, double to) {
    int asked = 0;
    int served = 0;
    for (int i = (int) (from * PER_SECOND);
        i < Math.min(buckets.length, (int) (to * PER_SECOND));
        i++) {
      asked += buckets[i].asked;
      served += buckets[i].served;
    }
    return asked == 0 ? 0 : (double) served / asked;
  }

  /** The share before the trigger, its first second left out. */
  public double calmShare() {
    return share(Math.min(1, plan.calm() / 2), plan.calm());
  }

  public double triggerShare() {
    return share(plan.calm(), plan.calm() + plan.trigger());
  }

  public double afterShare() {
    return share(
        plan.calm() + plan.trigger(),
        plan.calm() + plan.trigger() + plan.after() - plan.timeoutMs() / 1e3);
  }

  /**
   * Seconds from the trigger's end to the first second at 95% of calm's share, or NaN if none came.
   */
  public double recoveredAfter() {
    double from = plan.calm() + plan.trigger();
    double last = from + plan.after() - 1 - plan.timeoutMs() / 1e3;
    for (int i = 0; from + i / (double) PER_SECOND <= last; i++) {
      double t = from + i / (double) PER_SECOND;
      if (share(t, t + 1) >= RECOVERED * calmShare()) {
        return i / (double) PER_SECOND;
      }
    }
    return Double.NaN;
  }

  /** The longest time (s) without a request served, from the trigger's begin on. */
  public double longestGap() {
    return longestGap / 1e9;
  }

  public Bucket[] buckets() {
    return buckets.clone();
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
  }

  /** One client, with one connection at most. */
  private final class Client {
    private final Crowd kind;
    private final InetSocketAddress to;
    private final boolean counted;
    private Channel channel;
    private Bucket asked;
    private Future<?> timer;
    private boolean closed;

    Client(Crowd kind, InetSocketAddress to, boolean counted) {
      this.kind = kind;
      this.to = to;
      this.counted = counted;
    }

    private boolean done() {
      return over || closed || (!counted && !crowding);
    }

    void open() {
      if (done()) {
        return;
      }
      boolean asks = kind == Crowd.USUAL || kind == Crowd.RETRYING;
      if (asks) {
        began();
      }
      ChannelFuture f =
          new Bootstrap()
              .group(loop)
              .channel(NioSocketChannel.class)
              .option(ChannelOption.TCP_NODELAY, true)
              .option(ChannelOption.AUTO_READ, kind != Crowd.DEAF)
              .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) plan.timeoutMs())
              .handler(
                  new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel ch) {
                      if (asks) {
                        ch.pipeline()
                            .addLast(
                                new HttpResponseDecoder(),
                                new HttpObjectAggregator(1 << 20),
                                answers());
                      }
                    }
                  })
              .connect(to);
      Channel mine = f.channel();
      channel = mine;
      f.addListener(
          x -> {
            if (!f.isSuccess()) {
              if (channel == mine && !asks) {
                reopen();
              } else if (channel == mine) {
                turnedAway();
              }
              return;
            }
            mine.closeFuture().addListener(y -> lost(mine));
            speak();
          });
    }

    /** What it does on a connection that is open. */
    private void speak() {
      switch (kind) {
        case USUAL, RETRYING -> send();
        case SILENT -> {}
        case TRICKLING -> trickle(0);
        case HEADS ->
            raw(
                "POST "
                    + plan.path()
                    + " HTTP/1.1\r\nHost: storm\r\nX-Request-ID: "
                    + id()
                    + "\r\nContent-Length: 1000\r\n\r\n");
        case DEAF -> deafen();
      }
    }

    private String id() {
      return "storm-" + run + "-" + ids++;
    }

    private String request() {
      return "GET "
          + plan.path()
          + " HTTP/1.1\r\nHost: storm\r\nX-Request-ID: "
          + id()
          + "\r\nX-Timeout-Ms: "
          + plan.timeoutMs()
          + "\r\n\r\n";
    }

    private void raw(String text) {
      channel.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    private void trickle(int at) {
      String text =
          "GET " + plan.path() + " HTTP/1.1\r\nHost: storm\r\nX-Slow: " + "x".repeat(1_000);
      if (!done() && channel.isActive() && at < text.length()) {
        raw(text.substring(at, at + 1));
        loop.schedule(() -> trickle(at + 1), 1, TimeUnit.SECONDS);
      }
    }

    private void deafen() {
      if (!done() && channel.isActive()) {
        if (channel.isWritable()) {
          raw(request());
        }
        loop.schedule(this::deafen, 50, TimeUnit.MILLISECONDS);
      }
    }

    private SimpleChannelInboundHandler<FullHttpResponse> answers() {
      return new SimpleChannelInboundHandler<>() {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse r) {
          answered(r.status().code(), HttpUtil.isKeepAlive(r));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
          ctx.close();
        }
      };
    }

    // --- requests

    /** A request begins, with its connection where there is none. */
    private void began() {
      int at = (int) ((System.nanoTime() - startedAt) / (1_000_000_000L / PER_SECOND));
      asked = buckets[Math.min(at, buckets.length - 1)];
      if (counted) {
        asked.asked++;
      }
      timer = loop.schedule(this::gone, plan.timeoutMs(), TimeUnit.MILLISECONDS);
    }

    private void send() {
      if (asked != null) {
        raw(request());
      }
    }

    private void answered(int status, boolean stays) {
      if (asked == null) {
        return;
      }
      timer.cancel(false);
      if (counted) {
        if (status == 200) {
          asked.served++;
          gap();
        } else {
          asked.refused++;
        }
      }
      asked = null;
      Channel mine = channel;
      if (!stays) {
        channel = null;
        mine.close();
      }
      long think =
          kind == Crowd.RETRYING && status != 200
              ? 0
              : (long) (-Math.log(1 - random.nextDouble()) * plan.thinkMs() * 1e6);
      loop.schedule(this::next, think, TimeUnit.NANOSECONDS);
    }

    private void next() {
      if (done() || asked != null) {
        return;
      }
      if (channel == null || !channel.isActive()) {
        open();
      } else {
        began();
        send();
      }
    }

    /** The request that is out, if one is, never gets an answer. */
    private boolean gaveUp() {
      if (asked == null) {
        return false;
      }
      timer.cancel(false);
      if (counted) {
        asked.gaveUp++;
      }
      asked = null;
      return true;
    }

    /** No answer came in time, or can come: connects anew at once. */
    private void gone() {
      if (asked != null) {
        again();
      }
    }

    /**
     * Nobody listens: the request has failed, and the next one comes after a pause, as any client's
     * would.
     */
    private void turnedAway() {
      channel = null;
      if (gaveUp()) {
        loop.schedule(this::next, REOPEN_MS, TimeUnit.MILLISECONDS);
      }
    }

    /** Closes and connects anew. */
    void again() {
      Channel mine = channel;
      channel = null;
      gaveUp();
      if (mine != null) {
        mine.close();
      }
      // Not within this call: a connect that fails at once would recurse.
      loop.schedule(this::next, 1, TimeUnit.MILLISECONDS);
    }

    private void lost(Channel mine) {
      if (channel != mine) {
        return;
      }
      channel = null;
      if (asked != null) {
        gone();
      } else if (kind != Crowd.USUAL && kind != Crowd.RETRYING) {
        reopen();
      }
    }

    private void reopen() {
      if (!done()) {
        loop.schedule(this::open, REOPEN_MS, TimeUnit.MILLISECONDS);
      }
    }

    void close() {
      closed = true;
      if (timer != null) {
        timer.cancel(false);
      }
      if (channel != null) {
        channel.close();
      }
    }
  }
}
