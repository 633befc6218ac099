import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Discovery is asked. It is down for 8 s, five times, and answers every call at once otherwise.
 * As it returns, some hosts begin to drain.
 */
public final class DiscoveryReturns {
  private static final int PROXIES = 44;
  private static final int HOSTS = 24;
  private static final int OUTAGES = 5;
  private static final int DRAINS = 4;
  private static final double OUTAGE_MILLIS = 8_000;

  /**
   * After 6 s a change counts as told; then come the grace, the slack of sockets, and 50 ms for the
   * way from the client proxy to the line of code that notes the arrival here.
   */
  private static final double LAST_SEND_MILLIS = 6_000 + 500 + 50 + 50;

  public static void main(String[] args) {
    Kit.main(args, DiscoveryReturns::run);
  }

  private static boolean run(boolean trouble) throws Exception {
    Queue<Kit.Arrival> arrivals = new ConcurrentLinkedQueue<>();
    AtomicInteger failures = new AtomicInteger();
    Kit.Discovery discovery =
        new Kit.Discovery() {
          @Override
          void onCall(String call, boolean failed) {
            failures.addAndGet(failed ? 1 : 0);
          }
        };
    List<Kit.Host> hosts = new ArrayList<>();
    for (int i = 0; i < HOSTS; i++) {
      Kit.Host host = new Kit.Host("s-" + i, i / 4, 20, arrivals);
      hosts.add(host);
      discovery.put(host, "up");
    }
    List<Kit.Proxy> proxies = new ArrayList<>();
    List<Kit.Application> applications = new ArrayList<>();
    for (int i = 0; i < PROXIES; i++) {
      proxies.add(
          Kit.start(
              "n" + i,
              discovery.address(),
              discovery.list(-1),
              Kit.settings("subscribe", i, PROXIES),
              Kit.LIMITS));
    }
    for (Kit.Proxy proxy : proxies) {
      proxy.awaitReady();
      applications.add(new Kit.Application(proxy));
    }
    Kit.sleep(2_000);
    applications.forEach(application -> application.load(20));
    Kit.sleep(2_000);

    Map<String, Double> reachableAt = new HashMap<>();
    for (int i = 0; i < OUTAGES; i++) {
      if (trouble) {
        discovery.goDown();
        Kit.say("discovery is down");
      }
      Kit.sleep(OUTAGE_MILLIS);
      Set<String> draining = new HashSet<>();
      for (Kit.Host host : hosts.subList(DRAINS * i, DRAINS * (i + 1))) {
        draining.add(host.id);
      }
      double at = Kit.now();
      for (Kit.Host host : hosts.subList(DRAINS * i, DRAINS * (i + 1))) {
        discovery.put(host, "draining");
      }
      discovery.up();
      draining.forEach(id -> reachableAt.put(id, at));
      Kit.say("discovery answers, " + draining + " drain, calls failed so far " + failures.get());
      Kit.sleep(7_800);
    }
    applications.forEach(application -> application.stopped = true);
    Kit.sleep(2_000);

    int late = 0;
    double last = 0;
    for (Kit.Arrival arrival : arrivals) {
      Double from = reachableAt.get(arrival.host());
      if (from != null && arrival.at() > from) {
        double after = arrival.at() - from;
        boolean broken = after > LAST_SEND_MILLIS;
        late += broken ? 1 : 0;
        last = Math.max(last, after);
        Kit.record("host " + arrival.host() + " got " + arrival.id() + " "
            + Math.round(after) + " ms after discovery told of its drain"
            + (broken ? ": BROKEN" : ""));
      }
    }
    long answered = applications.stream().mapToLong(a -> a.answers.size()).sum();
    Kit.say("answers " + answered + ", requests that reached a draining host after "
        + Math.round(LAST_SEND_MILLIS) + " ms: " + late + ", the last after " + Math.round(last)
        + " ms");
    if (answered < 5_000) {
      throw new Kit.CannotRun("too little was answered");
    }
    return late == 0;
  }
}
