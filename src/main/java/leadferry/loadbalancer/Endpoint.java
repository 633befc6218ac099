package leadferry.loadbalancer;

import java.util.HashMap;
import java.util.Map;

/**
 * State of one server process as this proxy knows it. The comment above each group of fields names
 * the only class that changes them. Times are milliseconds of the load balancer's clock; negative
 * infinity means never.
 */
final class Endpoint {
  final long id;

  /** Position on the ring of endpoints, the same in every proxy. */
  final long ringPosition;

  /** Start time of the process; 0 or less means that it has been running for a long time. */
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

  /** The finalizer of SplitMix64 (Steele, Lea, Flood, 2014). Spreads ids evenly over the ring. */
  private static long mix(long id) {
    long bits = id * 0x9E3779B97F4A7C15L;
    bits = (bits ^ (bits >>> 30)) * 0xBF58476D1CE4E5B9L;
    return bits ^ (bits >>> 27);
  }
}
