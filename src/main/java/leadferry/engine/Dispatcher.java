package leadferry.engine;

import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import leadferry.loadbalancer.AttemptOutcome;
import leadferry.loadbalancer.EndpointListEvent;
import leadferry.loadbalancer.EndpointUpdate;
import leadferry.loadbalancer.LoadBalancer;
import leadferry.loadbalancer.LoadBalancerActions;
import leadferry.loadbalancer.LoadReport;
import leadferry.loadbalancer.RequestArrival;
import leadferry.loadbalancer.RequestPolicy;
import leadferry.loadbalancer.Settings;

/**
 * Runs one pool's load balancer on its event loop. Delivers events to the load balancer one at a
 * time, in order of arrival, and carries out the actions that it requests. An event that an action
 * raises while the load balancer runs is queued until the load balancer has returned.
 */
public final class Dispatcher implements LoadBalancerActions {
  /**
   * Time (ms) at which the load balancer's clock starts. It is large, so that the start of a host
   * that started before this process is a positive time too.
   */
  private static final double CLOCK_START = 1e9;

  private final String name;
  private final EventLoop loop;
  private final Log log;
  private Settings settings;
  private final UpstreamConnectionPool connectionPool;
  private final BodyBudget bodyBudget;
  private final UpstreamHosts hosts;
  private final LoadBalancer balancer;
  private final long startedAt = System.nanoTime();
  private final Map<Long, Exchange> exchanges = new HashMap<>();
  private final EventQueue events;
  private final Set<String> ejectedNames = new HashSet<>(2);
  private long nextRequestId;
  private Runnable watchOpener = () -> {};
  private BooleanSupplier retryGate = () -> true;
  private final OutcomeReporter reporter;

  /** Null where the pool shares no suspicions with the other proxies of its tier. */
  private SharedSuspicions suspicions;

  /**
   * Creates a pool of hosts on {@code loop} with its own load balancer. The load balancer derives
   * its random choices from {@code seed}; {@code name} may be null.
   */
  public Dispatcher(
      String name,
      EventLoop loop,
      Settings settings,
      long seed,
      UpstreamConnectionPool connectionPool,
      BodyBudget bodyBudget,
      Log log) {
    this.name = name;
    this.loop = loop;
    this.log = log;
    this.settings = settings;
    this.connectionPool = connectionPool;
    this.bodyBudget = bodyBudget;
    this.reporter = new OutcomeReporter(log);
    this.hosts = new UpstreamHosts(new ServerStartClock(System::currentTimeMillis, now()));
    this.events = new EventQueue(this::reportReadLag, this::onEventFailed);
    this.balancer = new LoadBalancer(settings, seed, this);
  }

  /** Returns the time (ms) on the load balancer's clock. */
  public double now() {
    return CLOCK_START + (System.nanoTime() - startedAt) / 1e6;
  }

  /** Returns the log of this pool. */
  Log log() {
    return log;
  }

  /** Returns the pool's name, or null. */
  public String name() {
    return name;
  }

  /** Returns the loop to which the pool and its requests are confined. */
  public EventLoop loop() {
    return loop;
  }

  UpstreamConnectionPool connectionPool() {
    return connectionPool;
  }

  /** Returns the memory limit of the bodies that the pool's requests buffer. */
  public BodyBudget bodyBudget() {
    return bodyBudget;
  }

  /**
   * Shares suspicions of silent hosts with the other proxies of the tier; {@code broadcast} sends
   * each message that it receives to all of them. Must be called before {@link #start}.
   */
  public void shareSuspicions(long seed, Consumer<byte[]> broadcast) {
    suspicions = new SharedSuspicions(this, settings, seed, broadcast);
  }

  /**
   * Receives a message of the proxy with index {@code proxyIndex}; the pool must have called {@link
   * #shareSuspicions}.
   */
  public void onPeerMessage(byte[] message, int proxyIndex) {
    suspicions.onMessage(message, proxyIndex);
  }

  /**
   * Excludes the host from the load balancer's choices for {@code durationMillis}; 0 ends the
   * exclusion.
   */
  void onPeerHint(long host, double durationMillis) {
    events.deliver(null, () -> balancer.onGossip(now(), host, durationMillis));
  }

  /**
   * Returns the names of hosts on which attempts of this pool are in flight or wait for a
   * connection.
   */
  public Set<String> busyHosts() {
    return hosts.busyNames();
  }

  /** Whether the host of this name is listed and may receive requests. */
  public boolean isSendable(String host) {
    return hosts.isSendable(host);
  }

