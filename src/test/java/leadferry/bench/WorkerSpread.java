package leadferry.bench;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Locale;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import leadferry.loadbalancer.AttemptOutcome;
import leadferry.loadbalancer.EndpointListEvent;
import leadferry.loadbalancer.LoadBalancer;
import leadferry.loadbalancer.RequestArrival;

/**
 * What it costs the spread over hosts and the connections to them that workers count for
 * themselves: the same arrivals to one module, and dealt out to several, in simulated time. Hosts
 * have three cores each and a queue; requests take 10 ms of a core on average.
 */
public final class WorkerSpread {
  private static final int HOSTS = 30;
  private static final int CORES = 3;
  private static final double SERVICE = 10;
  private static final int REQUESTS = 400_000;

  private record Event(double at, int worker, long id, int host) {}

  private WorkerSpread() {}

  /** Prints a line for each number of workers and each load. */
  public static void main(String[] args) {
    System.out.println("workers  load   p50 ms   p99 ms  worst queue  connections  refused");
    for (double load : new double[] {0.33, 0.67, 0.85}) {
      for (int workers : new int[] {1, 2, 4, 8}) {
        run(workers, load);
      }
    }
  }

  private static void run(int workers, double load) {
    SplittableRandom random = new SplittableRandom(5);
    PriorityQueue<Event> ends = new PriorityQueue<>((a, b) -> Double.compare(a.at(), b.at()));
    int[][] open = new int[workers][HOSTS + 1];
    int[][] most = new int[workers][HOSTS + 1];
    int[] running = new int[HOSTS + 1];
    @SuppressWarnings({"unchecked", "rawtypes"})
    ArrayDeque<Event>[] queues = new ArrayDeque[HOSTS + 1];
    Arrays.setAll(queues, i -> new ArrayDeque<Event>());
    double[] now = {1e6};
    long[] refused = {0};
    int[] worst = {0};
    java.util.Map<Long, Double> startedAt = new java.util.HashMap<>();
    LoadBalancer[] modules = new LoadBalancer[workers];
    for (int w = 0; w < workers; w++) {
      int worker = w;
      modules[w] =
          new LoadBalancer(
              PickBenchmark.settings().withProxyIndex(0),
              w + 1,
              new PickBenchmark.NoOpActions() {
                @Override
                public void send(long request, long host, double apart) {
                  int h = (int) host;
                  most[worker][h] = Math.max(most[worker][h], ++open[worker][h]);
                  Event e = new Event(now[0], worker, request, h);
                  if (running[h] < CORES) {
                    running[h]++;
                    ends.add(new Event(now[0] + service(random), worker, request, h));
                  } else {
                    queues[h].add(e);
                    worst[0] = Math.max(worst[0], queues[h].size());
                  }
                }

                @Override
                public void reject(long request, double retryAfterMillis) {
                  refused[0]++;
                }
              });
      modules[w].onStart(now[0]);
      modules[w].onEndpointList(now[0], EndpointListEvent.FULL, PickBenchmark.entries(HOSTS));
    }
    double rate = load * HOSTS * CORES / SERVICE;
    double[] times = new double[REQUESTS];
    int done = 0;
    double next = now[0];
    for (long id = 0; id < REQUESTS; ) {
      if (!ends.isEmpty() && ends.peek().at() <= next) {
        Event e = ends.poll();
        now[0] = e.at();
        running[e.host()]--;
        Event waiting = queues[e.host()].poll();
        if (waiting != null) {
          running[e.host()]++;
          ends.add(new Event(now[0] + service(random), waiting.worker(), waiting.id(), e.host()));
        }
        open[e.worker()][e.host()]--;
        double spent = now[0] - startedAt.remove(e.id());
        times[done++] = spent;
        modules[e.worker()].onOutcome(now[0], e.id(), 0, AttemptOutcome.OK, spent, true, null);
      } else {
        now[0] = next;
        startedAt.put(id, next);
        modules[random.nextInt(workers)].onRequest(
            next, new RequestArrival(id, "c", null, 800, Double.NaN, false));
        id++;
        next += -Math.log(1 - random.nextDouble()) / rate;
      }
    }
    double[] sorted = Arrays.copyOf(times, done);
    Arrays.sort(sorted);
    long connections = 0;
    for (int[] w : most) {
      for (int h : w) {
        connections += h;
      }
    }
    System.out.printf(
        Locale.ROOT,
        "%7d  %.2f  %7.1f  %7.1f  %11d  %11d  %7d%n",
        workers,
        load,
        sorted[done / 2],
        sorted[(int) (done * 0.99)],
        worst[0],
        connections,
        refused[0]);
  }

  private static double service(SplittableRandom random) {
    return -Math.log(1 - random.nextDouble()) * SERVICE;
  }
}
