package leadferry.testbed;

/**
 * What usual clients met, by the tenth of a second in which they asked, and what follows: how long
 * until as many are served as before. Written by one thread; to be read once the test is over.
 */
public final class OverloadTimeline {
  /** What usual clients met in a tenth of a second, by when they asked. */
  public static final class Bucket {
    private int sent;
    private int served;
    private int rejected;
    private int unanswered;

    /** Requests that began here. */
    public int sent() {
      return sent;
    }

    /** Requests that got a response with status 200. */
    public int served() {
      return served;
    }

    /** Requests that got any other response. */
    public int rejected() {
      return rejected;
    }

    /** Without any response: time was up, or the connection went. */
    public int unanswered() {
      return unanswered;
    }

    void countSent() {
      sent++;
    }

    void countServed() {
      served++;
    }

    void countRejected() {
      rejected++;
    }

    void countUnanswered() {
      unanswered++;
    }
  }

  /** Buckets a second. */
  public static final int BUCKETS_PER_SECOND = 10;

  /** Service has recovered where it serves this part of the share before the trigger. */
  private static final double RECOVERED = 0.95;

  private final OverloadPlan plan;
  private final Bucket[] buckets;
  private long startNanos;
  private long lastServedNanos;
  private long longestGapNanos;

  OverloadTimeline(OverloadPlan plan) {
    this.plan = plan;
    this.buckets = new Bucket[(int) Math.ceil(plan.seconds() * BUCKETS_PER_SECOND) + 1];
    for (int i = 0; i < buckets.length; i++) {
      buckets[i] = new Bucket();
    }
  }

  void start(long nowNanos) {
    startNanos = nowNanos;
  }

  /** The bucket of a request that is sent now. */
  Bucket currentBucket() {
    int tenths = (int) ((System.nanoTime() - startNanos) / (1_000_000_000L / BUCKETS_PER_SECOND));
    return buckets[Math.min(tenths, buckets.length - 1)];
  }

  /** Times without a request served count from now on. */
  void resetLongestGap() {
    lastServedNanos = System.nanoTime();
    longestGapNanos = 0;
  }

  /** A request was served, or the test is over. */
  void endGap() {
    long now = System.nanoTime();
    longestGapNanos = Math.max(longestGapNanos, now - lastServedNanos);
    lastServedNanos = now;
  }

  /**
   * Share of the requests of usual clients that were served, of those sent from one second to
   * another.
   */
  public double servedShare(double from, double until) {
    int sent = 0;
    int served = 0;
    int end = Math.min(buckets.length, (int) (until * BUCKETS_PER_SECOND));
    for (int i = (int) (from * BUCKETS_PER_SECOND); i < end; i++) {
      sent += buckets[i].sent;
      served += buckets[i].served;
    }
    return sent == 0 ? 0 : (double) served / sent;
  }

  /** The share before the trigger, its first second left out. */
  public double calmShare() {
    return servedShare(Math.min(1, plan.calmSeconds() / 2), plan.calmSeconds());
  }

  /** The share while the trigger lasts. */
  public double triggerShare() {
    return servedShare(plan.calmSeconds(), plan.calmSeconds() + plan.triggerSeconds());
  }

  /** The share after the trigger, without those who could not get a response any more. */
  public double afterShare() {
    return servedShare(
        plan.calmSeconds() + plan.triggerSeconds(), plan.seconds() - plan.timeoutMillis() / 1e3);
  }

  /**
   * Seconds from the trigger's end to the first second at 95% of calm's share, or NaN if none came.
   */
  public double recoveredAfterSeconds() {
    double from = plan.calmSeconds() + plan.triggerSeconds();
    double last = from + plan.afterSeconds() - 1 - plan.timeoutMillis() / 1e3;
    for (int i = 0; from + i / (double) BUCKETS_PER_SECOND <= last; i++) {
      double second = from + i / (double) BUCKETS_PER_SECOND;
      if (servedShare(second, second + 1) >= RECOVERED * calmShare()) {
        return i / (double) BUCKETS_PER_SECOND;
      }
    }
    return Double.NaN;
  }

  /** The longest time (s) without a request served, from the trigger's begin on. */
  public double longestGapSeconds() {
    return longestGapNanos / 1e9;
  }

  /** All buckets, in their order. */
  public Bucket[] buckets() {
    return buckets.clone();
  }
}
