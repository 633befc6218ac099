package leadferry.testbed;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import leadferry.engine.Transport;
import org.HdrHistogram.Histogram;

/**
 * Open-loop load: requests are due at a set rate whatever becomes of those before, and each one's
 * time counts from when it was due. So a server that stalls is charged for all that would have come
 * meanwhile (coordinated omission, Tene). Bounded in time, connections and memory; ends by itself.
 */
public final class LoadGenerator implements AutoCloseable {
  /** A kind of request and its part of the load. */
  public record Kind(
      String name,
      double part,
      String method,
      String path,
      String headers,
      int bodyBytes,
      long deadlineMs) {}

  /** What became of a request. */
  public enum Outcome {
    SERVED,
    REFUSED,
    FAILED,
    /** The connection ended, or nothing came by the deadline and a second. */
    UNANSWERED,
    /** Served with an answer that was made for another. */
    WRONG
  }

  /** One request that is over; {@code ns} is from when it was due. */
  public record Done(String id, Kind kind, Outcome outcome, long ns) {}

  /**
   * How the load is made; what is due in the first {@code warmUpSeconds} is sent and not counted.
   */
  public record Plan(
      InetSocketAddress target,
      double perSecond,
      double warmUpSeconds,
      double seconds,
      int connections,
      int threads,
      List<Kind> kinds,
      String idPrefix) {}

  private static final long TICK_NANOS = 500_000L;
  private static final long PATIENCE_NANOS = 1_000_000_000L;
  private static final long MOST_NANOS = 60_000_000_000L;

  private final Plan plan;
  private final Consumer<Done> sink;
  private final MultiThreadIoEventLoopGroup group;
  private final List<Lane> lanes = new ArrayList<>();
  private final CountDownLatch lanesDone;
  private final AtomicLong sent = new AtomicLong();
  private final AtomicLong over = new AtomicLong();
  private final AtomicLong servedInTime = new AtomicLong();
  private final Histogram[] served;
  private final long[][] outcomes;
  private final Template[] templates;
  private final Transport transport = MinimalFakeUpstream.transport();

  /**
   * {@code sink} hears of every request that is over, on one of the load's threads; may be null.
   */
  public LoadGenerator(Plan plan, Consumer<Done> sink) {
    this.plan = plan;
    this.sink = sink;
    this.group =
        new MultiThreadIoEventLoopGroup(
            plan.threads(), new DefaultThreadFactory("load", true), transport.loops());
    this.lanesDone = new CountDownLatch(plan.threads());
    this.templates = plan.kinds().stream().map(Template::of).toArray(Template[]::new);
    this.served = new Histogram[plan.kinds().size()];
    this.outcomes = new long[plan.kinds().size()][Outcome.values().length];
    for (int i = 0; i < served.length; i++) {
      served[i] = new Histogram(MOST_NANOS, 3);
    }
    for (int i = 0; i < plan.threads(); i++) {
      lanes.add(new Lane((EventLoop) group.next(), i));
    }
  }

  /** Begins. */
  public LoadGenerator start() {
    long at = System.nanoTime() + 10_000_000L;
    for (Lane l : lanes) {
      l.loop.execute(() -> l.start(at));
    }
    return this;
  }

  /** Waits for the end: the plan's time, and what is still open by its deadline. */
  public LoadGenerator await() throws InterruptedException {
    lanesDone.await();
    for (Lane l : lanes) {
      for (int k = 0; k < served.length; k++) {
        served[k].add(l.served[k]);
        for (int o = 0; o < outcomes[k].length; o++) {
          outcomes[k][o] += l.outcomes[k][o];
        }
      }
    }
    return this;
  }

  /** Requests that have been sent or are over so far. */
  public long over() {
    return over.get();
  }

  /** Requests that were due after the warm-up. */
  public long sent() {
    return sent.get();
  }

  /** Requests a second that were served between the warm-up and the plan's end. */
  public double servedPerSecond() {
    return servedInTime.get() / plan.seconds();
  }

  /** Times of the served requests of a kind (ns), from when they were due; after the end. */
  public Histogram served(int kind) {
    return served[kind];
  }

  public long count(int kind, Outcome o) {
    return outcomes[kind][o.ordinal()];
  }

  public long count(Outcome o) {
    long sum = 0;
    for (long[] k : outcomes) {
      sum += k[o.ordinal()];
    }
    return sum;
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
  }

  private static final class Request {
    final String id;
    final int kind;
    final long due;
    final long until;

    Request(String id, int kind, long due, long until) {
      this.id = id;
      this.kind = kind;
      this.due = due;
      this.until = until;
    }
  }

  /** One thread's part of the load. */
  private final class Lane {
    final EventLoop loop;
    final int number;
    final Histogram[] served = new Histogram[plan.kinds().size()];
    final long[][] outcomes = new long[plan.kinds().size()][Outcome.values().length];
    private final ArrayDeque<Connection> free = new ArrayDeque<>();
    private final ArrayDeque<Request> waiting = new ArrayDeque<>();
    private final Bootstrap bootstrap;
    private final int most;
    private final double interval;
    private final double[] debt;
    private final double parts = plan.kinds().stream().mapToDouble(Kind::part).sum();
    private final java.util.Set<Connection> busy = new java.util.HashSet<>();
    private long startAt;
    private long countAt;
    private long endAt;
    private long made;
    private int connections;
    private int open;

