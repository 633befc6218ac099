package leadferry.gossip;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import leadferry.loadbalancer.EndpointListEvent;
import leadferry.loadbalancer.EndpointUpdate;

/**
 * Detects silent endpoints together with the other proxies: suspicion and refutation as in SWIM
 * (Das, Gupta, Motivala, 2002), based on regular requests instead of probes.
 *
 * <p>A single proxy of many sends an endpoint too few requests to detect its silence quickly. Two
 * proxies that lost one request each suffice for all proxies.
 *
 * <pre>
 *   A: request ---- no response -> broadcasts a suspicion, "silent since t"
 *   B: request ---- no response -> broadcasts a suspicion, "silent since t'"
 *   C, D, ...: two witnesses without a refutation -> eject the endpoint
 *   E: has had a response since t -> broadcasts a refutation; C, D, ... remove the witnesses
 *
 *   After a random ejection of 1 to (1 + spread) latency objectives, each proxy sends a trial.
 *   A lost trial is broadcast: the others extend the ejection.
 *   A successful trial is broadcast: all proxies readmit the endpoint.
 * </pre>
 *
 * <p>Silence of an endpoint: it has sent a proxy no response since the proxy sent it a request that
 * got none. Witness: a proxy, possibly this one, that lost such a request. The start of the silence
 * that it witnesses is the time at which it sent the request.
 *
 * <p>A response refutes each silence that began before the response. If an endpoint serves other
 * proxies and only one response was lost, the suspicion is thus refuted within a quarter of a
 * latency objective. If an endpoint hangs, no proxy can refute the suspicion. A proxy that can
 * refute waits for a random part of that quarter, and sends nothing if another proxy was faster.
 * Which endpoints are reachable can differ between zones, so messages of other zones are ignored.
 *
 * <p>Bounds: one record per endpoint in the list; at most {@link #MAX_WITNESSES} witnesses per
 * record; one message sent per attempt of this proxy, of which {@link #MAX_MESSAGE_TOKENS} can be
 * saved up. Not thread-safe. Times are milliseconds. "Latency objective" means the shortest one of
 * all request classes.
 */
public final class SuspicionProtocol {
  /**
   * Actions that the protocol requests from its proxy. They are called from within the event
   * methods.
   */
  public interface Actions {
    /** Sends a message to every proxy of the tier. */
    void broadcast(byte[] message);

    /**
     * Ejects the endpoint for {@code lengthMillis}, after which it gets a trial request; {@code
     * isRepeated} states whether the endpoint is already ejected.
     */
    void eject(long endpoint, double lengthMillis, boolean isRepeated);

    /** Readmits the endpoint, which responds to other proxies. */
    void readmit(long endpoint);

    /** Schedules a call of {@link SuspicionProtocol#onTimer} after {@code delayMillis}. */
    void scheduleTimer(double delayMillis);
  }

  /**
   * Number of distinct witnesses for an ejection. A single proxy may be cut off or have lost one
   * response.
   */
  private static final int MIN_WITNESSES = 2;

  /** Maximum number of witnesses in the record of one endpoint. Bounds its memory. */
  private static final int MAX_WITNESSES = 8;

  /** Maximum number of messages that can be saved up. Each attempt earns one message. */
  private static final int MAX_MESSAGE_TOKENS = 20;

  /**
   * Time, in latency objectives, after which a witness is removed. It counts from the start of the
   * silence that the proxy witnessed.
   */
  private static final double WITNESS_MEMORY_OBJECTIVES = 4;

  /** Maximum random wait of a proxy before it broadcasts a refutation, in latency objectives. */
  private static final double REFUTE_WITHIN_OBJECTIVES = 0.25;

  /**
   * Time for which witnesses must stay unrefuted, in latency objectives. It covers {@link
   * #REFUTE_WITHIN_OBJECTIVES} and the transmission of a refutation.
   */
  private static final double DECIDE_AFTER_OBJECTIVES = 0.35;

  /**
   * Minimum share of this proxy's lost requests that it broadcasts as suspicions. If responses get
   * lost at random, most suspicions are refuted but still cost messages, so a proxy broadcasts
   * fewer and fewer of them, down to this share. If an endpoint hangs, many proxies lose requests
   * and a part of their suspicions suffices.
   */
  private static final double MIN_BROADCAST_SHARE = 0.2;

  /**
   * Step of the broadcast share. A rise adds the step; a fall subtracts this part of the current
   * share.
   */
  private static final double BROADCAST_SHARE_STEP = 0.2;

  /** Key of this proxy as a witness. */
  private static final int SELF = -1;

