package leadferry.engine;

import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
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
import leadferry.loadbalancer.Settings;

/**
 * Runs the module on the event loop: hands it one event at a time, in the order in which they came,
 * and carries out what it asks for. What an action brings about at once waits in a queue until the
 * module has returned.
 */
public final class Dispatcher implements LoadBalancerActions {
  /** The module's clock begins here, so that a host that started before this process has a time. */
  private static final double CLOCK_START = 1e9;

  private record Event(Exchange about, Runnable what) {}

  private final String name;
  private final EventLoop loop;
  private final Log log;
  private Settings settings;
  private final UpstreamConnectionPool upstreams;
  private final BodyBudget budget;
  private final UpstreamHosts hosts;
  private final LoadBalancer balancer;
  private final long startedAt = System.nanoTime();
  private final Map<Long, Exchange> exchanges = new HashMap<>();
  private final ArrayDeque<Event> events = new ArrayDeque<>();
  private final Set<String> ejected = new HashSet<>(2);
  private boolean running;
  private long nextId;
  private Runnable follow = () -> {};
  private BooleanSupplier retries = () -> true;
  private final OutcomeReporter reporter;

  /** Null where the pool has not joined the other proxies of its tier. */
  private SharedSuspicions suspicions;

  /**
   * A pool of hosts on this loop, with a module of its own that is seeded so; it may have no name.
   */
  public Dispatcher(
      String name,
      EventLoop loop,
      Settings settings,
      long seed,
      UpstreamConnectionPool upstreams,
      BodyBudget budget,
      Log log) {
    this.name = name;
    this.loop = loop;
    this.log = log;
    this.settings = settings;
    this.upstreams = upstreams;
    this.budget = budget;
    this.reporter = new OutcomeReporter(log, settings);
    this.hosts = new UpstreamHosts(new ServerStartClock(System::currentTimeMillis, now()));
    this.balancer = new LoadBalancer(settings, seed, this);
  }

  /** The module's clock (ms). */
  public double now() {
    return CLOCK_START + (System.nanoTime() - startedAt) / 1e6;
  }

  /** The pool's name, or null. */
  public String name() {
    return name;
  }

  /** The loop to which the pool and its requests are confined. */
  public EventLoop loop() {
    return loop;
  }

  UpstreamConnectionPool connectionPool() {
    return upstreams;
  }

  /** The bound over the bodies that the pool's requests hold in memory. */
  public BodyBudget bodyBudget() {
    return budget;
  }

  /**
   * Lets this pool share with the other proxies of its tier which hosts are silent; what it has for
   * all of them goes to {@code tell}. To be called before {@link #start}.
   */
  public void shareSuspicions(long seed, Consumer<byte[]> tell) {
    suspicions = new SharedSuspicions(this, settings, seed, tell);
  }

  /** A message of the proxy of that number, for a pool that has joined. */
  public void onPeerMessage(byte[] message, int from) {
    suspicions.onMessage(message, from);
  }

  /** The load balancer is to leave the host out for so long (ms); 0 takes it back. */
  void onPeerHint(long host, double lengthMillis) {
    deliver(null, () -> balancer.onGossip(now(), host, lengthMillis));
  }

  /** Hosts on which attempts of this pool are in flight, or wait to be. */
  public Set<String> busyHosts() {
    return hosts.busyNames();
  }

  /** Whether the host of that name is listed and may get work. */
  public boolean isSendable(String host) {
    return hosts.isSendable(host);
  }

  /** Hosts that the module has ejected and not readmitted. */
  public Set<String> ejectedHosts() {
    return ejected;
  }

  /** Whether any host may get work. */
  public boolean hasSendableHost() {
    return hosts.hasSendable();
  }

  /** Has attempts and requests counted there. */
  public void setOutcomeCounter(OutcomeCounter counter) {
    reporter.setCounter(counter);
  }

  /** A request has had its final answer from here. */
  void onRequestEnded(Exchange exchange, boolean well) {
    reporter.onRequestEnded(exchange, well, now() - exchange.startedAt);
  }

  /** Lets these bounds over further attempts say no to what the module asks for. */
  public void setRetryGate(BooleanSupplier retries) {
    this.retries = retries;
  }

  boolean isRetryAllowed() {
    return retries.getAsBoolean();
  }

  int maxAttempts() {
    return settings.limits().maxAttempts();
  }

  /** An empty body under the budget; {@code expected} bytes or -1, {@code partial} a request's. */
  public Body newBody(long expected, boolean partial) {
    return new Body(budget, PooledByteBufAllocator.DEFAULT, expected, partial);
  }

  /** Requests that are not over, or whose attempts are not. */
  public int openRequests() {
    return exchanges.size();
  }

  // --- events

  /** Starts the module with the list as it was last had; {@code follow} opens the watch. */
  public void start(UpstreamHosts.ListUpdate known, Runnable follow) {
    this.follow = follow;
    deliver(null, () -> balancer.onStart(now()));
    onEndpointList(EndpointListEvent.CACHED, known);
  }

  /** A list, or changes to it, that has been checked whole. */
  public void onEndpointList(EndpointListEvent kind, UpstreamHosts.ListUpdate news) {
    UpstreamHosts.Change change = hosts.apply(news, now());
    List<EndpointUpdate> entries = change.entries();
    deliver(null, () -> balancer.onEndpointList(now(), kind, entries));
    if (suspicions != null) {
      suspicions.onEndpointList(kind, entries, change.invalidated());
    }
    withdrawUnsentTo(change.invalidated());
    hosts.removeGone();
  }

