package leadferry.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * Sizes, settings, faults and events of a run, derived from a seed or set by a test.
 *
 * @param seed the seed of the random choices of the clients, upstreams, proxies and faults
 * @param durationMs the duration of the run in milliseconds
 * @param proxies the number of proxy processes
 * @param upstreams the number of upstream hosts
 * @param clientsPerProxy the number of clients of each proxy that send complete requests
 * @param stalledClientsPerProxy the number of clients of each proxy that send half of a request, or
 *     nothing, and stay connected
 * @param descriptorLimit the number of file descriptors that a proxy may open
 * @param serviceMs the mean service time of an upstream in milliseconds
 * @param drainGraceMs the time in milliseconds after a drain notice within which attempts may start
 * @param maxAttempts the largest number of attempts for one request
 * @param cancel whether proxies cancel attempts
 * @param clientProfile how clients act
 * @param systemCallFaults the faults injected into the process of each proxy
 * @param clockStep "from_ms step_ms" of the wall clock, or null
 * @param events the events of the run, in the order of their times
 * @param sabotage the deliberate fault of the run
 */
record SoakPlan(
    long seed,
    long durationMs,
    int proxies,
    int upstreams,
    int clientsPerProxy,
    int stalledClientsPerProxy,
    int descriptorLimit,
    double serviceMs,
    int drainGraceMs,
    int maxAttempts,
    boolean cancel,
    SoakClient.Profile clientProfile,
    List<SystemCallFault> systemCallFaults,
    String clockStep,
    List<Event> events,
    Sabotage sabotage) {
  /** Deliberate fault of a run, used to show that the judge finds it. */
  enum Sabotage {
    NONE,
    /** Drains are recorded as notified, but discovery does not send them. */
    DRAIN_NOTICES_DROPPED
  }

  /** Signal that follows the SIGTERM of a restart. */
  enum FollowUp {
    TERM,
    HUP,
    /** SIGSTOP, and SIGCONT a moment later. */
    PAUSE
  }

  /** Series of signals that follow the SIGTERM of a restart, by the argument of its event. */
  static final List<List<FollowUp>> FOLLOW_UPS =
      List.of(
          List.of(),
          List.of(FollowUp.TERM, FollowUp.HUP, FollowUp.TERM),
          List.of(FollowUp.HUP, FollowUp.PAUSE, FollowUp.HUP),
          List.of(FollowUp.PAUSE, FollowUp.TERM, FollowUp.PAUSE));

  /** Kind of an event during a run. */
  enum EventKind {
    /**
     * Sends SIGTERM to a proxy, then the series of {@link #FOLLOW_UPS} that {@code argument}
     * selects, and SIGKILL as early as the protocol page allows; starts a new process.
     */
    RESTART,
    /** Sends SIGHUP to a proxy. */
    RELOAD,
    /** Sends SIGSTOP to a proxy, and SIGCONT after {@code argument} milliseconds. */
    PAUSE,
    /**
     * Switches an upstream to the {@link RecordingUpstream.Behaviour} with the ordinal {@code
     * argument}.
     */
    SET_BEHAVIOUR,
    /** Drains an upstream. */
    DRAIN,
    /** Kills a proxy by SIGKILL, as in a crash. */
    CRASH,
    /**
     * Makes the discovery of a proxy silent if {@code argument} is 1, and ends the silence if it is
     * 0.
     */
    SILENCE_DISCOVERY,
    /** Closes the watches of the discovery of a proxy. */
    CLOSE_WATCHES
  }

  /**
   * Event at a time in milliseconds after the start of the run; {@code target} selects the proxy or
   * the upstream.
   */
  record Event(long atMs, EventKind kind, int target, long argument) {}

  /**
   * Failures of accept(2) according to its manual page: errors of a pending connection, which
   * accept then skips, and shortages of resources.
   */
  static final List<String> ACCEPT_FAULTS =
      List.of(
          "EINTR",
          "ECONNABORTED",
          "EMFILE",
          "ENFILE",
          "ENOBUFS",
          "ENOMEM",
          "EPROTO",
          "EPERM",
          "ENETDOWN",
          "EHOSTUNREACH",
          "ENETUNREACH");

  /** Failures of connect(2) that do not mean that the upstream crashed. */
  static final List<String> CONNECT_FAULTS =
      List.of(
          "EADDRNOTAVAIL", "ENETUNREACH", "EHOSTUNREACH", "ETIMEDOUT", "ENOBUFS", "ECONNREFUSED");

  /** Failures of read(2) and recv(2) that leave the connection usable. */
  static final List<String> TRANSIENT_READ_FAULTS = List.of("SHORT", "EINTR", "ENOMEM", "ENOBUFS");

  /** Failures of write(2) and send(2) that leave the connection usable. */
  static final List<String> TRANSIENT_WRITE_FAULTS = List.of("SHORT", "EINTR", "ENOBUFS", "ENOMEM");

  /** Failures that end a connection to an upstream. */
  static final List<String> FATAL_FAULTS =
      List.of("ECONNRESET", "ETIMEDOUT", "EHOSTUNREACH", "EPIPE");

  /** Clients of a steady run. */
  static final SoakClient.Profile STEADY_CLIENTS =
      new SoakClient.Profile(60, 0.5, 0, 800, 1_200, false);

  private static final int MAX_FAULTS = 4;
  private static final int MAX_EVENTS = 8;
  private static final long FIRST_EVENT_MS = 500;

  /**
   * Returns a run of one proxy with these system call faults and no events; half of the requests
   * use a new connection.
   */
  static SoakPlan steady(long seed, long durationMs, List<SystemCallFault> faults) {
    return steady(seed, durationMs, faults, STEADY_CLIENTS);
  }

  /** Returns a run as {@link #steady(long, long, List)} does, with clients that act so. */
  static SoakPlan steady(
      long seed, long durationMs, List<SystemCallFault> faults, SoakClient.Profile clients) {
    return new SoakPlan(
        seed,
        durationMs,
        1,
        4,
        12,
        0,
        512,
        10,
        500,
        3,
        true,
        clients,
        faults,
        null,
        List.of(),
        Sabotage.NONE);
  }

  /** Returns this run with these events and this deliberate fault. */
  SoakPlan withSabotage(Sabotage newSabotage, Event... newEvents) {
    return new SoakPlan(
        seed,
        durationMs,
        proxies,
        upstreams,
        clientsPerProxy,
        stalledClientsPerProxy,
        descriptorLimit,
        serviceMs,
        drainGraceMs,
        maxAttempts,
        cancel,
        clientProfile,
        systemCallFaults,
        clockStep,
        List.of(newEvents),
        newSabotage);
  }

  /** Returns a random run that is determined by the seed. */
  static SoakPlan fromSeed(long seed, long durationMs, int proxies) {
    Random random = new Random(seed);
    boolean isCrowded = random.nextInt(4) == 0;
    int clients = isCrowded ? 30 : 6 + random.nextInt(12);
    int unsafeDeadlineMs = 200 + random.nextInt(1_400);
    SoakClient.Profile habits =
        new SoakClient.Profile(
            30 + random.nextInt(60),
            random.nextDouble(),
            random.nextInt(3) == 0 ? 0.3 * random.nextDouble() : 0,
            unsafeDeadlineMs,
            unsafeDeadlineMs + random.nextInt(1_400),
            false);
    List<SystemCallFault> faults = new ArrayList<>();
    for (int i = random.nextInt(MAX_FAULTS + 1); i > 0; i--) {
      faults.add(randomFault(random));
    }
    String clock =
        random.nextInt(4) == 0
            ? random.nextInt((int) durationMs) + " " + randomClockStepMs(random)
            : null;
    List<Event> events = new ArrayList<>();
    for (int i = random.nextInt(MAX_EVENTS + 1); i > 0; i--) {
      addRandomEvents(random, durationMs, events);
    }
    events.sort(Comparator.comparingLong(Event::atMs));
    return new SoakPlan(
        seed,
        durationMs,
        proxies,
        4 + random.nextInt(5),
        clients,
        isCrowded ? 40 + random.nextInt(120) : random.nextInt(4),
        isCrowded ? 160 : 512,
        5 + random.nextInt(60),
        300 + random.nextInt(500),
        1 + random.nextInt(4),
        random.nextBoolean(),
        habits,
        faults,
        clock,
        events,
        Sabotage.NONE);
  }

  private static long randomClockStepMs(Random random) {
    long[] steps = {500, 5_000, 60_000, 3_600_000};
    return steps[random.nextInt(steps.length)] * (random.nextBoolean() ? 1 : -1);
  }

  private static String pick(Random random, List<String> names) {
    return names.get(random.nextInt(names.size()));
  }

  private static SystemCallFault randomFault(Random random) {
    int oneIn = 3 + random.nextInt(60);
    return switch (random.nextInt(10)) {
      case 8 -> SystemCallFault.always("poll", "upstream", "EINTR", oneIn);
      case 9 ->
          SystemCallFault.always(
              "read", "discovery", pick(random, withFatalFaults(TRANSIENT_READ_FAULTS)), oneIn);
      case 0, 1 -> SystemCallFault.always("accept", "listener", pick(random, ACCEPT_FAULTS), oneIn);
      case 2 -> SystemCallFault.always("connect", "upstream", pick(random, CONNECT_FAULTS), oneIn);
      case 3 ->
          SystemCallFault.always("read", "client", pick(random, TRANSIENT_READ_FAULTS), oneIn);
      case 4 ->
          SystemCallFault.always("write", "client", pick(random, TRANSIENT_WRITE_FAULTS), oneIn);
      case 5 ->
          SystemCallFault.always(
              "read", "upstream", pick(random, withFatalFaults(TRANSIENT_READ_FAULTS)), 10 * oneIn);
      case 6 ->
          SystemCallFault.always(
              "write",
              "upstream",
              pick(random, withFatalFaults(TRANSIENT_WRITE_FAULTS)),
              10 * oneIn);
      default -> SystemCallFault.always("epoll_wait", "any", "EINTR", oneIn);
    };
  }

  private static List<String> withFatalFaults(List<String> transientFaults) {
    List<String> all = new ArrayList<>(transientFaults);
    all.addAll(FATAL_FAULTS);
    return all;
  }

  private static void addRandomEvents(Random random, long durationMs, List<Event> events) {
    long atMs = FIRST_EVENT_MS + random.nextInt((int) (durationMs - FIRST_EVENT_MS));
    int target = random.nextInt(100);
    switch (random.nextInt(8)) {
      case 0, 1 ->
          events.add(
              new Event(
                  Math.min(atMs, durationMs / 3), EventKind.RESTART, target, random.nextInt(4)));
      case 2 -> events.add(new Event(atMs, EventKind.RELOAD, target, 0));
      case 3 -> events.add(new Event(atMs, EventKind.PAUSE, target, 10 + random.nextInt(140)));
      case 4, 5 -> {
        int behaviour =
            1 + random.nextInt(RecordingUpstream.Behaviour.REJECT_AFTER_RUN.ordinal() - 1);
        events.add(new Event(atMs, EventKind.SET_BEHAVIOUR, target, behaviour));
        events.add(
            new Event(atMs + 500 + random.nextInt(2_000), EventKind.SET_BEHAVIOUR, target, 0));
      }
      case 6 -> events.add(new Event(atMs, EventKind.DRAIN, target % 3, 0));
      default -> {
        if (random.nextBoolean()) {
          events.add(new Event(atMs, EventKind.CLOSE_WATCHES, target, 0));
        } else {
          events.add(new Event(atMs, EventKind.SILENCE_DISCOVERY, target, 1));
          events.add(
              new Event(atMs + random.nextInt(2_000), EventKind.SILENCE_DISCOVERY, target, 0));
        }
      }
    }
  }
}
