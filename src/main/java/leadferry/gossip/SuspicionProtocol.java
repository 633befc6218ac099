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
 * Silent endpoints, found by all proxies together: suspicion and refutation, as in SWIM (Das,
 * Gupta, Motivala, 2002), over the requests that are sent anyway in place of probes.
 *
 * <p>Why: one proxy of many sends an endpoint too few requests to find it silent soon. Two proxies
 * that lost one each know enough for all.
 *
 * <pre>
 *   A: request ---- no response -> tells "silent since t"
 *   B: request ---- no response -> tells "silent since t'"       C, D, ...: two witnesses that stand: ejected
 *   E: has had a response since t -> tells "answers" instead     C, D, ...: the witnesses are forgotten
 *
 *   ejected ....... each tries it again after one to its spread of aims, at chance
 *   the first whose trial is lost says so: the others wait on; the first that is answered says so: all readmit it
 * </pre>
 *
 * <p>What a response refutes is a silence that began before it. So a lost response, of an endpoint
 * that serves others, is refuted within a quarter of an aim; an endpoint that hangs is not. Who
 * refutes waits for a chance part of that time and stays still where another was faster. What a
 * zone can reach is known to that zone alone: messages of others are ignored.
 *
 * <p>Bounds: a record for each endpoint that is in the list; at most {@link #MAX_WITNESSES}
 * witnesses in it; as many messages as attempts, saved up to {@link #MAX_MESSAGE_TOKENS}. Not safe
 * for use from several threads at once. Times are milliseconds; an aim is the shortest latency
 * objective.
 */
public final class SuspicionProtocol {
  /** What it asks of its proxy; called from within the event methods. */
  public interface Actions {
    /** Sends a message to every proxy of the tier. */
    void broadcast(byte[] message);

    /**
     * The endpoint should get nothing for so long, then a trial; {@code again} where it was ejected
     * before.
     */
    void eject(long endpoint, double lengthMillis, boolean isRepeated);

    /** The endpoint answers others: it may get requests again. */
    void readmit(long endpoint);

    /** Asks for {@link SuspicionProtocol#onTimer} after so long. */
    void scheduleTimer(double delayMillis);
  }

  /** Distinct witnesses that are enough: one can be cut off itself, or have lost one response. */
  private static final int MIN_WITNESSES = 2;

  private static final int MAX_WITNESSES = 8;
  private static final int MAX_MESSAGE_TOKENS = 20;

  /** A silence that began longer ago is no witness any more. */
  private static final double WITNESS_MEMORY_OBJECTIVES = 4;

  /** The time over which those spread that could refute. */
  private static final double REFUTE_WITHIN_OBJECTIVES = 0.25;

  /** Witnesses have to stand so long: refutations come within the above, and travel. */
  private static final double DECIDE_AFTER_OBJECTIVES = 0.35;

  /**
   * Where responses get lost at chance, most of what a proxy says is refuted and paid for all the
   * same: it says ever less of it, down to this share. Of an endpoint that hangs, so many proxies
   * lose requests that a part of them is enough.
   */
  private static final double MIN_BROADCAST_SHARE = 0.2;

  private static final double BROADCAST_SHARE_STEP = 0.2;

  /** This proxy as a witness. */
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
   * One proxy's share in it.
   *
   * @param zone its own zone, or null
   * @param proxyCount how many there are in the tier, itself included
   * @param objectiveMillis the shortest latency objective
   * @param seed of its waits, which should differ from proxy to proxy
   * @param actions what carries out its decisions
   */
  public SuspicionProtocol(
      String zone, int proxyCount, double objectiveMillis, long seed, Actions actions) {
    this.zone = SuspicionMessage.zoneByte(zone);
    this.trialSpread = new TrialSpread(proxyCount);
    this.objectiveMillis = objectiveMillis;
    this.random = new SplittableRandom(seed);
    this.actions = actions;
  }

  /** Another shortest latency objective holds from now on. */
  public void onSettings(double newObjectiveMillis) {
    objectiveMillis = newObjectiveMillis;
  }

  /**
   * A list of endpoints, or changes to one, as the load balancer gets it. What is known of an
   * endpoint ends with its process.
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

  /** The endpoint is another than it was, for a reason that no list tells. */
  public void forget(long endpoint) {
    suspicions.remove(endpoint);
  }

  /** An own attempt has begun: it earns a message. */
  public void onAttempt() {
    messageTokens = Math.min(MAX_MESSAGE_TOKENS, messageTokens + 1);
  }

  /** The endpoint has answered an own request, whatever it said. */
  public void onResponse(double nowMillis, long endpoint) {
    EndpointSuspicion suspicion = suspicions.get(endpoint);
    if (suspicion == null) {
      return;
    }
    if (suspicion.isEjected()) {
      broadcast(endpoint, 0, true); // the trial that all wait for
    }
    recordResponse(suspicion, nowMillis);
  }

  /**
   * An own request to the endpoint, sent at that time, got no response, and nothing else came from
   * there since.
   */
  public void onNoResponse(double nowMillis, long endpoint, double sentAtMillis) {
    EndpointSuspicion suspicion = suspicions.get(endpoint);
    if (suspicion == null
        || suspicion.lastResponseMillis >= sentAtMillis
        || (suspicion.isEjected() && !suspicion.isEjectedBefore(sentAtMillis))) {
      return; // others know better, or know it by now
    }
    if (random.nextDouble() < broadcastShare) {
      broadcast(endpoint, nowMillis - sentAtMillis, false);
    }
    addWitness(suspicion, endpoint, SELF, sentAtMillis, nowMillis);
  }

  /** A message has come from the proxy of that number; what is no message is ignored. */
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

  /** Time has passed that was asked for. */
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

  /** Whether the endpoint is ejected on the word of several. */
  public boolean isEjected(long endpoint) {
    EndpointSuspicion suspicion = suspicions.get(endpoint);
    return suspicion != null && suspicion.isEjected();
  }

  private void onAliveMessage(EndpointSuspicion suspicion, long endpoint, double atMillis) {
    boolean readmitted = suspicion.isEjectedBefore(atMillis);
    if (atMillis > suspicion.lastResponseMillis) {
      recordResponse(suspicion, atMillis);
    }
    if (readmitted) {
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
        .removeIf(each -> each < nowMillis - WITNESS_MEMORY_OBJECTIVES * objectiveMillis);
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
