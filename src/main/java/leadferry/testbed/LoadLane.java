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

/**
 * One thread's share of a load, with its own due requests, connections and counts. Confined to its
 * event loop.
 */
final class LoadLane {
  /** Receives the events of a lane's requests on the lane's event loop. */
  interface Observer {
    /** Called when a counted request is due. */
    void onSent();

    /**
     * Called when a request completes. {@code servedInTime} is whether it was served between the
     * warm-up and the end of the load.
     */
    void onCompleted(boolean servedInTime);

    /** Called when a counted request completes, {@code nanos} after its due time. */
    void onCounted(LoadRequest request, LoadGenerator.Outcome outcome, long nanos);

    /** Called when the load's time is over and no request is open. */
    void onLaneDone();
  }

  private static final long TICK_NANOS = 500_000L;

  /** Additional time to wait for a response after its deadline. */
  private static final long EXTRA_WAIT_NANOS = 1_000_000_000L;

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
  private final int maxConnections;
  private final double intervalNanos;

  /** How far each kind lags behind its share of the load. */
  private final double[] lags;

  private final double weightSum;
  private long startNanos;
  private long countFromNanos;
  private long endNanos;
  private long created;
  private int connections;
  private int openRequests;

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
    this.maxConnections = Math.max(1, plan.connections() / plan.threads());
    this.intervalNanos = 1e9 * plan.threads() / plan.requestsPerSecond();
    this.lags = new double[plan.kinds().size()];
    this.weightSum = plan.kinds().stream().mapToDouble(LoadGenerator.RequestKind::weight).sum();
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

  /** Returns the counts. To be read after {@link Observer#onLaneDone}. */
  LoadCounts counts() {
    return counts;
  }

  /** Starts the lane at {@code atNanos}. May be called from any thread. */
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
      created++;
      openRequests++;
      if (due >= countFromNanos) {
        observer.onSent();
      }
    }
    send();
    expireOverdue(now);
    if (now >= endNanos && openRequests == 0) {
      observer.onLaneDone();
    } else {
      loop.schedule(this::tick, TICK_NANOS, TimeUnit.NANOSECONDS);
    }
  }

  /** Returns the due time of the next request, in nanoseconds. The lanes alternate. */
  private long nextDue() {
    return startNanos + (long) ((created + (double) number / plan.threads()) * intervalNanos);
  }

  /**
   * Creates a request of the kind that lags furthest behind its share. The mix is deterministic.
   */
  private LoadRequest nextRequest(long dueNanos) {
    int kind = 0;
    for (int i = 0; i < lags.length; i++) {
      lags[i] += plan.kinds().get(i).weight();
      kind = lags[i] > lags[kind] ? i : kind;
    }
    lags[kind] -= weightSum;
    long waitNanos = plan.kinds().get(kind).deadlineMillis() * 1_000_000L + EXTRA_WAIT_NANOS;
    String id = plan.idPrefix() + number + "-" + created;
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
    int wanted = Math.min(maxConnections - connections, waiting.size() - connecting);
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

  private void expireOverdue(long nowNanos) {
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
    openRequests--;
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

  // --- events of its connections

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

  /** Handles a closed connection; {@code unanswered} is its open request, or null. */
  void onDisconnected(LoadConnection connection, LoadRequest unanswered) {
    connections--;
    idle.remove(connection);
    busy.remove(connection);
    if (unanswered != null) {
      end(unanswered, LoadGenerator.Outcome.UNANSWERED);
    }
  }
}
