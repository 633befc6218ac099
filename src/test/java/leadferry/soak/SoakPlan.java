package leadferry.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * What a run consists of: sizes, settings, faults and events, all of it drawn from a seed or stated
 * by a test.
 *
 * @param systemCallFaults of each proxy's process
 * @param clockStep "from_ms step_ms" of the wall clock, or null
 * @param stalledClientsPerProxy clients of each proxy that send half of a request, or nothing, and
 *     stay
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
  /** What is wrong on purpose, to show that the judge finds it. */
  enum Sabotage {
    NONE,
    /** Drains count as notified and are not told. */
    DRAIN_NOTICES_DROPPED
  }

  /** What happens during a run. */
  enum EventKind {
    /**
     * SIGTERM, a further signal behind it by {@code value}, SIGKILL at the earliest, and a new
     * process.
     */
    RESTART,
    /** SIGHUP. */
    RELOAD,
    /** SIGSTOP, and SIGCONT after {@code value} ms. */
    PAUSE,
    /** A server goes over to the behaviour of ordinal {@code value}. */
    SET_BEHAVIOUR,
    /** A server drains. */
    DRAIN,
    /** SIGKILL with no cause: a crash. */
    CRASH,
    /** Discovery falls silent (1) or speaks again (0). */
    SILENCE_DISCOVERY,
    /** Discovery ends its watches. */
    CLOSE_WATCHES
  }

  /** Something that happens at a time (ms) to a proxy or a server. */
  record Event(long atMs, EventKind kind, int target, long argument) {}

  /**
   * Failures of accept(2) by its manual page: those of the connection that is passed over, and
   * shortages.
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

  /** Failures of connect(2) that are no death of a server. */
  static final List<String> CONNECT_FAULTS =
      List.of(
          "EADDRNOTAVAIL", "ENETUNREACH", "EHOSTUNREACH", "ETIMEDOUT", "ENOBUFS", "ECONNREFUSED");

  /** Failures of read(2) and recv(2) after which the connection is as it was. */
  static final List<String> TRANSIENT_READ_FAULTS = List.of("SHORT", "EINTR", "ENOMEM", "ENOBUFS");

  /** Failures of write(2) and send(2) after which the connection is as it was. */
  static final List<String> TRANSIENT_WRITE_FAULTS = List.of("SHORT", "EINTR", "ENOBUFS", "ENOMEM");

  /** Failures that end a connection to a server. */
  static final List<String> FATAL_FAULTS =
      List.of("ECONNRESET", "ETIMEDOUT", "EHOSTUNREACH", "EPIPE");

  private static final int MAX_FAULTS = 4;
  private static final int MAX_EVENTS = 8;
  private static final long QUIET_START_MS = 500;

  /**
   * A calm run of one proxy with these faults of system calls; half of all requests come on new
   * connections.
   */
  static SoakPlan steady(long seed, long lengthMs, List<SystemCallFault> faults) {
    SoakClient.Profile habits = new SoakClient.Profile(60, 0.5, 0, 800, 1_200);
    return new SoakPlan(
        seed,
        lengthMs,
        1,
        4,
        12,
        0,
        512,
        10,
        500,
        3,
        true,
        habits,
        faults,
        null,
        List.of(),
        Sabotage.NONE);
  }

  /** The same run with these events and something wrong on purpose. */
  SoakPlan withSabotage(Sabotage wrong, Event... more) {
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
        List.of(more),
        wrong);
  }

  /** A run drawn from the seed. */
  static SoakPlan fromSeed(long seed, long lengthMs, int proxies) {
    Random random = new Random(seed);
    boolean crowd = random.nextInt(4) == 0;
    int clients = crowd ? 30 : 6 + random.nextInt(12);
    int unsafe = 200 + random.nextInt(1_400);
    SoakClient.Profile habits =
        new SoakClient.Profile(
            30 + random.nextInt(60),
            random.nextDouble(),
            random.nextInt(3) == 0 ? 0.3 * random.nextDouble() : 0,
            unsafe,
            unsafe + random.nextInt(1_400));
    List<SystemCallFault> faults = new ArrayList<>();
    for (int i = random.nextInt(MAX_FAULTS + 1); i > 0; i--) {
      faults.add(fault(random));
    }
    String clock =
        random.nextInt(4) == 0 ? random.nextInt((int) lengthMs) + " " + clockStepMs(random) : null;
    List<Event> events = new ArrayList<>();
    for (int i = random.nextInt(MAX_EVENTS + 1); i > 0; i--) {
      events(random, lengthMs, events);
    }
    events.sort(Comparator.comparingLong(Event::atMs));
    return new SoakPlan(
        seed,
        lengthMs,
        proxies,
        4 + random.nextInt(5),
        clients,
        crowd ? 40 + random.nextInt(120) : random.nextInt(4),
        crowd ? 160 : 512,
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

  private static long clockStepMs(Random random) {
    long[] steps = {500, 5_000, 60_000, 3_600_000};
    return steps[random.nextInt(steps.length)] * (random.nextBoolean() ? 1 : -1);
  }

  private static String any(Random random, List<String> names) {
    return names.get(random.nextInt(names.size()));
  }

  private static SystemCallFault fault(Random random) {
    int oneIn = 3 + random.nextInt(60);
    return switch (random.nextInt(10)) {
      case 8 -> SystemCallFault.always("poll", "upstream", "EINTR", oneIn);
      case 9 ->
          SystemCallFault.always(
              "read", "discovery", any(random, both(TRANSIENT_READ_FAULTS)), oneIn);
      case 0, 1 -> SystemCallFault.always("accept", "listener", any(random, ACCEPT_FAULTS), oneIn);
      case 2 -> SystemCallFault.always("connect", "upstream", any(random, CONNECT_FAULTS), oneIn);
      case 3 -> SystemCallFault.always("read", "client", any(random, TRANSIENT_READ_FAULTS), oneIn);
      case 4 ->
          SystemCallFault.always("write", "client", any(random, TRANSIENT_WRITE_FAULTS), oneIn);
      case 5 ->
          SystemCallFault.always(
              "read", "upstream", any(random, both(TRANSIENT_READ_FAULTS)), 10 * oneIn);
      case 6 ->
          SystemCallFault.always(
              "write", "upstream", any(random, both(TRANSIENT_WRITE_FAULTS)), 10 * oneIn);
      default -> SystemCallFault.always("epoll_wait", "any", "EINTR", oneIn);
    };
  }

  private static List<String> both(List<String> more) {
    List<String> all = new ArrayList<>(more);
    all.addAll(FATAL_FAULTS);
    return all;
  }

  private static void events(Random random, long lengthMs, List<Event> events) {
    long at = QUIET_START_MS + random.nextInt((int) (lengthMs - QUIET_START_MS));
    int target = random.nextInt(100);
    switch (random.nextInt(8)) {
      case 0, 1 ->
          events.add(
              new Event(Math.min(at, lengthMs / 3), EventKind.RESTART, target, random.nextInt(4)));
      case 2 -> events.add(new Event(at, EventKind.RELOAD, target, 0));
      case 3 -> events.add(new Event(at, EventKind.PAUSE, target, 10 + random.nextInt(140)));
      case 4, 5 -> {
        int behaviour =
            1 + random.nextInt(RecordingUpstream.Behaviour.REJECT_AFTER_RUN.ordinal() - 1);
        events.add(new Event(at, EventKind.SET_BEHAVIOUR, target, behaviour));
        events.add(new Event(at + 500 + random.nextInt(2_000), EventKind.SET_BEHAVIOUR, target, 0));
      }
      case 6 -> events.add(new Event(at, EventKind.DRAIN, target % 3, 0));
      default -> {
        if (random.nextBoolean()) {
          events.add(new Event(at, EventKind.CLOSE_WATCHES, target, 0));
        } else {
          events.add(new Event(at, EventKind.SILENCE_DISCOVERY, target, 1));
          events.add(new Event(at + random.nextInt(2_000), EventKind.SILENCE_DISCOVERY, target, 0));
        }
      }
    }
  }
}