    Lane(EventLoop loop, int number) {
      this.loop = loop;
      this.number = number;
      this.most = Math.max(1, plan.connections() / plan.threads());
      this.interval = 1e9 * plan.threads() / plan.perSecond();
      this.debt = new double[plan.kinds().size()];
      for (int i = 0; i < served.length; i++) {
        served[i] = new Histogram(MOST_NANOS, 3);
      }
      this.bootstrap =
          new Bootstrap()
              .group(loop)
              .channel(transport.connection())
              .option(ChannelOption.TCP_NODELAY, true)
              .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 1_000)
              .handler(
                  new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel ch) {
                      ch.pipeline().addLast(new Connection(Lane.this, ch));
                    }
                  });
    }

    void start(long at) {
      startAt = at;
      countAt = at + (long) (plan.warmUpSeconds() * 1e9);
      endAt = countAt + (long) (plan.seconds() * 1e9);
      loop.schedule(this::tick, Math.max(0, at - System.nanoTime()), TimeUnit.NANOSECONDS);
    }

    private void tick() {
      long now = System.nanoTime();
      long due;
      while ((due = startAt + (long) ((made + (double) number / plan.threads()) * interval)) <= now
          && due < endAt) {
        Request r = next(due);
        made++;
        open++;
        if (due >= countAt) {
          sent.incrementAndGet();
        }
        waiting.add(r);
      }
      send();
      expire(now);
      if (now >= endAt && open == 0) {
        lanesDone.countDown();
      } else {
        loop.schedule(this::tick, TICK_NANOS, TimeUnit.NANOSECONDS);
      }
    }

    /** The kind that is most behind its part: a fixed mix, without chance. */
    private Request next(long due) {
      int kind = 0;
      for (int i = 0; i < debt.length; i++) {
        debt[i] += plan.kinds().get(i).part();
        kind = debt[i] > debt[kind] ? i : kind;
      }
      debt[kind] -= parts;
      long wait = plan.kinds().get(kind).deadlineMs() * 1_000_000L + PATIENCE_NANOS;
      return new Request(plan.idPrefix() + number + "-" + made, kind, due, due + wait);
    }

    private void send() {
      while (!waiting.isEmpty()) {
        Connection c = free.pollLast();
        if (c == null) {
          int wanted = Math.min(most - connections, waiting.size() - (connections - busy.size()));
          for (int i = 0; i < wanted; i++) {
            connections++;
            bootstrap
                .connect(plan.target())
                .addListener(
                    f -> {
                      if (!f.isSuccess()) {
                        connections--;
                      }
                    });
          }
          return;
        }
        if (c.channel.isActive()) {
          busy.add(c);
          c.write(waiting.poll());
        }
      }
    }

    private void expire(long now) {
      while (!waiting.isEmpty() && waiting.peek().until < now) {
        end(waiting.poll(), Outcome.UNANSWERED);
      }
      if (!busy.isEmpty()) {
        for (Connection c : new ArrayList<>(busy)) {
          if (c.request != null && c.request.until < now) {
            c.channel.close();
          }
        }
      }
    }

    void end(Request r, Outcome o) {
      open--;
      over.incrementAndGet();
      long now = System.nanoTime();
      if (o == Outcome.SERVED && now >= countAt && now < endAt) {
        servedInTime.incrementAndGet();
      }
      if (r.due < countAt) {
        return;
      }
      outcomes[r.kind][o.ordinal()]++;
      long ns = now - r.due;
      if (o == Outcome.SERVED) {
        served[r.kind].recordValue(Math.min(MOST_NANOS, Math.max(1, ns)));
      }
      if (sink != null) {
        sink.accept(new Done(r.id, plan.kinds().get(r.kind), o, ns));
      }
    }
  }

  /** The bytes of a kind's request around its id. */
  private record Template(byte[] before, byte[] after, boolean keyed, byte[] end, boolean head) {
    static Template of(Kind k) {
      boolean keyed = k.headers().contains("Idempotency-Key");
      String length =
          k.bodyBytes() > 0 || !k.method().equals("GET")
              ? "Content-Length: " + k.bodyBytes() + "\r\n"
              : "";
      return new Template(
          MinimalFakeUpstream.ascii(
              k.method() + " " + k.path() + " HTTP/1.1\r\nHost: load.test\r\nX-Request-ID: "),
          MinimalFakeUpstream.ascii("\r\n" + k.headers()),
          keyed,
          MinimalFakeUpstream.ascii(
              (keyed ? "\r\n" : "") + length + "\r\n" + " ".repeat(k.bodyBytes())),
          k.method().equals("HEAD"));
    }
  }

  private enum Reading {
    HEAD,
    SIZED,
    CHUNK_HEAD,
    CHUNK,
    TRAILERS
  }

  private static final byte[] ID = MinimalFakeUpstream.ascii("x-request-id");
  private static final byte[] LENGTH = MinimalFakeUpstream.ascii("content-length");
  private static final byte[] ENCODING = MinimalFakeUpstream.ascii("transfer-encoding");
  private static final byte[] CONNECTION = MinimalFakeUpstream.ascii("connection");
  private static final byte[] CLOSE = MinimalFakeUpstream.ascii("close");

  private final class Connection extends ChannelInboundHandlerAdapter {
    private final Lane lane;
    private final Channel channel;
    private final HeadBytes in = new HeadBytes();
    private Reading reading = Reading.HEAD;
    private long left;
    private Request request;
    private byte[] id;
    private int status;
    private boolean own;
    private boolean keep;

    Connection(Lane lane, Channel channel) {
      this.lane = lane;
      this.channel = channel;
    }

    void write(Request r) {
      request = r;
      id = MinimalFakeUpstream.ascii(r.id);
      Template t = templates[r.kind];
      ByteBuf b =
          channel.alloc().ioBuffer(t.before.length + t.after.length + t.end.length + 2 * id.length);
      b.writeBytes(t.before).writeBytes(id).writeBytes(t.after);
      if (t.keyed) {
        b.writeBytes(id);
      }
      channel.writeAndFlush(b.writeBytes(t.end), channel.voidPromise());
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      lane.free.addLast(this);
      lane.send();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
      ByteBuf read = (ByteBuf) msg;
      try {
        while (read.isReadable()) {
          if (reading == Reading.SIZED || reading == Reading.CHUNK) {
            int n = (int) Math.min(left, read.readableBytes());
            read.skipBytes(n);
            left -= n;
          } else if (!in.add(read)) {
            channel.close();
            return;
          }
          while (step()) {}
        }
      } finally {
        read.release();
      }
    }

    /** Goes on in what has come; false where more has to come first. */
    private boolean step() {
      if (request == null) {
        if (in.to > in.from || left > 0) {
          channel.close(); // more than was asked for
        }
        return false;
      }
      switch (reading) {
        case HEAD -> {
          int end = in.headEnd();
          if (end < 0) {
            return false;
          }
          head(end);
          return true;
        }
        case SIZED, CHUNK -> {
          int n = (int) Math.min(left, in.to - in.from);
          in.from += n;
          left -= n;
          if (left > 0) {
            return false;
          }
          if (reading == Reading.CHUNK) {
            reading = Reading.CHUNK_HEAD;
          } else {
            done();
          }
          return true;
        }
        default -> {
          int end = -1;
          for (int i = in.from; i < in.to && end < 0; i++) {
            end = in.bytes[i] == '\n' ? i + 1 : -1;
          }
          if (end < 0) {
            return false;
          }
          line(end);
          return true;
        }
      }
    }

    private void head(int end) {
      status = (int) in.number(in.from + 9, 10);
      own = true;
      keep = true;
      left = 0;
      reading = Reading.SIZED;
      for (int line = in.nextLine(in.from); line < end - 2; line = in.nextLine(line)) {
        int at;
        if ((at = in.value(line, ID)) > 0) {
          own = in.is(at, in.lineEnd(at), id);
        } else if ((at = in.value(line, LENGTH)) > 0) {
          left = in.number(at, 10);
        } else if (in.value(line, ENCODING) > 0) {
          reading = Reading.CHUNK_HEAD;
        } else if ((at = in.value(line, CONNECTION)) > 0) {
          keep = !in.is(at, in.lineEnd(at), CLOSE);
        }
      }
      in.from = end;
      if (status < 200) {
        reading = Reading.HEAD; // another head follows
      } else if (templates[request.kind].head || status == 204 || status == 304) {
        left = 0;
        reading = Reading.SIZED;
      }
    }

    /** A line of a chunked body's own, which ends there. */
    private void line(int end) {
      boolean empty = end - in.from == 2;
      if (reading == Reading.TRAILERS) {
        in.from = end;
        if (empty) {
          done();
        }
      } else {
        left = empty ? 0 : in.number(in.from, 16);
        in.from = end;
        if (!empty) {
          reading = left == 0 ? Reading.TRAILERS : Reading.CHUNK;
        }
      }
    }

    private void done() {
      Request r = request;
      request = null;
      reading = Reading.HEAD;
      lane.busy.remove(this);
      Outcome o =
          status >= 200 && status < 300
              ? own ? Outcome.SERVED : Outcome.WRONG
              : status == 429 || status == 503 ? Outcome.REFUSED : Outcome.FAILED;
      lane.end(r, o);
      if (keep) {
        lane.free.addLast(this);
        lane.send();
      } else {
        channel.close();
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      lane.connections--;
      lane.free.remove(this);
      lane.busy.remove(this);
      if (request != null) {
        Request r = request;
        request = null;
        lane.end(r, Outcome.UNANSWERED);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      channel.close();
    }
  }
}
