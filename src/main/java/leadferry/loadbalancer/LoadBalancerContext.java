package leadferry.loadbalancer;

import java.util.SplittableRandom;

/**
 * Dependencies and estimates that the decision classes of one {@link LoadBalancer} share. Owned by
 * the load balancer and confined to its thread.
 */
final class LoadBalancerContext {
  final LiveSettings settings;
  final LoadBalancerActions actions;

  /**
   * The only source of randomness: the same events and seed produce the same draws in the same
   * order.
   */
  final SplittableRandom random;

  final EndpointTable endpoints = new EndpointTable();
  final PendingResponseTracker pendingResponses = new PendingResponseTracker();
  final ArrivalRate arrivals = new ArrivalRate();
  final InFlightPeak inFlight = new InFlightPeak();
  final ResponseTimeEstimate responseTimes = new ResponseTimeEstimate();
  final LoadReportEstimate loadReports;
  final QueueDelayEstimate queueDelay;
  final PressureEstimate pressure;
  final FailurePenalty penalty;

  LoadBalancerContext(Settings settings, long seed, LoadBalancerActions actions) {
    this.settings = new LiveSettings(settings);
    this.actions = actions;
    this.random = new SplittableRandom(seed);
    this.loadReports = new LoadReportEstimate(this.settings);
    this.queueDelay = new QueueDelayEstimate(loadReports);
    this.pressure = new PressureEstimate(this.settings);
    this.penalty = new FailurePenalty(this.settings);
  }
}