  /**
   * Guards against a send to a host that drains or has moved while its connection comes up. All are
   * taken back before the first goes on: it may go to a host that is new in this list, and is not
   * to be taken back from there.
   */
  private void withdrawUnsentTo(Set<UpstreamHost> cut) {
    List<Attempt> unsent = new ArrayList<>();
    for (UpstreamHost host : cut) {
      ejected.remove(host.name);
      unsent.addAll(upstreams.invalidate(host));
    }
    unsent.forEach(Attempt::endAsNeverRun);
  }

  /** Other settings hold from the next event on; what is open goes on by those it came under. */
  public void updateSettings(Settings next) {
    settings = next;
    reporter.updateSettings(next);
    if (suspicions != null) {
      suspicions.onSettings(next.shortestObjectiveMillis());
    }
    deliver(null, () -> balancer.onSettings(next));
  }

  /** The source of lists has said that there is nothing new. */
  public void onUpToDate() {
    hosts.onUpToDate(now());
  }

  /** The watch broke or could not be opened. */
  public void onWatchFailed() {
    deliver(
        null,
        () ->
            balancer.onEndpointList(now(), leadferry.loadbalancer.EndpointListEvent.FAILED, null));
  }

  /**
   * Takes a request that has come whole; its final answer comes within {@code arrival.budget()} ms.
   * The arrival's id is of no account: the pool has numbers of its own.
   */
  public void submit(ClientCall call, RequestArrival arrival, FallbackPools fallback) {
    long id = nextId++;
    Exchange e =
        new Exchange(id, this, call, arrival.className(), now() + arrival.budgetMillis(), fallback);
    exchanges.put(id, e);
    RequestArrival numbered =
        new RequestArrival(
            id,
            arrival.className(),
            arrival.tenant(),
            arrival.budgetMillis(),
            arrival.estimateMillis(),
            arrival.isRepeat());
    deliver(e, () -> balancer.onRequest(now(), numbered));
  }

  void onAttemptOutcome(
      Exchange e, Attempt a, AttemptOutcome result, double spent, boolean over, LoadReport report) {
    int number = a.number();
    if (suspicions != null && result.hasResponse()) {
      suspicions.onResponse(now(), a.host.id);
    }
    reporter.onAttemptEnded(e, a, result, spent);
    deliver(e, () -> balancer.onOutcome(now(), e.id, number, result, spent, over, report));
  }

  void onFirstByte(Exchange e, int number, double spent) {
    deliver(e, () -> balancer.onFirstByte(now(), e.id, number, spent));
  }

  void onClientDisconnect(Exchange e) {
    deliver(e, () -> balancer.onClientDisconnect(now(), e.id));
  }

  private void deliver(Exchange about, Runnable what) {
    events.add(new Event(about, what));
    if (running) {
      return;
    }
    running = true;
    try {
      Event e;
      while ((e = events.poll()) != null) {
        handle(e);
      }
    } finally {
      running = false;
    }
  }

  private void handle(Event e) {
    try {
      balancer.onReadUntil(now() - ReadLagTracker.lagNanos() / 1e6);
      e.what().run();
    } catch (RuntimeException x) {
      // Guards against one event that ends the process: it costs its own request only.
      log.failure("the module failed on an event", x);
      if (e.about() != null && !e.about().isResolved()) {
        e.about().fail();
        onClientDisconnect(e.about());
      }
    }
  }

  void removeExchange(Exchange e) {
    exchanges.remove(e.id);
  }

  /** Upkeep, a few times a second. */
  public void sweep() {
    upstreams.sweep(hosts.all());
    hosts.removeGone();
  }

  /** Ends the connections that carry nothing. */
  public void closeIdle() {
    upstreams.closeIdle(hosts.all());
  }

  // --- actions

  @Override
  public void send(long request, long host, double apart) {
    Exchange e = exchanges.get(request);
    UpstreamHost h = hosts.get(host);
    if (e != null && h != null) {
      if (suspicions != null) {
        suspicions.onAttempt();
      }
      e.send(h, apart);
    } else {
      throw new IllegalStateException("send of " + request + " to " + host + ": not known");
    }
  }

  @Override
  public void reject(long request, double retryAfterMillis) {
    Exchange e = exchanges.get(request);
    if (e != null) {
      e.reject(retryAfterMillis);
    }
  }

  @Override
  public void fail(long request) {
    Exchange e = exchanges.get(request);
    if (e != null) {
      e.fail();
    }
  }

  @Override
  public void cancel(long request, int attempt) {
    Exchange e = exchanges.get(request);
    if (e != null) {
      e.cancel(attempt);
    }
  }

  @Override
  public void schedule(double delay, long token) {
    Runnable event = () -> deliver(exchanges.get(token), () -> balancer.onTimer(now(), token));
    Exchange e = exchanges.get(token);
    if (e != null) {
      e.schedule(delay, event);
    } else if (token < 0) {
      loop.schedule(event, (long) (delay * 1e6), TimeUnit.NANOSECONDS);
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
    follow.run();
  }

  @Override
  public void log(String line) {
    String[] words = line.split(" ", 3);
    UpstreamHost h = words.length == 3 && words[0].equals("host") ? host(words[1]) : null;
    if (h == null) {
      log.line(line);
    } else {
      switch (words[2]) {
        case "ejected" -> ejected.add(h.name);
        case "readmitted" -> ejected.remove(h.name);
        default -> {}
      }
      log.event("host " + h.name + " " + words[2], "server", h.name);
    }
  }

  /** The host that the module calls by this number, or null. */
  private UpstreamHost host(String number) {
    try {
      return hosts.get(Long.parseLong(number));
    } catch (NumberFormatException e) {
      return null;
    }
  }
}
