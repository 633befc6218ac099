package leadferry.adapter;

import java.util.ArrayList;
import java.util.List;
import leadferry.gossip.SuspicionProtocol;
import leadferry.loadbalancer.AttemptOutcome;
import leadferry.loadbalancer.EndpointListEvent;
import leadferry.loadbalancer.EndpointUpdate;
import leadferry.loadbalancer.LoadBalancer;
import leadferry.loadbalancer.LoadBalancerActions;
import leadferry.loadbalancer.LoadReport;
import leadferry.loadbalancer.RequestArrival;
import leadferry.loadbalancer.RequestPolicy;
import leadferry.loadbalancer.Settings;

/** One proxy of the simulated tier: a load balancer and, if permitted, gossip. */
final class Instance implements LoadBalancerActions, SuspicionProtocol.Actions {
  /** Token of the gossip timer. The load balancer uses request ids and -1 as tokens. */
  private static final long GOSSIP_TIMER = -2;

  /**
   * A hint from gossip: eject the endpoint for {@code ejectionMillis}, or readmit it if this value
   * is 0.
   */
  private record Hint(long endpoint, double ejectionMillis) {}

  private final CommandWriter commands;
  private final LoadBalancer loadBalancer;

  /** Null if the deployment permits no messages between proxies. */
  private final SuspicionProtocol gossip;

  /**
   * Hints that gossip produces while the load balancer processes an event. The load balancer gets
   * them after the event.
   */
  private final List<Hint> pendingHints = new ArrayList<>();

  Instance(Settings settings, boolean hasGossip, long seed, CommandWriter commands) {
    this.commands = commands;
    this.loadBalancer = new LoadBalancer(settings, seed, this);
    this.gossip =
        hasGossip
            ? new SuspicionProtocol(
                settings.zone(),
                settings.proxyCount(),
                settings.shortestObjectiveMillis(),
                seed,
                this)
            : null;
  }

  void start(double nowMillis) {
    loadBalancer.onStart(nowMillis);
  }

  boolean hasGossip() {
    return gossip != null;
  }

  /** See {@link LoadBalancer#policyOf}. */
  RequestPolicy policyOf(String className, double budgetMillis) {
    return loadBalancer.policyOf(className, budgetMillis);
  }

  void onRequest(double nowMillis, RequestArrival arrival) {
    loadBalancer.onRequest(nowMillis, arrival);
  }

  /**
   * Records a response of the endpoint. Must be called before {@link #onOutcome} of the attempt.
   */
  void onResponse(double nowMillis, long endpoint) {
    gossip.onResponse(nowMillis, endpoint);
  }

  void onOutcome(
      double nowMillis,
      long request,
      int attempt,
      AttemptOutcome outcome,
      double spentMillis,
      boolean isRequestOver,
      LoadReport report) {
    loadBalancer.onOutcome(
        nowMillis, request, attempt, outcome, spentMillis, isRequestOver, report);
    deliverHints(nowMillis);
  }

  void onFirstByte(double nowMillis, long request, int attempt, double spentMillis) {
    loadBalancer.onFirstByte(nowMillis, request, attempt, spentMillis);
  }

  void onClientDisconnect(double nowMillis, long request) {
    loadBalancer.onClientDisconnect(nowMillis, request);
  }

  void onLoadReport(double nowMillis, long endpoint, LoadReport report) {
    loadBalancer.onLoadReport(nowMillis, endpoint, report);
  }

  void onEndpointList(double nowMillis, EndpointListEvent event, List<EndpointUpdate> updates) {
    loadBalancer.onEndpointList(nowMillis, event, updates);
    if (gossip != null) {
      gossip.onEndpointList(event, updates);
    }
  }

  void onTimer(double nowMillis, long token) {
    if (token != GOSSIP_TIMER) {
      loadBalancer.onTimer(nowMillis, token);
    } else if (gossip != null) {
      gossip.onTimer(nowMillis);
      deliverHints(nowMillis);
    }
  }

  void onMessage(double nowMillis, int sender, byte[] message) {
    gossip.onMessage(nowMillis, sender, message);
    deliverHints(nowMillis);
  }

  private void deliverHints(double nowMillis) {
    for (int i = 0; i < pendingHints.size(); i++) {
      Hint hint = pendingHints.get(i);
      loadBalancer.onGossip(nowMillis, hint.endpoint(), hint.ejectionMillis());
    }
    pendingHints.clear();
  }

  @Override
  public void send(long request, long endpoint, double windowMillis) {
    if (gossip != null) {
      gossip.onAttempt();
    }
    commands.send(request, endpoint);
  }

  @Override
  public void reject(long request, double retryAfterMillis) {
    commands.reject(request, retryAfterMillis);
  }

  @Override
  public void fail(long request) {
    commands.fail(request);
  }

  @Override
  public void cancel(long request, int attempt) {
    commands.cancel(request, attempt);
  }

  @Override
  public void schedule(double delayMillis, long token) {
    commands.schedule(delayMillis, token);
  }

  @Override
  public void watchEndpoints() {
    commands.watchEndpoints();
  }

  @Override
  public void onNoResponse(long endpoint, double nowMillis, double sentAtMillis) {
    if (gossip != null) {
      gossip.onNoResponse(nowMillis, endpoint, sentAtMillis);
    }
  }

  @Override
  public void log(String text) {
    commands.log(text);
  }

  @Override
  public void broadcast(byte[] message) {
    commands.broadcast(message);
  }

  @Override
  public void eject(long endpoint, double lengthMillis, boolean again) {
    pendingHints.add(new Hint(endpoint, lengthMillis));
  }

  @Override
  public void readmit(long endpoint) {
    pendingHints.add(new Hint(endpoint, 0));
  }

  @Override
  public void scheduleTimer(double delayMillis) {
    commands.schedule(delayMillis, GOSSIP_TIMER);
  }
}