  /** Returns the names of hosts that the load balancer has ejected and not readmitted. */
  public Set<String> ejectedHosts() {
    return ejectedNames;
  }

  /** Whether any host may receive requests. */
  public boolean hasSendableHost() {
    return hosts.hasSendable();
  }

  /** Sets the counter of this pool's attempts and requests. */
  public void setOutcomeCounter(OutcomeCounter counter) {
    reporter.setCounter(counter);
  }

  /**
   * Reports a request whose final response this pool gave; {@code isSuccess} indicates whether the
   * request succeeded.
   */
  void onRequestEnded(Exchange exchange, boolean isSuccess) {
    reporter.onRequestEnded(exchange, isSuccess, now() - exchange.startedAt);
  }

  /**
   * Sets a check that is asked before each attempt of a request after the first; false denies the
   * attempt that the load balancer has requested.
   */
  public void setRetryGate(BooleanSupplier gate) {
    this.retryGate = gate;
  }

  boolean isRetryAllowed() {
    return retryGate.getAsBoolean();
  }

  int maxAttempts(RequestPolicy policy) {
    return policy.maxAttempts(settings.limits());
  }

  /**
   * Returns an empty body whose bytes count against the budget. {@code expected} is the announced
   * length in bytes or -1; {@code partial} marks the body of a request that is still incomplete.
   */
  public Body newBody(long expected, boolean partial) {
    return new Body(bodyBudget, PooledByteBufAllocator.DEFAULT, expected, partial);
  }

  /**
   * Returns the number of requests that still wait for a final response or have an open attempt.
   */
  public int openRequests() {
    return exchanges.size();
  }

  // --- events

  /**
   * Starts the load balancer with the list {@code cached}; {@code watchOpener} opens the watch on
   * discovery.
   */
  public void start(UpstreamHosts.ListUpdate cached, Runnable watchOpener) {
    this.watchOpener = watchOpener;
    events.deliver(null, () -> balancer.onStart(now()));
    onEndpointList(EndpointListEvent.CACHED, cached);
  }

  /** Applies a list of hosts, or changes to it, that has been validated as a whole. */
  public void onEndpointList(EndpointListEvent kind, UpstreamHosts.ListUpdate update) {
    UpstreamHosts.Change change = hosts.apply(update, now());
    List<EndpointUpdate> entries = change.entries();
    events.deliver(null, () -> balancer.onEndpointList(now(), kind, entries));
    if (suspicions != null) {
      suspicions.onEndpointList(kind, entries, change.invalidated());
    }
    endUnsentTo(change.invalidated());
    hosts.removeGone();
  }

  /**
   * Ends the attempts that have no connection yet and whose host has changed. Guards against a send
   * to a host that starts to drain or moves while its connection is established. All affected
   * attempts are collected before the first one ends: its request may be retried on a host that is
   * new in this list, and that retry must not be ended.
   */
  private void endUnsentTo(Set<UpstreamHost> changedHosts) {
    List<Attempt> unsent = new ArrayList<>();
    for (UpstreamHost host : changedHosts) {
      ejectedNames.remove(host.name);
      unsent.addAll(connectionPool.invalidate(host));
    }
    unsent.forEach(Attempt::endAsNeverRun);
  }

  /**
   * Applies other settings from the next event on; a request keeps the policy with which it
   * arrived.
   */
  public void updateSettings(Settings next) {
    settings = next;
    if (suspicions != null) {
      suspicions.onSettings(next.shortestObjectiveMillis());
    }
    events.deliver(null, () -> balancer.onSettings(next));
  }

  /** Records that discovery has just reported that the current list is still the newest. */
  public void onUpToDate() {
    hosts.onUpToDate(now());
  }

  /** Reports that the watch broke or could not be opened. */
  public void onWatchFailed() {
    events.deliver(
        null,
        () ->
            balancer.onEndpointList(now(), leadferry.loadbalancer.EndpointListEvent.FAILED, null));
  }

  /**
   * Submits a request that has arrived in full; its final response is due within {@code
   * arrival.budget()} ms. The arrival's id is ignored: the pool numbers its requests itself.
   */
  public void submit(ClientCall call, RequestArrival arrival, FallbackPools fallback) {
    long id = nextRequestId++;
    Exchange exchange =
        new Exchange(id, this, call, arrival.policy(), now() + arrival.budgetMillis(), fallback);
    exchanges.put(id, exchange);
    RequestArrival numbered = arrival.withId(id);
    events.deliver(exchange, () -> balancer.onRequest(now(), numbered));
  }

