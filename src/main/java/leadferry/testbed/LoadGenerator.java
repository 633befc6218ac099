package leadferry.testbed;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import leadferry.engine.Transport;
import org.HdrHistogram.Histogram;

/**
 * Generates open-loop load: requests are due at a fixed rate, independent of earlier responses, and
 * latency is measured from the due time. A stalled server is therefore charged with all requests
 * due during the stall, which avoids coordinated omission (Tene). Time, connections and memory are
 * bounded.
 */
public final class LoadGenerator implements AutoCloseable {
  /**
   * A kind of request and its share of the load.
   *
   * @param weight its weight relative to the other kinds
   * @param headers additional header lines, each ended by CR LF
   * @param deadlineMillis time to wait for a response; one more second is allowed before it counts
   *     as unanswered
   */
  public record RequestKind(
      String name,
      double weight,
      String method,
      String path,
      String headers,
      int bodyBytes,
      long deadlineMillis) {}

  /** Outcome of a request. */
  public enum Outcome {
    SERVED,
    REFUSED,
    FAILED,
    /** The connection was closed, or no response came within a second after the deadline. */
    UNANSWERED,
    /** Status 2xx, but the response was made for another request. */
    WRONG
  }

  /** A completed request; {@code latencyNanos} is measured from its due time. */
  public record CompletedRequest(String id, RequestKind kind, Outcome outcome, long latencyNanos) {}

  /**
   * Parameters of a load. Requests due in the first {@code warmUpSeconds} are sent but not counted.
   */
  public record Plan(
      InetSocketAddress target,
      double requestsPerSecond,
      double warmUpSeconds,
      double seconds,
      int connections,
      int threads,
      List<RequestKind> kinds,
      String idPrefix) {}

  private static final long START_DELAY_NANOS = 10_000_000L;

  private final Plan plan;
  private final Consumer<CompletedRequest> completedSink;
  private final MultiThreadIoEventLoopGroup group;
  private final List<LoadLane> lanes = new ArrayList<>();
  private final CountDownLatch lanesDone;
  private final AtomicLong sent = new AtomicLong();
  private final AtomicLong completed = new AtomicLong();
  private final AtomicLong servedInTime = new AtomicLong();
  private final LoadCounts counts;

  /**
   * Creates a load that is not started yet.
   *
   * @param sink receives every counted request on completion, on one of the load's threads; may be
   *     null
   */
  public LoadGenerator(Plan plan, Consumer<CompletedRequest> sink) {
    this.plan = plan;
    this.completedSink = sink;
    this.counts = new LoadCounts(plan.kinds().size());
    this.lanesDone = new CountDownLatch(plan.threads());
    Transport transport = MinimalFakeUpstream.transport();
    this.group =
        new MultiThreadIoEventLoopGroup(
            plan.threads(), new DefaultThreadFactory("load", true), transport.ioHandlerFactory());
    RequestTemplate[] templates =
        plan.kinds().stream().map(RequestTemplate::new).toArray(RequestTemplate[]::new);
    LoadLane.Observer observer = new Observer();
    for (int i = 0; i < plan.threads(); i++) {
      EventLoop loop = (EventLoop) group.next();
      lanes.add(new LoadLane(plan, i, loop, transport, templates, observer));
    }
  }

  /** Starts the load after a delay of 10 ms. */
  public LoadGenerator start() {
    long atNanos = System.nanoTime() + START_DELAY_NANOS;
    lanes.forEach(lane -> lane.start(atNanos));
    return this;
  }

  /** Waits until the plan's time is over and all open requests have completed. */
  public LoadGenerator await() throws InterruptedException {
    lanesDone.await();
    lanes.forEach(lane -> counts.add(lane.counts()));
    return this;
  }

  /** Returns the number of completed requests so far, including those of the warm-up. */
  public long completed() {
    return completed.get();
  }

  /** Returns the number of requests due so far, without those of the warm-up. */
  public long sent() {
    return sent.get();
  }

  /** Returns the served requests per second between the warm-up and the plan's end. */
  public double servedPerSecond() {
    return servedInTime.get() / plan.seconds();
  }

  /**
   * Returns the latencies of the served requests of a kind, in nanoseconds from their due time.
   * Valid after {@link #await}.
   */
  public Histogram served(int kind) {
    return counts.servedNanos(kind);
  }

  /** Returns the number of requests of a kind with that outcome. Valid after {@link #await}. */
  public long count(int kind, Outcome outcome) {
    return counts.count(kind, outcome);
  }

  /** Returns the number of requests of all kinds with that outcome. Valid after {@link #await}. */
  public long count(Outcome outcome) {
    return counts.count(outcome);
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
  }

  /** Adds up the events of all lanes and passes completed requests to the sink. */
  private final class Observer implements LoadLane.Observer {
    @Override
    public void onSent() {
      sent.incrementAndGet();
    }

    @Override
    public void onCompleted(boolean inTime) {
      completed.incrementAndGet();
      if (inTime) {
        servedInTime.incrementAndGet();
      }
    }

    @Override
    public void onCounted(LoadRequest request, Outcome outcome, long nanos) {
      if (completedSink != null) {
        completedSink.accept(
            new CompletedRequest(request.id(), plan.kinds().get(request.kind()), outcome, nanos));
      }
    }

    @Override
    public void onLaneDone() {
      lanesDone.countDown();
    }
  }
}