  private final byte zone;
  private final TrialSpread trialSpread;
  private final SplittableRandom random;
  private final Actions actions;
  private final Map<Long, EndpointSuspicion> suspicions = new HashMap<>();
  private double objectiveMillis;
  private double messageTokens = MAX_MESSAGE_TOKENS;
  private double broadcastShare = 1;

  /**
   * Creates the protocol instance of one proxy.
   *
   * @param zone the zone of the proxy, or null
   * @param proxyCount the number of proxies in the tier, including this one
   * @param objectiveMillis the shortest latency objective
   * @param seed the seed of the random waits, which should differ between proxies
   * @param actions the receiver of the actions
   */
  public SuspicionProtocol(
      String zone, int proxyCount, double objectiveMillis, long seed, Actions actions) {
    this.zone = SuspicionMessage.zoneByte(zone);
    this.trialSpread = new TrialSpread(proxyCount);
    this.objectiveMillis = objectiveMillis;
    this.random = new SplittableRandom(seed);
    this.actions = actions;
  }

  /** Replaces the shortest latency objective. */
  public void onSettings(double newObjectiveMillis) {
    objectiveMillis = newObjectiveMillis;
  }

  /**
   * Processes an endpoint list or changes to it, as received by the load balancer. The record of an
   * endpoint is removed when the endpoint is no longer listed as ready, and starts afresh when its
   * process has been restarted.
   */
  public void onEndpointList(EndpointListEvent event, List<EndpointUpdate> updates) {
    if (event == EndpointListEvent.FAILED) {
      return;
    }
    Set<Long> ready = new HashSet<>();
    for (EndpointUpdate update : updates) {
      if (update.condition() == EndpointUpdate.Condition.READY) {
        ready.add(update.id());
        suspicions.compute(update.id(), (id, known) -> retainIfSameProcess(known, update));
      } else {
        suspicions.remove(update.id());
      }
    }
    if (event != EndpointListEvent.DELTA) {
      suspicions.keySet().retainAll(ready);
    }
  }

  private static EndpointSuspicion retainIfSameProcess(
      EndpointSuspicion known, EndpointUpdate update) {
    return known != null && known.onlineSinceMillis == update.onlineSinceMillis()
        ? known
        : new EndpointSuspicion(update.onlineSinceMillis());
  }

  /** Removes the state of an endpoint that was replaced without a change in the endpoint list. */
  public void forget(long endpoint) {
    suspicions.remove(endpoint);
  }

  /** Records an attempt of this proxy, which earns one message. */
  public void onAttempt() {
    messageTokens = Math.min(MAX_MESSAGE_TOKENS, messageTokens + 1);
  }

  /** Records that the endpoint responded to this proxy, successfully or not. */
  public void onResponse(double nowMillis, long endpoint) {
    EndpointSuspicion suspicion = suspicions.get(endpoint);
    if (suspicion == null) {
      return;
    }
    if (suspicion.isEjected()) {
      broadcast(endpoint, 0, true); // successful trial
    }
    recordResponse(suspicion, nowMillis);
  }

  /**
   * Records that a request of this proxy, sent at {@code sentAtMillis}, got no response, and that
   * the endpoint has sent this proxy no other response since.
   */
  public void onNoResponse(double nowMillis, long endpoint, double sentAtMillis) {
    EndpointSuspicion suspicion = suspicions.get(endpoint);
    if (suspicion == null
        || suspicion.lastResponseMillis >= sentAtMillis
        || (suspicion.isEjected() && !suspicion.isEjectedBefore(sentAtMillis))) {
      // a response has arrived since, or the endpoint is already ejected for this silence
      return;
    }
    if (random.nextDouble() < broadcastShare) {
      broadcast(endpoint, nowMillis - sentAtMillis, false);
    }
    addWitness(suspicion, endpoint, SELF, sentAtMillis, nowMillis);
  }

  /** Processes a message of the proxy with this index. Malformed messages are ignored. */
  public void onMessage(double nowMillis, int proxy, byte[] bytes) {
    SuspicionMessage message = SuspicionMessage.decode(bytes);
    if (message == null || message.zone() != zone) {
      return;
    }
    EndpointSuspicion suspicion = suspicions.get(message.endpoint());
    if (suspicion == null) {
      return;
    }
    double sinceMillis = nowMillis - message.ageMillis();
    if (message.isAlive()) {
      onAliveMessage(suspicion, message.endpoint(), sinceMillis);
    } else if (suspicion.lastResponseMillis > sinceMillis) {
      scheduleRefutation(suspicion, nowMillis);
    } else {
      addWitness(suspicion, message.endpoint(), proxy, sinceMillis, nowMillis);
    }
  }

