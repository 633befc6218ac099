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
import leadferry.loadbalancer.RequestPolicy;

/**
 * Measures, in simulated time, what the spread over hosts and the number of connections lose if
 * each worker counts only its own requests: the same arrivals go to one load balancer, and are
 * distributed over several. Hosts have three cores each and a queue; a request takes 10 ms of a
 * core on average.
 */
public final class WorkerSpread {
  private static final int HOSTS = 30;
  private static final int CORES = 3;
  private static final double MEAN_SERVICE_MILLIS = 10;
  private static final int REQUESTS = 400_000;

  private record Event(double atMillis, int worker, long request, int host) {}

  private WorkerSpread() {}

  /** Prints one line for each number of workers and each load. */
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
    PriorityQueue<Event> completions =
        new PriorityQueue<>((a, b) -> Double.compare(a.atMillis(), b.atMillis()));
    int[][] open = new int[workers][HOSTS + 1];
    int[][] peakOpen = new int[workers][HOSTS + 1];
    int[] running = new int[HOSTS + 1];
    @SuppressWarnings({"unchecked", "rawtypes"})
    ArrayDeque<Event>[] queues = new ArrayDeque[HOSTS + 1];
    Arrays.setAll(queues, i -> new ArrayDeque<Event>());
    double[] nowMillis = {1e6};
    long[] rejected = {0};
    int[] longestQueue = {0};
    java.util.Map<Long, Double> startedAt = new java.util.HashMap<>();
    LoadBalancer[] loadBalancers = new LoadBalancer[workers];
    for (int index = 0; index < workers; index++) {
      int worker = index;
      loadBalancers[index] =
          new LoadBalancer(
              PickBenchmark.settings().withProxyIndex(0),
              index + 1,
              new PickBenchmark.NoOpActions() {
                @Override
                public void send(long request, long endpoint, double windowMillis) {
                  int hostIndex = (int) endpoint;
                  peakOpen[worker][hostIndex] =
                      Math.max(peakOpen[worker][hostIndex], ++open[worker][hostIndex]);
                  Event event = new Event(nowMillis[0], worker, request, hostIndex);
                  if (running[hostIndex] < CORES) {
                    running[hostIndex]++;
                    completions.add(
                        new Event(
                            nowMillis[0] + drawServiceMillis(random), worker, request, hostIndex));
                  } else {
                    queues[hostIndex].add(event);
                    longestQueue[0] = Math.max(longestQueue[0], queues[hostIndex].size());
                  }
                }

                @Override
                public void reject(long request, double retryAfterMillis) {
                  rejected[0]++;
                }
              });
      loadBalancers[index].onStart(nowMillis[0]);
      loadBalancers[index].onEndpointList(
          nowMillis[0], EndpointListEvent.FULL, PickBenchmark.endpoints(HOSTS));
    }
    double requestsPerMilli = load * HOSTS * CORES / MEAN_SERVICE_MILLIS;
    double[] responseMillis = new double[REQUESTS];
    int completed = 0;
    double nextArrivalMillis = nowMillis[0];
    for (long id = 0; id < REQUESTS; ) {
      if (!completions.isEmpty() && completions.peek().atMillis() <= nextArrivalMillis) {
        Event event = completions.poll();
        nowMillis[0] = event.atMillis();
        running[event.host()]--;
        Event waiting = queues[event.host()].poll();
        if (waiting != null) {
          running[event.host()]++;
          completions.add(
              new Event(
                  nowMillis[0] + drawServiceMillis(random),
                  waiting.worker(),
                  waiting.request(),
                  event.host()));
        }
        open[event.worker()][event.host()]--;
        double spentMillis = nowMillis[0] - startedAt.remove(event.request());
        responseMillis[completed++] = spentMillis;
        loadBalancers[event.worker()].onOutcome(
            nowMillis[0], event.request(), 0, AttemptOutcome.OK, spentMillis, true, null);
      } else {
        nowMillis[0] = nextArrivalMillis;
        startedAt.put(id, nextArrivalMillis);
        LoadBalancer loadBalancer = loadBalancers[random.nextInt(workers)];
        RequestPolicy policy = loadBalancer.policyOf("c", 800);
        loadBalancer.onRequest(
            nextArrivalMillis, new RequestArrival(id, policy, null, 800, Double.NaN, false));
        id++;
        nextArrivalMillis += -Math.log(1 - random.nextDouble()) / requestsPerMilli;
      }
    }
    double[] sorted = Arrays.copyOf(responseMillis, completed);
    Arrays.sort(sorted);
    long connections = 0;
    for (int[] index : peakOpen) {
      for (int h : index) {
        connections += h;
      }
    }
    System.out.printf(
        Locale.ROOT,
        "%7d  %.2f  %7.1f  %7.1f  %11d  %11d  %7d%n",
        workers,
        load,
        sorted[completed / 2],
        sorted[(int) (completed * 0.99)],
        longestQueue[0],
        connections,
        rejected[0]);
  }

  private static double drawServiceMillis(SplittableRandom random) {
    return -Math.log(1 - random.nextDouble()) * MEAN_SERVICE_MILLIS;
  }
}
