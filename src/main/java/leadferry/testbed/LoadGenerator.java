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
 * Open-loop load: requests are due at a set rate whatever becomes of those before, and each one's
 * time counts from when it was due. So a server that stalls is charged for all that would have come
 * meanwhile (coordinated omission, Tene). Bounded in time, connections and memory; ends by itself.
 */
public final class LoadGenerator implements AutoCloseable {
  /**
   * A kind of request and its part of the load.
   *
   * @param weight its weight among the kinds
   * @param headers further header lines, each ended by CR LF
   * @param deadlineMillis how long a response is waited for, before a second of patience
   */
  public record RequestKind(
      String name,
      double weight,
      String method,
      String path,
      String headers,
      int bodyBytes,
      long deadlineMillis) {}

  /** What became of a request. */
  public enum Outcome {
    SERVED,
    REFUSED,
    FAILED,
    /** The connection ended, or nothing came by the deadline and a second. */
    UNANSWERED,
    /** Served with a response that was made for another request. */
    WRONG
  }

  /** One request that is over; {@code nanos} is from when it was due. */
  public record CompletedRequest(String id, RequestKind kind, Outcome outcome, long latencyNanos) {}

  /**
   * How the load is made; what is due in the first {@code warmUpSeconds} is sent and not counted.
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
  private final Consumer<CompletedRequest> sink;
  private final MultiThreadIoEventLoopGroup group;
  private final List<LoadLane> lanes = new ArrayList<>();
  private final CountDownLatch lanesDone;
  private final AtomicLong sent = new AtomicLong();
  private final AtomicLong completed = new AtomicLong();
  private final AtomicLong servedInTime = new AtomicLong();
  private final LoadCounts counts;

  /**
   * A load that has not begun.
   *
   * @param sink hears of every request that is over, on one of the load's threads; may be null
   */
  public LoadGenerator(Plan plan, Consumer<CompletedRequest> sink) {
    this.plan = plan;
    this.sink = sink;
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

  /** Begins. */
  public LoadGenerator start() {
    long atNanos = System.nanoTime() + START_DELAY_NANOS;
    lanes.forEach(lane -> lane.start(atNanos));
    return this;
  }

  /** Waits for the end: the plan's time, and what is still open by its deadline. */
  public LoadGenerator await() throws InterruptedException {
    lanesDone.await();
    lanes.forEach(lane -> counts.add(lane.counts()));
    return this;
  }

  /** Requests that are over so far. */
  public long completed() {
    return completed.get();
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
    return counts.servedNanos(kind);
  }

  /** Requests of a kind with that outcome; after the end. */
  public long count(int kind, Outcome outcome) {
    return counts.count(kind, outcome);
  }

  /** Requests of all kinds with that outcome; after the end. */
  public long count(Outcome outcome) {
    return counts.count(outcome);
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
  }

  /** Adds up what the lanes tell, and passes it on to the sink. */
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
      if (sink != null) {
        sink.accept(
            new CompletedRequest(request.id(), plan.kinds().get(request.kind()), outcome, nanos));
      }
    }

    @Override
    public void onLaneDone() {
      lanesDone.countDown();
    }
  }
}
