package leadferry.testbed;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;

/**
 * Counts the outcomes of a load's requests by kind. Confined to one thread until the counts are
 * added up.
 */
final class LoadCounts {
  private static final long MAX_RECORDED_NANOS = 60_000_000_000L;
  private static final int SIGNIFICANT_DIGITS = 3;

  /** Outcomes of one kind, and the latencies of its served requests in nanoseconds. */
  private static final class KindCounts {
    private final Histogram servedNanos = new Histogram(MAX_RECORDED_NANOS, SIGNIFICANT_DIGITS);
    private final Map<LoadGenerator.Outcome, LongAdder> outcomes =
        new EnumMap<>(LoadGenerator.Outcome.class);

    KindCounts() {
      for (LoadGenerator.Outcome outcome : LoadGenerator.Outcome.values()) {
        outcomes.put(outcome, new LongAdder());
      }
    }
  }

  private final List<KindCounts> kinds;

  LoadCounts(int kinds) {
    this.kinds = Stream.generate(KindCounts::new).limit(kinds).toList();
  }

  void record(int kind, LoadGenerator.Outcome outcome, long nanos) {
    KindCounts counts = kinds.get(kind);
    counts.outcomes.get(outcome).increment();
    if (outcome == LoadGenerator.Outcome.SERVED) {
      counts.servedNanos.recordValue(Math.min(MAX_RECORDED_NANOS, Math.max(1, nanos)));
    }
  }

  /** Adds the counts of {@code other}, which has the same kinds. */
  void add(LoadCounts other) {
    for (int kind = 0; kind < kinds.size(); kind++) {
      KindCounts counts = kinds.get(kind);
      KindCounts added = other.kinds.get(kind);
      counts.servedNanos.add(added.servedNanos);
      added.outcomes.forEach((outcome, count) -> counts.outcomes.get(outcome).add(count.sum()));
    }
  }

  Histogram servedNanos(int kind) {
    return kinds.get(kind).servedNanos;
  }

  long count(int kind, LoadGenerator.Outcome outcome) {
    return kinds.get(kind).outcomes.get(outcome).sum();
  }

  long count(LoadGenerator.Outcome outcome) {
    long sum = 0;
    for (int kind = 0; kind < kinds.size(); kind++) {
      sum += count(kind, outcome);
    }
    return sum;
  }
}
