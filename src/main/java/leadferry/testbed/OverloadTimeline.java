package leadferry.testbed;

/**
 * Counts what usual clients experienced by the tenth of a second in which they sent their requests,
 * and derives the recovery time. Written by one thread; to be read after the test.
 */
public final class OverloadTimeline {
  /** Outcomes of the usual clients' requests that were sent within one tenth of a second. */
  public static final class Bucket {
    private int sent;
    private int served;
    private int rejected;
    private int unanswered;

    /** Returns the number of requests sent in this interval. */
    public int sent() {
      return sent;
    }

    /** Returns the number of requests that got a response with status 200. */
    public int served() {
      return served;
    }

    /** Returns the number of requests that got any other response. */
    public int rejected() {
      return rejected;
    }

    /**
     * Returns the number of requests without a response, because of a timeout or a closed
     * connection.
     */
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

  /** Number of buckets per second. */
  public static final int BUCKETS_PER_SECOND = 10;

  /** Service counts as recovered when it serves this fraction of the calm phase's share. */
  private static final double RECOVERED_FRACTION = 0.95;

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

  /** Starts the timeline: the first bucket begins at {@code nowNanos}. */
  void start(long nowNanos) {
    startNanos = nowNanos;
  }

  /** Returns the bucket of a request that is sent now. */
  Bucket currentBucket() {
    int tenths = (int) ((System.nanoTime() - startNanos) / (1_000_000_000L / BUCKETS_PER_SECOND));
    return buckets[Math.min(tenths, buckets.length - 1)];
  }

  /** Starts the measurement of {@link #longestGapSeconds} now. */
  void resetLongestGap() {
    lastServedNanos = System.nanoTime();
    longestGapNanos = 0;
  }

  /**
   * Ends the current interval without a served request, because a request was served or the test is
   * over.
   */
  void endGap() {
    long now = System.nanoTime();
    longestGapNanos = Math.max(longestGapNanos, now - lastServedNanos);
    lastServedNanos = now;
  }

  /**
   * Returns the share of usual clients' requests that were served, among those sent between two
   * times in seconds. Returns 0 if none were sent.
   */
  public double servedShare(double fromSeconds, double untilSeconds) {
    int sent = 0;
    int served = 0;
    int end = Math.min(buckets.length, (int) (untilSeconds * BUCKETS_PER_SECOND));
    for (int i = (int) (fromSeconds * BUCKETS_PER_SECOND); i < end; i++) {
      sent += buckets[i].sent;
      served += buckets[i].served;
    }
    return sent == 0 ? 0 : (double) served / sent;
  }

  /**
   * Returns the share served before the trigger, without the first second (or half of a calm phase
   * shorter than 2 seconds).
   */
  public double calmShare() {
    return servedShare(Math.min(1, plan.calmSeconds() / 2), plan.calmSeconds());
  }

  /** Returns the share served during the trigger. */
  public double triggerShare() {
    return servedShare(plan.calmSeconds(), plan.calmSeconds() + plan.triggerSeconds());
  }

  /**
   * Returns the share served after the trigger, without requests sent so late that the test ended
   * before their timeout.
   */
  public double afterShare() {
    return servedShare(
        plan.calmSeconds() + plan.triggerSeconds(), plan.seconds() - plan.timeoutMillis() / 1e3);
  }

  /**
   * Returns the seconds from the end of the trigger to the first second in which at least 95% of
   * the calm phase's share was served, or NaN if there was none.
   */
  public double recoveredAfterSeconds() {
    double triggerEndSeconds = plan.calmSeconds() + plan.triggerSeconds();
    double lastSecond = triggerEndSeconds + plan.afterSeconds() - 1 - plan.timeoutMillis() / 1e3;
    for (int i = 0; triggerEndSeconds + i / (double) BUCKETS_PER_SECOND <= lastSecond; i++) {
      double second = triggerEndSeconds + i / (double) BUCKETS_PER_SECOND;
      if (servedShare(second, second + 1) >= RECOVERED_FRACTION * calmShare()) {
        return i / (double) BUCKETS_PER_SECOND;
      }
    }
    return Double.NaN;
  }

  /** Returns the longest time without a served request since the trigger began, in seconds. */
  public double longestGapSeconds() {
    return longestGapNanos / 1e9;
  }

  /** Returns a copy of all buckets in chronological order. */
  public Bucket[] buckets() {
    return buckets.clone();
  }
}