  void onAttemptOutcome(
      Exchange exchange,
      Attempt attempt,
      AttemptOutcome outcome,
      double spentMillis,
      boolean isRequestOver,
      LoadReport report) {
    int number = attempt.number();
    if (suspicions != null && outcome.hasResponse()) {
      suspicions.onResponse(now(), attempt.host.id);
    }
    reporter.onAttemptEnded(exchange, attempt, outcome, spentMillis);
    events.deliver(
        exchange,
        () ->
            balancer.onOutcome(
                now(), exchange.id, number, outcome, spentMillis, isRequestOver, report));
  }

  void onFirstByte(Exchange exchange, int number, double spentMillis) {
    events.deliver(exchange, () -> balancer.onFirstByte(now(), exchange.id, number, spentMillis));
  }

  void onClientDisconnect(Exchange exchange) {
    events.deliver(exchange, () -> balancer.onClientDisconnect(now(), exchange.id));
  }

  private void reportReadLag() {
    balancer.onReadUntil(now() - ReadLagTracker.lagNanos() / 1e6);
  }

  /** Handles an event that the load balancer failed to process: only its own request fails. */
  private void onEventFailed(Exchange exchange, RuntimeException failure) {
    log.failure("load balancer failed to process an event", failure);
    if (exchange != null && !exchange.isResolved()) {
      exchange.fail();
      onClientDisconnect(exchange);
    }
  }

  void removeExchange(Exchange exchange) {
    exchanges.remove(exchange.id);
  }

  /** Expires idle connections and removes hosts that are gone; runs a few times a second. */
  public void sweep() {
    connectionPool.sweep(hosts.all());
    hosts.removeGone();
  }

  /** Closes the connections that carry no attempt. */
  public void closeIdle() {
    connectionPool.closeIdle(hosts.all());
  }

  // --- actions

  @Override
  public void send(long request, long host, double repeatWindowMillis) {
    Exchange exchange = exchanges.get(request);
    UpstreamHost upstreamHost = hosts.get(host);
    if (exchange != null && upstreamHost != null) {
      if (suspicions != null) {
        suspicions.onAttempt();
      }
      exchange.send(upstreamHost, repeatWindowMillis);
    } else {
      throw new IllegalStateException(
          "send: unknown request "
              + request
              + " or host "
              + host
              + " (expected: open request, listed host)");
    }
  }

  @Override
  public void reject(long request, double retryAfterMillis) {
    Exchange exchange = exchanges.get(request);
    if (exchange != null) {
      exchange.reject(retryAfterMillis);
    }
  }

  @Override
  public void fail(long request) {
    Exchange exchange = exchanges.get(request);
    if (exchange != null) {
      exchange.fail();
    }
  }

  @Override
  public void cancel(long request, int attempt) {
    Exchange exchange = exchanges.get(request);
    if (exchange != null) {
      exchange.cancel(attempt);
    }
  }

  @Override
  public void schedule(double delayMillis, long token) {
    Runnable event =
        () -> events.deliver(exchanges.get(token), () -> balancer.onTimer(now(), token));
    Exchange exchange = exchanges.get(token);
    if (exchange != null) {
      exchange.schedule(delayMillis, event);
    } else if (token < 0) {
      loop.schedule(event, (long) (delayMillis * 1e6), TimeUnit.NANOSECONDS);
    }
  }

  @Override
  public void onNoResponse(long host, double now, double sentAt) {
    if (suspicions != null) {
      suspicions.onNoResponse(now, host, sentAt);
    }
  }

  @Override
  public void watchEndpoints() {
    watchOpener.run();
  }

  @Override
  public void log(String line) {
    String[] words = line.split(" ", 3);
    UpstreamHost host =
        words.length == 3 && words[0].equals("host") ? hostByNumber(words[1]) : null;
    if (host == null) {
      log.line(line);
    } else {
      switch (words[2]) {
        case "ejected" -> ejectedNames.add(host.name);
        case "readmitted" -> ejectedNames.remove(host.name);
        default -> {}
      }
      log.event("host " + host.name + " " + words[2], "server", host.name);
    }
  }

  /** Returns the host with this id in the load balancer's log text, or null. */
  private UpstreamHost hostByNumber(String number) {
    try {
      return hosts.get(Long.parseLong(number));
    } catch (NumberFormatException e) {
      return null;
    }
  }
}
