package leadferry.testbed;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import leadferry.engine.Transport;

/** One thread's part of a load: what is due, its connections, its counts. Confined to its loop. */
final class LoadLane {
  /** What lanes tell of requests as they go; called on the lane's loop. */
  interface Observer {
    /** A request was due that is counted. */
    void onSent();

    /** A request is over; {@code servedInTime} tells that it was served while the load went on. */
    void onCompleted(boolean servedInTime);

    /** A request that is counted is over, so long after it was due (ns). */
    void onCounted(LoadRequest request, LoadGenerator.Outcome outcome, long nanos);

    /** All is over. */
    void onLaneDone();
  }

  private static final long TICK_NANOS = 500_000L;

  /** A response is waited for so long past the deadline. */
  private static final long PATIENCE_NANOS = 1_000_000_000L;

  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

  private final LoadGenerator.Plan plan;
  private final Observer observer;
  private final EventLoop loop;
  private final int number;
  private final LoadCounts counts;
  private final ArrayDeque<LoadConnection> idle = new ArrayDeque<>();
  private final ArrayDeque<LoadRequest> waiting = new ArrayDeque<>();
  private final Set<LoadConnection> busy = new HashSet<>();
  private final Bootstrap bootstrap;
  private final int mostConnections;
  private final double intervalNanos;

  /** How far each kind is behind its part of the load. */
  private final double[] debts;

  private final double partsTotal;
  private long startNanos;
  private long countFromNanos;
  private long endNanos;
  private long made;
  private int connections;
  private int open;

  LoadLane(
      LoadGenerator.Plan plan,
      int number,
      EventLoop loop,
      Transport transport,
      RequestTemplate[] templates,
      Observer observer) {
    this.plan = plan;
    this.number = number;
    this.loop = loop;
    this.observer = observer;
    this.counts = new LoadCounts(plan.kinds().size());
    this.mostConnections = Math.max(1, plan.connections() / plan.threads());
    this.intervalNanos = 1e9 * plan.threads() / plan.requestsPerSecond();
    this.debts = new double[plan.kinds().size()];
    this.partsTotal = plan.kinds().stream().mapToDouble(LoadGenerator.RequestKind::weight).sum();
    this.bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(transport.connectionType())
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    channel
                        .pipeline()
                        .addLast(new LoadConnection(LoadLane.this, channel, templates));
                  }
                });
  }

  /** What it has counted; to be read once it is done. */
  LoadCounts counts() {
    return counts;
  }

  /** Begins at that time (ns); may be called from any thread. */
  void start(long atNanos) {
    loop.execute(
        () -> {
          startNanos = atNanos;
          countFromNanos = atNanos + (long) (plan.warmUpSeconds() * 1e9);
          endNanos = countFromNanos + (long) (plan.seconds() * 1e9);
          long delayNanos = Math.max(0, atNanos - System.nanoTime());
          loop.schedule(this::tick, delayNanos, TimeUnit.NANOSECONDS);
        });
  }

  private void tick() {
    long now = System.nanoTime();
    for (long due = nextDue(); due <= now && due < endNanos; due = nextDue()) {
      waiting.add(nextRequest(due));
      made++;
      open++;
      if (due >= countFromNanos) {
        observer.onSent();
      }
    }
    send();
    expire(now);
    if (now >= endNanos && open == 0) {
      observer.onLaneDone();
    } else {
      loop.schedule(this::tick, TICK_NANOS, TimeUnit.NANOSECONDS);
    }
  }

  /** When (ns) the next request is due; lanes take turns. */
  private long nextDue() {
    return startNanos + (long) ((made + (double) number / plan.threads()) * intervalNanos);
  }

  /** The kind that is most behind its part: a fixed mix, without chance. */
  private LoadRequest nextRequest(long dueNanos) {
    int kind = 0;
    for (int i = 0; i < debts.length; i++) {
      debts[i] += plan.kinds().get(i).weight();
      kind = debts[i] > debts[kind] ? i : kind;
    }
    debts[kind] -= partsTotal;
    long waitNanos = plan.kinds().get(kind).deadlineMillis() * 1_000_000L + PATIENCE_NANOS;
    String id = plan.idPrefix() + number + "-" + made;
    return new LoadRequest(id, kind, dueNanos, dueNanos + waitNanos);
  }

  private void send() {
    while (!waiting.isEmpty()) {
      LoadConnection connection = idle.pollLast();
      if (connection == null) {
        connect();
        return;
      }
      if (connection.isActive()) {
        busy.add(connection);
        connection.write(waiting.poll());
      }
    }
  }

  private void connect() {
    int connecting = connections - busy.size();
    int wanted = Math.min(mostConnections - connections, waiting.size() - connecting);
    for (int i = 0; i < wanted; i++) {
      connections++;
      bootstrap
          .connect(plan.target())
          .addListener(
              future -> {
                if (!future.isSuccess()) {
                  connections--;
                }
              });
    }
  }

  private void expire(long nowNanos) {
    while (!waiting.isEmpty() && waiting.peek().deadlineNanos() < nowNanos) {
      end(waiting.poll(), LoadGenerator.Outcome.UNANSWERED);
    }
    if (!busy.isEmpty()) {
      for (LoadConnection connection : new ArrayList<>(busy)) {
        if (connection.isOverdue(nowNanos)) {
          connection.close();
        }
      }
    }
  }

  private void end(LoadRequest request, LoadGenerator.Outcome outcome) {
    open--;
    long now = System.nanoTime();
    boolean served = outcome == LoadGenerator.Outcome.SERVED;
    observer.onCompleted(served && now >= countFromNanos && now < endNanos);
    if (request.dueNanos() < countFromNanos) {
      return;
    }
    long nanos = now - request.dueNanos();
    counts.record(request.kind(), outcome, nanos);
    observer.onCounted(request, outcome, nanos);
  }

  // --- what its connections tell

  void onConnected(LoadConnection connection) {
    idle.addLast(connection);
    send();
  }

  void onFinished(
      LoadConnection connection,
      LoadRequest request,
      LoadGenerator.Outcome outcome,
      boolean keepAlive) {
    busy.remove(connection);
    end(request, outcome);
    if (keepAlive) {
      idle.addLast(connection);
      send();
    } else {
      connection.close();
    }
  }

  /** A connection has gone; {@code unanswered} is its open request, or null. */
  void onDisconnected(LoadConnection connection, LoadRequest unanswered) {
    connections--;
    idle.remove(connection);
    busy.remove(connection);
    if (unanswered != null) {
      end(unanswered, LoadGenerator.Outcome.UNANSWERED);
    }
  }
}