  /** Broadcasts due refutations and ejects endpoints whose witnesses were not refuted. */
  public void onTimer(double nowMillis) {
    suspicions.forEach(
        (endpoint, suspicion) -> {
          if (suspicion.refuteAtMillis <= nowMillis) {
            suspicion.refuteAtMillis = Double.POSITIVE_INFINITY;
            broadcast(endpoint, nowMillis - suspicion.lastResponseMillis, true);
          }
          if (suspicion.decideAtMillis <= nowMillis) {
            suspicion.decideAtMillis = Double.POSITIVE_INFINITY;
            if (suspicion.silentSinceByWitness.size() >= MIN_WITNESSES) {
              eject(suspicion, endpoint, nowMillis);
            }
          }
        });
  }

  /** Returns whether the endpoint is ejected after suspicions of several proxies. */
  public boolean isEjected(long endpoint) {
    EndpointSuspicion suspicion = suspicions.get(endpoint);
    return suspicion != null && suspicion.isEjected();
  }

  private void onAliveMessage(EndpointSuspicion suspicion, long endpoint, double atMillis) {
    boolean isReadmitted = suspicion.isEjectedBefore(atMillis);
    if (atMillis > suspicion.lastResponseMillis) {
      recordResponse(suspicion, atMillis);
    }
    if (isReadmitted) {
      actions.readmit(endpoint);
    }
  }

  private void scheduleRefutation(EndpointSuspicion suspicion, double nowMillis) {
    if (suspicion.refuteAtMillis == Double.POSITIVE_INFINITY) {
      double delayMillis = random.nextDouble() * REFUTE_WITHIN_OBJECTIVES * objectiveMillis;
      suspicion.refuteAtMillis = nowMillis + delayMillis;
      actions.scheduleTimer(delayMillis);
    }
  }

  private void recordResponse(EndpointSuspicion suspicion, double atMillis) {
    suspicion.lastResponseMillis = atMillis;
    suspicion.refuteAtMillis = Double.POSITIVE_INFINITY;
    Double ownSinceMillis = suspicion.silentSinceByWitness.get(SELF);
    if (ownSinceMillis != null && ownSinceMillis <= atMillis) {
      broadcastShare =
          Math.max(MIN_BROADCAST_SHARE, broadcastShare - BROADCAST_SHARE_STEP * broadcastShare);
    }
    suspicion.silentSinceByWitness.values().removeIf(sinceMillis -> sinceMillis <= atMillis);
    if (suspicion.isEjectedBefore(atMillis)) {
      suspicion.readmit();
    }
  }

  private void addWitness(
      EndpointSuspicion suspicion, long endpoint, int proxy, double sinceMillis, double nowMillis) {
    Map<Integer, Double> witnesses = suspicion.silentSinceByWitness;
    witnesses
        .values()
        .removeIf(
            witnessSinceMillis ->
                witnessSinceMillis < nowMillis - WITNESS_MEMORY_OBJECTIVES * objectiveMillis);
    if (witnesses.size() < MAX_WITNESSES) {
      witnesses.put(proxy, sinceMillis);
    }
    if (suspicion.isEjectedBefore(sinceMillis)) {
      eject(suspicion, endpoint, nowMillis); // a trial was lost
    } else if (!suspicion.isEjected()
        && witnesses.size() >= MIN_WITNESSES
        && suspicion.decideAtMillis == Double.POSITIVE_INFINITY) {
      suspicion.decideAtMillis = nowMillis + DECIDE_AFTER_OBJECTIVES * objectiveMillis;
      actions.scheduleTimer(DECIDE_AFTER_OBJECTIVES * objectiveMillis);
    }
  }

  private void eject(EndpointSuspicion suspicion, long endpoint, double nowMillis) {
    if (suspicion.silentSinceByWitness.containsKey(SELF)) {
      broadcastShare = Math.min(1, broadcastShare + BROADCAST_SHARE_STEP);
    }
    boolean isRepeated = suspicion.isEjected();
    suspicion.trialSpreadObjectives =
        isRepeated
            ? trialSpread.nextObjectives(
                suspicion.trialSpreadObjectives,
                suspicion.sinceEjectionMillis(nowMillis) / objectiveMillis)
            : trialSpread.initialObjectives();
    suspicion.eject(nowMillis);
    double lengthMillis =
        objectiveMillis * (1 + random.nextDouble() * suspicion.trialSpreadObjectives);
    actions.eject(endpoint, lengthMillis, isRepeated);
  }

  private void broadcast(long endpoint, double ageMillis, boolean isAlive) {
    if (messageTokens >= 1) {
      messageTokens--;
      int cappedAgeMillis = (int) Math.round(Math.min(SuspicionMessage.MAX_AGE_MILLIS, ageMillis));
      actions.broadcast(new SuspicionMessage(zone, endpoint, cappedAgeMillis, isAlive).encode());
    }
  }
}
