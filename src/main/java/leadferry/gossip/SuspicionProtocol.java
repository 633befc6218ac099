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
 * Silent hosts, found by all proxies together: suspicion and refutation, as in SWIM (Das, Gupta,
 * Motivala, 2002), over the requests that are sent anyway in place of probes.
 *
 * <p>Why: a proxy of many sends a host a request in six seconds, so each has to lose some before it
 * leaves a silent one out, and a hundred proxies lose a hundred times as much. Two that lost one
 * each know enough for all.
 *
 * <pre>
 *   A: request ---- no answer ---> tells "silent since t"
 *   B: request ---- no answer ---> tells "silent since t'"        C, D, ...: two witnesses that stand: left out
 *   E: has had an answer since t  -> tells "answers" instead      C, D, ...: the witnesses are forgotten
 *
 *   left out ...... each tries it again after one to its spread of aims, at chance
 *   the first whose trial is lost says so: the others wait on; the first that is answered says so: all come back
 * </pre>
 *
 * <p>What an answer refutes is a silence that began before it. So a lost answer, of a host that
 * serves others, is refuted within a quarter of an aim; a host that hangs is not. Who refutes waits
 * for a chance part of that time and stays still where another was faster. What a zone can reach is
 * known to that zone alone: messages of others are passed over.
 *
 * <p>Bounds: a record for each host that is in the list; at most {@link #MOST_WITNESSES} witnesses
 * in it; as many messages as attempts, saved up to {@link #MOST_SAVED}. Not safe for use from
 * several threads at once. Times are ms.
 */
public final class SuspicionProtocol {
  /** What it asks of its proxy; called from within the event methods. */
  public interface Actions {
    /** Sends a message to every proxy of the tier. */
    void tell(byte[] message);

    /**
     * The host should get nothing for so long (ms), then a trial; {@code again} where it was left
     * out before.
     */
    void leaveOut(long host, double length, boolean again);

    /** The host answers others: it may get requests again. */
    void takeBack(long host);

    /** Asks for {@link SuspicionProtocol#due} after so long (ms). */
    void later(double delay);
  }

  /** Distinct witnesses that are enough: one can be cut off itself, or have lost one answer. */
  private static final int ENOUGH = 2;

  private static final int MOST_WITNESSES = 8;
  private static final int MOST_SAVED = 20;

  /** A silence (in aims) that began longer ago is no witness any more. */
  private static final double MEMORY = 4;

  /** The time (in aims) over which those spread that could refute. */
  private static final double REFUTE_WITHIN = 0.25;

  /**
   * The most (in aims) that a host is left out on the word of others; the module's own longest
   * time.
   */
  private static final double MOST_SPREAD = 20;

  /**
   * How many proxies send to a host is known to none, so the time is found: lost trials that come
   * within two aims of each other were too many, and everybody, having heard the same, waits
   * longer; after four, less long.
   */
  private static final double TRIALS_CLOSE = 2;

  private static final double TRIALS_FAR = 4;

  /** It begins with one trial in two aims where one proxy in so many sends to a host. */
  private static final double FIRST_SPREAD = 10;

  private static final double SPREAD_STEP = 1.5;

  /**
   * The time (in aims) that two witnesses have to stand: refutations come within the above, and
   * travel.
   */
  private static final double DECIDE_AFTER = 0.35;

  /**
   * Where answers get lost at chance, most of what a proxy says is refuted and paid for all the
   * same: it says ever less of it, down to this part. Of a host that hangs, so many proxies lose
   * requests that a part of them is enough.
   */
  private static final double LEAST_SAID = 0.2;

  private static final double SAID_STEP = 0.2;

  private static final int SELF = -1;

  /** What is known of one host. */
  private static final class Standing {
    final Map<Integer, Double> witnesses = new HashMap<>(4);
    double answeredAt = Double.NEGATIVE_INFINITY;
    double leftOutAt = Double.NaN;
    double refuteAt = Double.POSITIVE_INFINITY;
    double decideAt = Double.POSITIVE_INFINITY;
    double spread;
    final double onlineSince;

    Standing(double onlineSince) {
      this.onlineSince = onlineSince;
    }

    boolean leftOut() {
      return !Double.isNaN(leftOutAt);
    }
  }

  private final byte zone;
  private final double spread;
  private final SplittableRandom random;
  private final Actions actions;
  private final Map<Long, Standing> standings = new HashMap<>();
  private double pace;
  private double saved = MOST_SAVED;
  private double said = 1;

  /**
   * One proxy's share in it.
   *
   * @param zone its own zone, or null
   * @param proxies how many there are in the tier, itself included
   * @param pace the shortest aim (ms)
   * @param seed of its waits, which should differ from proxy to proxy
   * @param actions what carries out its decisions
   */
  public SuspicionProtocol(String zone, int proxies, double pace, long seed, Actions actions) {
    this.zone = Suspicion.zoneByte(zone);
    this.spread = Math.max(1, Math.min(MOST_SPREAD, proxies / FIRST_SPREAD));
    this.pace = pace;
    this.random = new SplittableRandom(seed);
    this.actions = actions;
  }

  /** Another shortest aim (ms) holds from now on. */
  public void pace(double aim) {
    pace = aim;
  }

  /**
   * A list of hosts, or changes to one, as the module gets it. What is known of a host ends with
   * its process.
   */
  public void members(EndpointListEvent kind, List<EndpointUpdate> entries) {
    if (kind == EndpointListEvent.FAILED) {
      return;
    }
    Set<Long> ready = new HashSet<>();
    for (EndpointUpdate e : entries) {
      if (e.condition() == EndpointUpdate.Condition.READY) {
        ready.add(e.id());
        standings.compute(
            e.id(),
            (id, s) ->
                s != null && s.onlineSince == e.onlineSince() ? s : new Standing(e.onlineSince()));
      } else {
        standings.remove(e.id());
      }
    }
    if (kind != EndpointListEvent.DELTA) {
      standings.keySet().retainAll(ready);
    }
  }

  /**
   * The host is another than it was, for a reason that no list tells: what was known of it is void.
   */
  public void forget(long host) {
    standings.remove(host);
  }

  /** An own attempt has begun: it earns a message. */
  public void attempted() {
    saved = Math.min(MOST_SAVED, saved + 1);
  }

  /** The host has answered an own request, whatever it said. */
  public void answered(double now, long host) {
    Standing s = standings.get(host);
    if (s == null) {
      return;
    }
    if (s.leftOut()) {
      tell(host, 0, true); // the trial that all wait for
    }
    alive(s, now);
  }

  /**
   * An own request to the host, sent at that time, got no answer, and nothing else came from there
   * since.
   */
  public void silent(double now, long host, double sentAt) {
    Standing s = standings.get(host);
    if (s == null || s.answeredAt >= sentAt || (s.leftOut() && sentAt <= s.leftOutAt)) {
      return; // others know better, or know it by now
    }
    if (random.nextDouble() < said) {
      tell(host, now - sentAt, false);
    }
    witness(s, host, SELF, sentAt, now);
  }

  /** A message from the proxy of that number. */
  public void heard(double now, int from, byte[] message) {
    Suspicion m = Suspicion.read(message);
    Standing s = m == null || m.zone() != zone ? null : standings.get(m.host());
    if (s == null) {
      return;
    }
    double since = now - m.age();
    if (m.answers()) {
      boolean back = s.leftOut() && since > s.leftOutAt;
      if (since > s.answeredAt) {
        alive(s, since);
      }
      if (back) {
        actions.takeBack(m.host());
      }
    } else if (s.answeredAt > since) {
      if (s.refuteAt == Double.POSITIVE_INFINITY) {
        double delay = random.nextDouble() * REFUTE_WITHIN * pace;
        s.refuteAt = now + delay;
        actions.later(delay);
      }
    } else {
      witness(s, m.host(), from, since, now);
    }
  }

  /** Time has passed that was asked for. */
  public void due(double now) {
    standings.forEach(
        (host, s) -> {
          if (s.refuteAt <= now) {
            s.refuteAt = Double.POSITIVE_INFINITY;
            tell(host, now - s.answeredAt, true);
          }
          if (s.decideAt <= now) {
            s.decideAt = Double.POSITIVE_INFINITY;
            if (s.witnesses.size() >= ENOUGH) {
              leaveOut(s, host, now);
            }
          }
        });
  }

  /** Whether the host is left out on the word of several. */
  public boolean leavesOut(long host) {
    Standing s = standings.get(host);
    return s != null && s.leftOut();
  }

  private void alive(Standing s, double at) {
    s.answeredAt = at;
    s.refuteAt = Double.POSITIVE_INFINITY;
    if (s.witnesses.containsKey(SELF) && s.witnesses.get(SELF) <= at) {
      said = Math.max(LEAST_SAID, said - SAID_STEP * said);
    }
    s.witnesses.values().removeIf(since -> since <= at);
    if (s.leftOut() && at > s.leftOutAt) {
      s.leftOutAt = Double.NaN;
    }
  }

  private void witness(Standing s, long host, int from, double since, double now) {
    s.witnesses.values().removeIf(w -> w < now - MEMORY * pace);
    if (s.witnesses.size() < MOST_WITNESSES) {
      s.witnesses.put(from, since);
    }
    if (s.leftOut() && since > s.leftOutAt) {
      leaveOut(s, host, now); // a trial was lost
    } else if (!s.leftOut()
        && s.witnesses.size() >= ENOUGH
        && s.decideAt == Double.POSITIVE_INFINITY) {
      s.decideAt = now + DECIDE_AFTER * pace;
      actions.later(DECIDE_AFTER * pace);
    }
  }

  private void leaveOut(Standing s, long host, double now) {
    if (s.witnesses.containsKey(SELF)) {
      said = Math.min(1, said + SAID_STEP);
    }
    boolean again = s.leftOut();
    double since = (now - s.leftOutAt) / pace;
    if (!again) {
      s.spread = spread;
    } else if (since < TRIALS_CLOSE) {
      s.spread = Math.min(MOST_SPREAD, s.spread * SPREAD_STEP);
    } else if (since > TRIALS_FAR) {
      s.spread = Math.max(1, s.spread / SPREAD_STEP);
    }
    s.leftOutAt = now;
    actions.leaveOut(host, pace * (1 + random.nextDouble() * s.spread), again);
  }

  private void tell(long host, double age, boolean answers) {
    if (saved >= 1) {
      saved--;
      actions.tell(
          new Suspicion(zone, host, (int) Math.round(Math.min(Suspicion.MOST_AGE, age)), answers)
              .bytes());
    }
  }
}
