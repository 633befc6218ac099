package leadferry.loadbalancer;

import java.util.HashMap;
import java.util.Map;

/**
 * One server process as this proxy knows it. A plain record of state: each group of fields belongs
 * to the class named above it, which alone changes them. Times are milliseconds of the module's
 * clock; negative infinity means never.
 */
final class Endpoint {
  final long id;

  /** Place on the ring of endpoints, the same in every proxy. */
  final long ringPosition;

  /** When the process came up; 0 or less means long ago. */
  final double onlineSinceMillis;

  // EndpointTable
  String zone;
  String machineKind;
  long cell;
  boolean isReady;
  int lastListNumber;

  // AttemptState
  int inFlight;

  // PendingResponseTracker
  double lastResponseMillis = Double.NEGATIVE_INFINITY;
  double pendingSinceMillis = Double.POSITIVE_INFINITY;

  // ResponseTimeEstimate
  double slowness = 1;
  int sampleCount;
  double lastSampleMillis = Double.NEGATIVE_INFINITY;

  // LoadReportEstimate
  double othersInFlight;
  double reportedAtMillis = Double.NEGATIVE_INFINITY;
  double ownInFlightPeak;
  double ownInFlightPeakAtMillis;

  // FailurePenalty
  double penaltyRequests;
  double penaltyAtMillis;

  // OutlierDetector
  double failureRate;
  final EjectionBackoff ejection = new EjectionBackoff();

  // ClassEjections
  final Map<String, EjectionBackoff> classEjections = new HashMap<>(2);

  // SlowStartBudget
  double credit;
  double creditAtMillis;

  Endpoint(long id, double onlineSinceMillis, double nowMillis, double credit) {
    this.id = id;
    this.onlineSinceMillis = onlineSinceMillis;
    this.credit = credit;
    this.creditAtMillis = nowMillis;
    this.ringPosition = mix(id);
  }

  /** The finalizer of SplitMix64 (Steele, Lea, Flood, 2014): spreads ids evenly over the ring. */
  private static long mix(long id) {
    long bits = id * 0x9E3779B97F4A7C15L;
    bits = (bits ^ (bits >>> 30)) * 0xBF58476D1CE4E5B9L;
    return bits ^ (bits >>> 27);
  }
}
