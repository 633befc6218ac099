package leadferry.proxy;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import leadferry.loadbalancer.DiscoveryTiming;

/**
 * Begins the next call to discovery one interval after the latest one, whatever became of that, or
 * earlier where a retry was scheduled. One call is begun, by whichever of the two is due first.
 * Confined to the event loop.
 */
final class DiscoveryCallTimer {
  /**
   * Time (ms) after which an agent on the same machine, which responds at once, is called once
   * more. Further calls come at the usual intervals.
   */
  private static final long AGENT_CALL_INTERVAL_MILLIS = 1_000;

  private final EventLoop loop;
  private final Runnable beginCall;

  private Future<?> retry;
  private Future<?> nextCall;

  /** Time (ns) at which the latest call began or the watch was lost, whichever was later. */
  private long intervalStartNanos;

  /**
   * @param beginCall begins a call, and calls {@link #startInterval} or {@link #startAgentInterval}
   */
  DiscoveryCallTimer(EventLoop loop, Runnable beginCall) {
    this.loop = loop;
    this.beginCall = beginCall;
  }

  /** Starts the interval of a call that begins now, with jitter. */
  void startInterval() {
    long intervalMillis =
        (long)
            ThreadLocalRandom.current()
                .nextDouble(
                    DiscoveryTiming.MIN_CALL_INTERVAL_MILLIS,
                    DiscoveryTiming.MAX_CALL_INTERVAL_MILLIS);
    start(intervalMillis);
  }

  /** Starts the interval of the first call to an agent on the same machine, which begins now. */
  void startAgentInterval() {
    start(AGENT_CALL_INTERVAL_MILLIS);
  }

  /** Starts the longest interval now, because the watch was lost or a response has begun. */
  void startLongestInterval() {
    start((long) DiscoveryTiming.MAX_CALL_INTERVAL_MILLIS);
  }

  /**
   * Extends the present interval to the longest one, because a call has failed and a retry is about
   * to be scheduled. Guards against a retry and an interval that each begin a call.
   */
  void extendToLongestInterval() {
    long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - intervalStartNanos);
    schedule((long) DiscoveryTiming.MAX_CALL_INTERVAL_MILLIS - elapsedMillis);
  }

  /** Begins a call after this time unless one begins before. */
  void retryAfter(long delayMillis) {
    cancel(retry);
    retry = loop.schedule(beginCall, delayMillis, TimeUnit.MILLISECONDS);
  }

  /** Begins no call. */
  void stop() {
    cancel(retry);
    cancel(nextCall);
  }

  private void start(long intervalMillis) {
    stop();
    intervalStartNanos = System.nanoTime();
    schedule(intervalMillis);
  }

  private void schedule(long delayMillis) {
    cancel(nextCall);
    nextCall = loop.schedule(beginCall, delayMillis, TimeUnit.MILLISECONDS);
  }

  private static void cancel(Future<?> scheduled) {
    if (scheduled != null) {
      scheduled.cancel(false);
    }
  }
}
