package leadferry.testbed;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Runs a scripted overload against a proxy on loopback: a calm phase, a trigger, its end, and the
 * time until as many usual clients are served as before.
 *
 * <pre>
 *   calm            trigger          after
 *   |---------------|xxxxxxxxxxxxxxx|------------------------------|
 *    share served    begin    end    ^ recovered: a second at 95% of calm's share
 * </pre>
 *
 * <p>Usual clients form a closed loop. Each one sends a request, waits for the response, pauses and
 * sends the next request on the same connection. If no response arrives in time, it closes the
 * connection and connects again at once. This sustains a collapse after its trigger has ended: the
 * fewer clients are served, the more of them reconnect. Everything runs on one event loop. The plan
 * bounds the number of connections and the time.
 */
public final class OverloadTest implements AutoCloseable {
  private final OverloadPlan plan;
  private final Runnable beginTrigger;
  private final Runnable endTrigger;
  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(
          1, new DefaultThreadFactory("overload-test", true), NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final OverloadTimeline timeline;
  private final Context context;
  private final List<OverloadClient> crowdClients = new ArrayList<>();
  private final List<OverloadClient> usualClients = new ArrayList<>();
  private long startNanos;
  private boolean crowdActive;
  private boolean over;

  /**
   * Creates a test that is not started yet.
   *
   * @param beginTrigger starts the trigger, in addition to the crowd; called on the thread of
   *     {@link #run}
   * @param endTrigger ends the trigger; called on the same thread
   */
  public OverloadTest(OverloadPlan plan, Runnable beginTrigger, Runnable endTrigger) {
    this.plan = plan;
    this.beginTrigger = beginTrigger;
    this.endTrigger = endTrigger;
    this.timeline = new OverloadTimeline(plan);
    this.context = new Context(new SplittableRandom(plan.seed()));
  }

  /** Runs the complete test and waits for its end. */
  public void run() throws InterruptedException {
    startNanos = System.nanoTime();
    timeline.start(startNanos);
    loop.submit(this::startUsualClients).syncUninterruptibly();
    sleepUntil(plan.calmSeconds());
    loop.execute(this::beginCrowd);
    beginTrigger.run();
    sleepUntil(plan.calmSeconds() + plan.triggerSeconds());
    endTrigger.run();
    loop.execute(this::endCrowd);
    sleepUntil(plan.seconds());
    loop.submit(this::finish).syncUninterruptibly();
  }

  /** Returns what the usual clients experienced. To be read after {@link #run}. */
  public OverloadTimeline timeline() {
    return timeline;
  }

  private void sleepUntil(double seconds) throws InterruptedException {
    long left = startNanos + (long) (seconds * 1e9) - System.nanoTime();
    if (left > 0) {
      TimeUnit.NANOSECONDS.sleep(left);
    }
  }

  private InetSocketAddress target(int client) {
    return plan.targets().get(client % plan.targets().size());
  }

  private void startUsualClients() {
    for (int i = 0; i < plan.clients(); i++) {
      OverloadClient client =
          new OverloadClient(context, OverloadPlan.Crowd.USUAL, target(i), true);
      usualClients.add(client);
      long delayMillis = (long) (context.random().nextDouble() * plan.thinkMillis());
      loop.schedule(client::connect, delayMillis, TimeUnit.MILLISECONDS);
    }
  }

  private void beginCrowd() {
    crowdActive = true;
    timeline.resetLongestGap();
    if (plan.reconnects()) {
      usualClients.forEach(OverloadClient::reconnect);
    }
    for (int i = 0; i < plan.crowdSize(); i++) {
      OverloadClient client = new OverloadClient(context, plan.crowd(), target(i), false);
      crowdClients.add(client);
      client.connect();
    }
  }

  private void endCrowd() {
    crowdActive = false;
    crowdClients.forEach(OverloadClient::close);
  }

  private void finish() {
    over = true;
    timeline.endGap();
    usualClients.forEach(OverloadClient::close);
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
  }

  /** State that the clients of this test share. */
  private final class Context implements OverloadClient.Context {
    private final SplittableRandom random;
    private final String idPrefix = "overload-" + Long.toHexString(System.nanoTime()) + "-";
    private long ids;

    Context(SplittableRandom random) {
      this.random = random;
    }

    @Override
    public OverloadPlan plan() {
      return plan;
    }

    @Override
    public EventLoop loop() {
      return loop;
    }

    @Override
    public SplittableRandom random() {
      return random;
    }

    @Override
    public OverloadTimeline timeline() {
      return timeline;
    }

    @Override
    public String nextId() {
      return idPrefix + ids++;
    }

    @Override
    public boolean isOver(boolean counted) {
      return over || (!counted && !crowdActive);
    }
  }
}
