package leadferry.proxy;

import static leadferry.proxy.QueueingDiscovery.list;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

/**
 * Measures the calls that many proxies make to one discovery while it is down for a minute, and how
 * soon after its return all of them have its list. Started by hand; prints a line for each kind of
 * outage.
 */
public final class DiscoveryOutageLoad {
  private static final int PROXIES = 300;
  private static final int LOOPS = 4;
  private static final int ASK_WITHIN_MILLIS = 10_000;
  private static final long OUTAGE_MILLIS = 60_000;
  private static final long RETURN_TIMEOUT_MILLIS = 60_000;

  /** Work on one call: 300 calls take 3 s. */
  private static final long WORK_MILLIS = 10;

  private DiscoveryOutageLoad() {}

  /** Runs the outages named by the arguments, by default each of REJECT, RESET, HOLD. */
  public static void main(String[] arguments) throws Exception {
    List<String> modes =
        List.of(arguments.length > 0 ? arguments : new String[] {"REJECT", "RESET", "HOLD"});
    for (String mode : modes) {
      measure(QueueingDiscovery.Mode.valueOf(mode));
    }
    System.exit(0);
  }

  private static void measure(QueueingDiscovery.Mode outage) throws Exception {
    Path folder = Files.createTempDirectory("discovery-load");
    try (QueueingDiscovery discovery = new QueueingDiscovery(list(41, "old"));
        ProxyFixture fixture = new ProxyFixture(folder, 128)) {
      fixture.pollsDiscovery = true;
      fixture.askWithinMillis = ASK_WITHIN_MILLIS;
      Path config = fixture.writeConfig(discovery.address(), list(40, "old"));
      try (DiscoveryWatchFleet fleet =
          new DiscoveryWatchFleet(PROXIES, LOOPS, config, ProxyFixture.discardingLog())) {
        Thread.sleep(3_000);
        long downNanos = System.nanoTime();
        discovery.setMode(outage);
        discovery.resetConnections();
        Thread.sleep(OUTAGE_MILLIS);
        discovery.setChange(list(42, "new"));
        discovery.setWorkMillis(WORK_MILLIS);
        discovery.setMode(QueueingDiscovery.Mode.ANSWER);
        long upNanos = System.nanoTime();
        int informed = 0;
        while (informed < PROXIES && millisSince(upNanos) < RETURN_TIMEOUT_MILLIS) {
          Thread.sleep(20);
          informed = fleet.countSendable("new");
        }
        report(outage, discovery.callNanos, downNanos, upNanos, informed, millisSince(upNanos));
      }
    }
  }

  private static void report(
      QueueingDiscovery.Mode outage,
      List<Long> calls,
      long downNanos,
      long upNanos,
      int informed,
      long allMillis) {
    int[] perSecond = new int[(int) (OUTAGE_MILLIS / 1_000) + 1];
    int[] perTenth = new int[10 * perSecond.length];
    long total = 0;
    long later = 0;
    for (long call : calls) {
      if (call >= upNanos) {
        later++;
      } else if (call >= downNanos) {
        total++;
        int tenth = (int) ((call - downNanos) / 100_000_000);
        perTenth[Math.min(tenth, perTenth.length - 1)]++;
        perSecond[Math.min(tenth / 10, perSecond.length - 1)]++;
      }
    }
    int settledPeak = 0;
    for (int tenth = 200; tenth < 600; tenth++) {
      settledPeak = Math.max(settledPeak, perTenth[tenth]);
    }
    System.out.printf(
        Locale.ROOT,
        "%s: %d proxies, %.1f calls/s in %d s, first seconds %d %d %d %d %d, most in 0.1 s after"
            + " 20 s: %d; after the return %d informed after %d ms, %d calls%n",
        outage,
        PROXIES,
        total * 1_000.0 / OUTAGE_MILLIS,
        OUTAGE_MILLIS / 1_000,
        perSecond[0],
        perSecond[1],
        perSecond[2],
        perSecond[3],
        perSecond[4],
        settledPeak,
        informed,
        allMillis,
        later);
  }

  private static long millisSince(long startNanos) {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }
}
