import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Discovery is asked. It breaks off the watches, and from then on each call waits 3.5 s for its
 * turn and is then answered soundly. Some hosts begin to drain right after the break.
 */
public final class CrowdedDiscovery {
  private static final int PROXIES = 3;
  private static final int HOSTS = 8;
  private static final double TURN_MILLIS = 3_500;

  /** After these 6 s a change counts as told; then come the grace and the slack of sockets. */
  private static final double LAST_SEND_MILLIS = 6_000 + 500 + 50;

  public static void main(String[] args) {
    Kit.main(args, CrowdedDiscovery::run);
  }

  private static boolean run(boolean trouble) throws Exception {
    Queue<Kit.Arrival> arrivals = new ConcurrentLinkedQueue<>();
    Kit.Discovery discovery = new Kit.Discovery();
    List<Kit.Host> hosts = new ArrayList<>();
    for (int i = 0; i < HOSTS; i++) {
      Kit.Host host = new Kit.Host("s-" + i, i / 4, 20, arrivals);
      hosts.add(host);
      discovery.put(host, "up");
    }
    List<Kit.Application> applications = new ArrayList<>();
    List<Kit.Proxy> proxies = new ArrayList<>();
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
    applications.forEach(application -> application.load(30));
    Kit.sleep(4_000);

    Kit.say("the watches end" + (trouble ? ", each call now waits 3.5 s for its turn" : ""));
    discovery.waitMillis = trouble ? TURN_MILLIS : 0;
    discovery.endWatches();
    double drainAt = Kit.now();
    Set<String> draining = new HashSet<>();
    for (Kit.Host host : hosts.subList(0, 2)) {
      discovery.put(host, "draining");
      draining.add(host.id);
    }
    Kit.say("hosts " + draining + " drain");
    Kit.sleep(25_000);
    applications.forEach(application -> application.stopped = true);
    Kit.sleep(2_000);

    int late = 0;
    double last = 0;
    for (Kit.Arrival arrival : arrivals) {
      if (draining.contains(arrival.host()) && arrival.at() > drainAt) {
        double after = arrival.at() - drainAt;
        boolean broken = after > LAST_SEND_MILLIS;
        late += broken ? 1 : 0;
        last = Math.max(last, after);
        Kit.record("host " + arrival.host() + " got " + arrival.id() + " "
            + Math.round(after) + " ms after it began to drain" + (broken ? ": BROKEN" : ""));
      }
    }
    long answered = applications.stream().mapToLong(a -> a.answers.size()).sum();
    Kit.say("answers " + answered + ", requests that reached a draining host after "
        + Math.round(LAST_SEND_MILLIS) + " ms: " + late + ", the last after " + Math.round(last)
        + " ms");
    if (answered < 500) {
      throw new Kit.CannotRun("too little was answered");
    }
    return late == 0;
  }
}
