package leadferry.testbed;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Keepers and daemons as processes, hosts and load, with faults between them from a seed, and
 * operators who drain and give back meanwhile. Every link goes through a {@link FaultyLink}; {@link
 * HistoryChecker} and {@link History} say what was kept.
 */
public final class FaultTest implements AutoCloseable {
  /** What the rig does behind the ledger's back, to show that the judge sees it. */
  public enum Sabotage {
    NONE,
    PROXY_OUT,
    DRAINED_HOST,
    TWICE,
    /** Restarts a proxy that serves, as a driver would that does not know that its time is over. */
    RESTART
  }

  /** How much of everything, and for how long. */
  public record Plan(
      int keepers,
      int proxies,
      int hosts,
      double seconds,
      long seed,
      Sabotage sabotage,
      double perSecond,
      List<FaultScript.Step> script,
      boolean releases) {
    /** With faults from the seed, and no releases. */
    public Plan(
        int keepers,
        int proxies,
        int hosts,
        double seconds,
        long seed,
        Sabotage sabotage,
        double perSecond) {
      this(keepers, proxies, hosts, seconds, seed, sabotage, perSecond, null, false);
    }
  }

  private static final ObjectMapper MAPPER = new ObjectMapper();

  /**
   * Ports that processes will listen on come from below the range from which the kernel gives ports
   * to those who connect.
   */
  private static final int FIRST_PORT = 10_000;

  private static final int PORTS = 20_000;
  public static final int LEASE_MS = 2_000;

  /**
   * A host's mean time for a request on each of its two cores, how long it is cold, and what it can
   * do at first.
   */
  private static final double SERVICE_MS = 10;

  private static final int WARM_MS = 1_500;
  private static final double COLD = 0.2;
  private static final int START_MS = 30_000;
  private static final String VERSION = "{version}";

  /**
   * The longest (ms) until the ledger knows of a dead proxy: its lease, an election and a new
   * leader's wait.
   */
  private static final long KNOWN_MS = 3L * LEASE_MS + 3_000;

  /** One of its own: two rigs on one machine must not take each other's processes for theirs. */
  private final String fleet =
      "rig-" + ProcessHandle.current().pid() + "-" + Long.toHexString(System.nanoTime());

  private final Plan plan;
  private final Path folder;
  private final Random random;
  private final ExecutionLog ledger = new ExecutionLog(5_000_000);
  private final Map<String, Child> keepers = new LinkedHashMap<>();
  private final Map<String, Child> proxies = new LinkedHashMap<>();
  private final List<FakeUpstream> hosts = new ArrayList<>();
  private final List<FaultyLink> relays = new ArrayList<>();
  private final Map<String, FaultyLink.Link> links = new ConcurrentHashMap<>();
  private final Map<String, InetSocketAddress> apis = new LinkedHashMap<>();
  private final Map<String, InetSocketAddress> fronts = new LinkedHashMap<>();
  private final Map<String, AtomicInteger> counts = new TreeMap<>();
  private final List<Long> recoveries = Collections.synchronizedList(new ArrayList<>());
  private final List<Thread> repairs = Collections.synchronizedList(new ArrayList<>());

  /**
   * Calls whose outcome nobody came to know, by their ids: asked again once all links are whole.
   */
  private final Map<String, ObjectNode> undecided = new ConcurrentHashMap<>();

  private final List<LoadGenerator> loads = new ArrayList<>();
  private final History history;
  private HistoryChecker judge;
  private Operator operator;
  private volatile boolean over;
  private final Map<String, String> proxyFiles = new LinkedHashMap<>();
  private final Map<String, String> versions = new ConcurrentHashMap<>();
  private final Map<String, Child> drivers = new ConcurrentHashMap<>();

  /** A version whose processes end at once. */
  public static final String BROKEN_VERSION = "broken";

  /** Versions that begin so make hosts fail three requests in ten. */
  public static final String FAILING_VERSION = "failing";

  private ProcessSupervisor supervisor;
  private Path carry;

  /** The rig's processes and hosts as its supervisor knows them. */
  private final class RigSite implements ProcessSupervisor.Site {
    @Override
    public void replace(String target, String version) throws IOException, InterruptedException {
      Child c = proxies.get(target);
      if (c == null) {
        FakeUpstream h = host(target);
        if (h.inHand() > 0) {
          judge.breaks(target + " was replaced with requests in its hands");
        }
        versions.put(target, version);
        h.misbehave(
            version.startsWith(FAILING_VERSION)
                ? FakeUpstream.Fault.FAIL_FAST
                : FakeUpstream.Fault.NONE,
            0.3);
        h.startAnew();
        return;
      }
      if (judge.now(target) == HistoryChecker.Seen.SERVES) {
        judge.breaks(target + " was restarted while it served");
      }
      judge.restarts(target);
      if (c.runs() && c.end(20_000) != 0) {
        judge.breaks(target + " did not end when it was told to");
      }
      versions.put(target, version);
      String text = proxyFiles.get(target).replace(VERSION, version);
      Files.writeString(
          folder.resolve(target + ".toml"),
          version.equals(BROKEN_VERSION) ? "not a file of ours" : text);
      c.start();
      later(
          0,
          () -> {
            answers(target, System.nanoTime());
            judge.restarted(target);
          });
    }

    @Override
    public String version(String target) {
      return versions.getOrDefault(target, "v1");
    }
  }

  /** What carries releases out. */
  public ProcessSupervisor supervisor() {
    return supervisor;
  }

  /** The version at a target, by who put it there. */
  public String version(String target) {
    return new RigSite().version(target);
  }

  /** A plan whose steps are of these targets each, one at a time. */
  public ObjectNode plan(
      String name, String of, String from, String version, List<List<String>> steps) {
    ObjectNode plan =
        MAPPER
            .createObjectNode()
            .put("name", name)
            .put("of", of)
            .put("from", from)
            .put("version", version)
            .put("action_ms", 20_000);
    ArrayNode ss = plan.putArray("steps");
    for (int i = 0; i < steps.size(); i++) {
      ObjectNode s =
          ss.addObject()
              .put("name", "s" + i)
              .put("at_once", Math.max(proxiesAllowed(), hostsAllowed()))
              .put("bake_ms", 100);
      steps.get(i).forEach(s.putArray("targets")::add);
    }
    ObjectNode c = plan.putObject("carry").put("by", "command").put("timeout_ms", 30_000);
    c.putArray("command").add("bash").add(carry.toString()).add("command");
    c.putArray("check").add("bash").add(carry.toString()).add("check");
    return plan;
  }

  /** Starts a process that drives a release, under that name; its links go through relays. */
  public Child driver(String name, String release) throws IOException {
    List<String> args =
        new ArrayList<>(
            List.of(
                "fleet",
                "release",
                "drive",
                release,
                "--as",
                name,
                "--lease-ms",
                Integer.toString(LEASE_MS),
                "--fleet",
                fleet));
    for (Map.Entry<String, InetSocketAddress> k : apis.entrySet()) {
      args.add("--keeper");
      args.add(k.getKey() + "=" + text(relay(k.getValue(), p -> link(name, k.getKey())).address()));
    }
    List<String> command = Child.program(64, args.toArray(String[]::new));
    Child c = new Child(name, command, command, folder.resolve(name + ".log"));
    drivers.put(name, c);
    c.start();
    return c;
  }

  /** How a release stands, as the keepers tell; null where none answers. */
  public JsonNode release(String name) {
    return operator.ask(
        MAPPER.createObjectNode().put("op", "release").put("release", name), 0, START_MS);
  }

  /** The most proxies that were seen out at once and that the rig had not taken down itself. */
  public int proxiesMost() {
    return judge.proxiesMost();
  }

  /** What was seen broken so far. */
  public List<String> broken() {
    return judge.broken();
  }

  public FaultTest(Plan plan, Path folder) {
    this.plan = plan;
    this.folder = folder;
    this.random = new Random(plan.seed());
    this.history = new History(proxiesAllowed(), hostsAllowed());
  }

  public int proxiesAllowed() {
    return Math.max(1, plan.proxies() / 4);
  }

  public int hostsAllowed() {
    return Math.max(1, plan.hosts() / 4);
  }

  /** The link from a source to a destination. */
  public FaultyLink.Link link(String from, String to) {
    return links.computeIfAbsent(from + ">" + to, k -> new FaultyLink.Link());
  }

  /** The name by which its keepers are asked. */
  public String fleet() {
    return fleet;
  }

  public Child keeper(String name) {
    return keepers.get(name);
  }

  public Child proxy(String name) {
    return proxies.get(name);
  }

  public List<InetSocketAddress> keeperApis() {
    return List.copyOf(apis.values());
  }

  public Operator operator() {
    return operator;
  }

  /** The name of the keeper that leads, as the keepers tell; waits for one. */
  public String leader() throws IOException, InterruptedException {
    String[] found = new String[1];
    await(
        "a keeper leads",
        () -> {
          for (Map.Entry<String, InetSocketAddress> k : apis.entrySet()) {
            if (keepers.get(k.getKey()).runs()) {
              JsonNode h =
                  new Operator(fleet, List.of(k.getValue()))
                      .ask(MAPPER.createObjectNode().put("op", "health"), 0, 500);
              if (h != null && h.path("role").asText().equals("leader")) {
                found[0] = k.getKey();
              }
            }
          }
          return found[0] != null;
        });
    return found[0];
  }

  /** An operator who knows this keeper only. */
  public Operator operatorAt(String keeper) {
    return new Operator(fleet, List.of(apis.get(keeper)));
  }

  /** Where that keeper is asked. */
  InetSocketAddress keeperApi(String keeper) {
    return apis.get(keeper);
  }

  /** What a probe of that proxy saw last: its health path's 200, 503, or nothing. */
  public boolean serves(String proxy) {
    return judge.seen(proxy) == HistoryChecker.Seen.SERVES;
  }

  /** Whether it was seen to answer that it does not serve. */
  public boolean saysNo(String proxy) {
    return judge.seen(proxy) == HistoryChecker.Seen.SAYS_NO;
  }

  /** Where clients reach a proxy. */
  public InetSocketAddress front(String proxy) {
    return fronts.get(proxy);
  }

  /** A host. */
  public FakeUpstream host(String name) {
    return hosts.stream().filter(h -> h.name().equals(name)).findFirst().orElseThrow();
  }

  /** The runs of requests at hosts. */
  public ExecutionLog ledger() {
    return ledger;
  }

  /** Cuts a keeper off from all others, both ways. */
  public void isolate(String keeper) {
    for (String other : keepers.keySet()) {
      if (!other.equals(keeper)) {
        link(keeper, other).cut(true, true);
        link(other, keeper).cut(true, true);
      }
    }
  }

  /** Makes all links whole. */
  public void mend() {
    links.values().forEach(FaultyLink.Link::heal);
  }

  /** Makes all links whole and waits until nobody is out. */
  public void heal() throws IOException, InterruptedException {
    mend();
    await("whole again", () -> outInside() == 0);
  }

  private FaultyLink relay(
      InetSocketAddress to, java.util.function.IntFunction<FaultyLink.Link> link)
      throws IOException {
    FaultyLink r = new FaultyLink(to, link);
    relays.add(r);
    return r;
  }

  private final Set<Integer> taken = new java.util.HashSet<>();
  private final Random ports = new Random(System.nanoTime() ^ ProcessHandle.current().pid());

  private InetSocketAddress free() throws IOException {
    for (int i = 0; i < 1_000; i++) {
      int port = FIRST_PORT + ports.nextInt(PORTS);
      if (taken.add(port)) {
        try (ServerSocket s = new ServerSocket()) {
          s.bind(new InetSocketAddress("127.0.0.1", port));
          return new InetSocketAddress("127.0.0.1", port);
        } catch (java.net.BindException e) {
          // somebody else's
        }
      }
    }
    throw new IOException("no free port");
  }

  private static String text(InetSocketAddress a) {
    return "127.0.0.1:" + a.getPort();
  }

  /** Starts all processes and waits until each proxy serves and all are members. */
  public void start() throws IOException, InterruptedException {
    Map<String, InetSocketAddress> logs = new LinkedHashMap<>();
    Map<String, InetSocketAddress> seenAt = new LinkedHashMap<>();
    for (int i = 1; i <= plan.keepers(); i++) {
      String name = "k" + i;
      logs.put(name, free());
      apis.put(name, free());
      // One address for all: the library tells a leader's addresses to its followers. Who connects
      // is found by the port.
      seenAt.put(name, relay(logs.get(name), port -> link(owner(port), name)).address());
    }
    for (String name : apis.keySet()) {
      StringBuilder f =
          new StringBuilder("[keeper]\nfleet = \"" + fleet + "\"\nname = \"" + name + "\"\n");
      f.append("log_address = \"")
          .append(text(logs.get(name)))
          .append("\"\napi_address = \"")
          .append(text(apis.get(name)));
      f.append("\"\nfolder = \"")
          .append(folder.resolve(name))
          .append("\"\nelection_ms = 300\nsnapshot_entries = 60\n");
      f.append("[fleet]\nsettle_ms = 500\nwarm_ms = " + WARM_MS + "\nfence_ms = 300\n");
      seenAt.forEach(
          (n, a) ->
              f.append("[peer.")
                  .append(n)
                  .append("]\nlog_address = \"")
                  .append(text(a))
                  .append("\"\n"));
      Path file = Files.writeString(folder.resolve(name + ".toml"), f);
      keepers.put(
          name,
          new Child(
              name,
              Child.program(96, "keeper", "--config", file.toString(), "--new"),
              Child.program(96, "keeper", "--config", file.toString()),
              folder.resolve(name + ".log")));
    }
    for (int i = 1; i <= plan.hosts(); i++) {
      hosts.add(
          new FakeUpstream(
              FakeUpstream.Options.quick("h" + i).takes(SERVICE_MS, 2).warmsUp(WARM_MS, COLD),
              ledger));
    }
    for (int i = 1; i <= plan.proxies(); i++) {
      String name = "p" + i;
      fronts.put(name, free());
      proxyFiles.put(name, proxyFile(name));
      Path file =
          Files.writeString(
              folder.resolve(name + ".toml"), proxyFiles.get(name).replace(VERSION, "v1"));
      List<String> command = Child.program(64, "daemon", "--config", file.toString());
      proxies.put(name, new Child(name, command, command, folder.resolve(name + ".log")));
    }
    supervisor = new ProcessSupervisor(new RigSite());
    carry = supervisor.program(folder);
    for (Child c : keepers.values()) {
      c.start();
    }
    for (Child c : proxies.values()) {
      c.start();
    }
    operator = new Operator(fleet, keeperApis());
    judge = new HistoryChecker(fronts, proxiesAllowed(), hostsAllowed());
    await(
        "all proxies serve",
        () -> fronts.keySet().stream().allMatch(p -> judge.seen(p) == HistoryChecker.Seen.SERVES));
    budgets();
    await("all proxies are members and in", () -> outInside() == 0);
    fronts.keySet().forEach(judge::up);
  }

  private String owner(int port) {
    Map<Long, String> pids = new HashMap<>();
    keepers.values().forEach(c -> pids.put(c.pid(), c.name()));
    return FaultyLink.owner(port, pids);
  }

  private String proxyFile(String name) throws IOException {
    StringBuilder f = new StringBuilder("[daemon]\nworkers = 1\ndrain_ms = 2000\n");
    f.append("[fleet]\nfleet = \"" + fleet + "\"\nname = \"")
        .append(name)
        .append("\"\nlease_ms = ")
        .append(LEASE_MS);
    f.append("\non_unreachable = \"last\"\nstart_wait_ms = 4000\nstate_file = \"")
        .append(folder.resolve(name + ".state"));
    f.append("\"\nversion = \"" + VERSION + "\"\n[fleet.keepers]\n");
    for (Map.Entry<String, InetSocketAddress> k : apis.entrySet()) {
      f.append(k.getKey())
          .append(" = \"")
          .append(text(relay(k.getValue(), p -> link(name, k.getKey())).address()))
          .append("\"\n");
    }
    f.append("[listener.main]\naddress = \"").append(text(fronts.get(name))).append("\"\n");
    f.append(
        "[class.claim]\naim_ms = 1000\ndeadline_ms = 3000\n[class.list]\naim_ms = 1000\ndeadline_ms = 3000\nrepeat = \"safe\"\n");
    f.append("[pool.roster]\ncold = { for_ms = " + WARM_MS + ", start_capacity = " + COLD + " }\n");
    for (FakeUpstream h : hosts) {
      InetSocketAddress at = relay(h.address(), p -> link(name, h.name())).address();
      f.append("[[pool.roster.member]]\nid = \"")
          .append(h.name())
          .append("\"\naddress = \"")
          .append(text(at))
          .append("\"\npod = \"p")
          .append(h.name().hashCode() % 3)
          .append("\"\n");
    }
    f.append(
        "[[route]]\nname = \"claims\"\nprefix = \"/claim\"\nclass = \"claim\"\npool = \"roster\"\n");
    f.append("[[route]]\nname = \"lists\"\nprefix = \"/\"\nclass = \"list\"\npool = \"roster\"\n");
    return f.toString();
  }

  private void budgets() throws IOException {
    ObjectNode e = Operator.entry("budgets").put("against", 0);
    ArrayNode b = e.putArray("budgets");
    b.addObject().put("name", "proxies").put("of", "proxy").put("max_out", proxiesAllowed());
    b.addObject().put("name", "hosts").put("of", "host").put("max_out", hostsAllowed());
    JsonNode o = operator.change(e, "budgets", 0, START_MS);
    if (o == null || !o.path("status").asText().equals("done")) {
      throw new IOException("budgets: " + o);
    }
  }

  /** What the ledger calls out; for waiting only, never for the verdict. */
  private int outInside() {
    JsonNode s = operator.ask(MAPPER.createObjectNode().put("op", "status"), 0, 2_000);
    if (s == null || s.path("proxies").size() < plan.proxies()) {
      return Integer.MAX_VALUE;
    }
    int n = 0;
    for (String of : List.of("proxies", "hosts")) {
      for (JsonNode x : s.path(of)) {
        n += x.path("out").isNull() ? 0 : 1;
      }
    }
    return n;
  }

  private interface Condition {
    boolean holds();
  }

  private void await(String what, Condition c) throws IOException, InterruptedException {
    long until = System.nanoTime() + START_MS * 1_000_000L;
    while (!c.holds()) {
      if (System.nanoTime() - until > 0) {
        throw new IOException("not within " + START_MS + " ms: " + what);
      }
      Thread.sleep(20);
    }
  }

  // --- faults

  private void counted(String what) {
    synchronized (counts) {
      counts.computeIfAbsent(what, k -> new AtomicInteger()).incrementAndGet();
    }
  }

  private void later(long ms, Runnable what) {
    Thread t =
        new Thread(
            () -> {
              try {
                Thread.sleep(ms);
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
              what.run();
            },
            "repair");
    t.setDaemon(true);
    t.start();
    repairs.add(t);
  }

  private String any(Set<String> names) {
    return List.copyOf(names).get(random.nextInt(names.size()));
  }

  private void fault() {
    long length = 200 + random.nextInt(3 * LEASE_MS);
    String k = any(keepers.keySet());
    String p = any(proxies.keySet());
    switch (random.nextInt(plan.releases() ? 12 : 9)) {
      case 9, 10, 11 -> driverFault(length);
      case 0 -> {
        boolean forth = random.nextBoolean();
        boolean back = !forth || random.nextBoolean();
        counted(forth && back ? "cut" : "one_way");
        List<FaultyLink.Link> cut = new ArrayList<>();
        for (String other : keepers.keySet()) {
          if (!other.equals(k)) {
            link(k, other).cut(forth, back);
            link(other, k).cut(back, forth);
            cut.addAll(List.of(link(k, other), link(other, k)));
          }
        }
        later(length, () -> cut.forEach(FaultyLink.Link::heal));
      }
      case 1 -> {
        boolean forth = random.nextBoolean();
        boolean back = !forth || random.nextBoolean();
        counted(forth && back ? "cut" : "one_way");
        keepers.keySet().forEach(x -> link(p, x).cut(forth, back));
        later(length, () -> keepers.keySet().forEach(x -> link(p, x).heal()));
      }
      case 2 -> {
        counted("delay");
        keepers.keySet().forEach(x -> link(p, x).delay(50 + random.nextInt(200)));
        later(length, () -> keepers.keySet().forEach(x -> link(p, x).heal()));
      }
      case 3 -> {
        counted("cut");
        link(p, k).cutMiddle();
        FakeUpstream h = hosts.get(random.nextInt(hosts.size()));
        link(p, h.name()).cutMiddle();
      }
      case 4 -> {
        counted("cut");
        FakeUpstream h = hosts.get(random.nextInt(hosts.size()));
        link(p, h.name()).refuse(true);
        later(length, () -> link(p, h.name()).heal());
      }
      case 5 -> stall(keepers.get(k), length, () -> {});
      case 6 -> {
        if (judge.downNow() < proxiesAllowed()) {
          judge.down(p);
          stall(proxies.get(p), 2 * length, () -> back(p, System.nanoTime()));
        }
      }
      case 7 -> {
        if (keepers.get(k).runs()) {
          counted("kill");
          keepers.get(k).kill();
          later(length, () -> restart(keepers.get(k)));
        }
      }
      default -> {
        if (proxies.get(p).runs() && judge.downNow() < proxiesAllowed()) {
          counted("kill");
          judge.down(p);
          proxies.get(p).kill();
          later(
              3 * length,
              () -> {
                long at = System.nanoTime();
                restart(proxies.get(p));
                back(p, at);
              });
        }
      }
    }
  }

  /** Kills a driver and starts it again, stops it, or cuts it off from all keepers. */
  private void driverFault(long length) {
    List<Child> now = drivers.values().stream().filter(Child::runs).toList();
    if (now.isEmpty()) {
      return;
    }
    Child d = now.get(random.nextInt(now.size()));
    switch (random.nextInt(3)) {
      case 0 -> {
        counted("kill");
        d.kill();
        later(
            length / 3,
            () -> {
              if (drivers.containsValue(d)) {
                restart(d);
              }
            });
      }
      case 1 -> stall(d, length, () -> {});
      default -> {
        counted("cut");
        keepers.keySet().forEach(k -> link(d.name(), k).cut(true, random.nextBoolean()));
        later(length, () -> keepers.keySet().forEach(k -> link(d.name(), k).heal()));
      }
    }
  }

  private void stall(Child c, long ms, Runnable then) {
    if (!c.runs()) {
      then.run();
      return;
    }
    counted("stall");
    c.stop();
    later(
        ms,
        () -> {
          c.resume();
          then.run();
        });
  }

  private void restart(Child c) {
    counted("restart");
    try {
      c.start();
    } catch (IOException e) {
      judge.breaks(c.name() + " could not be started: " + e.getMessage());
    }
  }

  /** Waits until a proxy that the rig had down answers its probe again, whatever it says. */
  private void back(String proxy, long from) {
    judge.runs(proxy);
    if (!answers(proxy, from)) {
      judge.breaks(proxy + " did not come back within " + START_MS + " ms");
    }
    recoveries.add((System.nanoTime() - from) / 1_000_000);
    judge.up(proxy);
  }

  private boolean answers(String proxy, long from) {
    long until = from + START_MS * 1_000_000L;
    // A probe that began before the fault ended tells nothing.
    sleep(200);
    while (judge.seen(proxy) == HistoryChecker.Seen.NOTHING && System.nanoTime() - until < 0) {
      sleep(10);
    }
    boolean there = judge.seen(proxy) != HistoryChecker.Seen.NOTHING;
    sleep(300); // the answers of requests that it held meanwhile
    return there;
  }

  /** Carries out a line of a script. */
  private void perform(FaultScript.Step step, Map<String, String> permits, int number) {
    List<String> a = step.arguments();
    String first = a.isEmpty() ? "" : a.get(0);
    Child c = keepers.getOrDefault(first, proxies.get(first));
    boolean proxy = proxies.containsKey(first);
    switch (step.verb()) {
      case "kill", "stop" -> {
        counted(step.verb().equals("kill") ? "kill" : "stall");
        if (proxy) {
          judge.down(first);
        }
        if (step.verb().equals("kill")) {
          c.kill();
        } else {
          c.stop();
        }
      }
      case "start", "cont" -> {
        if (step.verb().equals("start")) {
          restart(c);
        } else {
          c.resume();
        }
        if (proxy) {
          long at = System.nanoTime();
          later(0, () -> back(first, at));
        }
      }
      case "isolate" -> {
        counted("cut");
        isolate(first);
      }
      case "cut" -> {
        counted(a.get(2).equals("both") ? "cut" : "one_way");
        link(first, a.get(1)).cut(!a.get(2).equals("back"), !a.get(2).equals("forth"));
      }
      case "delay" -> {
        counted("delay");
        link(first, a.get(1)).delay(Integer.parseInt(a.get(2)));
      }
      case "refuse" -> {
        counted("cut");
        link(first, a.get(1)).refuse(true);
      }
      case "middle" -> {
        counted("cut");
        link(first, a.get(1)).cutMiddle();
      }
      case "heal" -> mend();
      case "drain" -> {
        Map<String, String[]> held = new LinkedHashMap<>();
        later(
            0,
            () -> {
              drain("script-" + number, first, a.get(1), new Random(number), held);
              held.forEach((permit, who) -> permits.put(first + " " + a.get(1), permit));
            });
      }
      case "undo" -> {
        String permit = permits.remove(first + " " + a.get(1));
        if (permit != null) {
          later(
              0,
              () ->
                  undo(
                      "script-" + number,
                      permit,
                      new String[] {first, a.get(1)},
                      new Random(number)));
        }
      }
      case "halt" ->
          later(
              0,
              () ->
                  call(
                      Operator.entry("halt"),
                      "script-" + number,
                      History.Op.HALT,
                      "",
                      "",
                      new Random(number)));
      default ->
          later(
              0,
              () ->
                  call(
                      Operator.entry("resume"),
                      "script-" + number,
                      History.Op.RESUME,
                      "",
                      "",
                      new Random(number)));
    }
  }

  private static void sleep(long ms) {
    try {
      Thread.sleep(Math.max(0, ms));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  // --- operators

  private void operate(int number) {
    Random r = new Random(plan.seed() * 31 + number);
    Map<String, String[]> held = new LinkedHashMap<>();
    int calls = 0;
    while (!over) {
      String id = "op" + number + "-" + calls++;
      int kind = r.nextInt(10);
      if (kind < 6 && held.size() < 3) {
        boolean proxy = r.nextBoolean();
        String name =
            proxy ? "p" + (1 + r.nextInt(plan.proxies())) : "h" + (1 + r.nextInt(plan.hosts()));
        drain(id, proxy ? "proxy" : "host", name, r, held);
      } else if (kind < 9 && !held.isEmpty()) {
        String permit = List.copyOf(held.keySet()).get(r.nextInt(held.size()));
        undo(id, permit, held.remove(permit), r);
      } else if (kind == 9 && number == 0) {
        call(Operator.entry("halt"), id + "h", History.Op.HALT, "", "", r);
        sleep(r.nextInt(500));
        call(Operator.entry("resume"), id + "r", History.Op.RESUME, "", "", r);
      }
      sleep(100 + r.nextInt(400));
    }
    held.forEach((permit, who) -> undo("end" + number + "-" + permit, permit, who, r));
  }

  private JsonNode call(
      ObjectNode entry, String id, History.Op op, String kind, String name, Random r) {
    long start = System.nanoTime();
    JsonNode o = operator.change(entry, id, r.nextInt(plan.keepers()), 12_000);
    History.Outcome out =
        o == null
            ? History.Outcome.UNDECIDED
            : switch (o.path("status").asText()) {
              case "granted" -> History.Outcome.GRANTED;
              case "done" -> History.Outcome.DONE;
              case "halted" -> History.Outcome.HALTED;
              case "refused", "unknown" -> History.Outcome.REFUSED;
              default -> {
                judge.breaks("an operator was told " + o);
                yield History.Outcome.REFUSED;
              }
            };
    if (o == null && op != History.Op.DRAIN) {
      undecided.put(id, entry);
    }
    if (op == History.Op.UNDO && out == History.Outcome.REFUSED) {
      judge.breaks("a permit that was held could not be undone: " + o);
    }
    history.add(new History.Call(op, kind, name, start, System.nanoTime(), out));
    return o;
  }

  private void drain(String id, String kind, String name, Random r, Map<String, String[]> held) {
    Set<String> dead = judge.deadSince(System.nanoTime() - KNOWN_MS * 1_000_000L);
    JsonNode o =
        call(
            Operator.entry("drain").put("kind", kind).put("name", name),
            id,
            History.Op.DRAIN,
            kind,
            name,
            r);
    if (o == null) {
      undecided.put(id, Operator.entry("drain").put("kind", kind).put("name", name));
    }
    if (o == null || !o.path("status").asText().equals("granted")) {
      return;
    }
    String permit = o.path("permit").asText();
    held.put(permit, new String[] {kind, name});
    if (kind.equals("proxy")) {
      dead.retainAll(judge.deadSince(System.nanoTime() - KNOWN_MS * 1_000_000L));
      judge.granted(name, dead);
      return;
    }
    long until = System.nanoTime() + 3_000_000_000L;
    while (System.nanoTime() < until) {
      JsonNode now =
          operator.ask(
              MAPPER.createObjectNode().put("op", "permit").put("permit", permit), 0, 1_000);
      if (now != null && now.path("carried_out").asBoolean()) {
        judge.hostOut(name);
        return;
      }
      sleep(50);
    }
  }

  private void undo(String id, String permit, String[] who, Random r) {
    if (who[0].equals("host")) {
      judge.hostBack(who[1]);
    }
    call(Operator.entry("undo").put("permit", permit), id, History.Op.UNDO, who[0], who[1], r);
  }

  // --- releases

  private final Map<String, AtomicInteger> releaseCounts = new TreeMap<>();

  private void releaseCounted(String what) {
    synchronized (releaseCounts) {
      releaseCounts.computeIfAbsent(what, k -> new AtomicInteger()).incrementAndGet();
    }
  }

  /**
   * One release after another, each with two drivers, of three hosts or two proxies; some are
   * halted and taken back by operators.
   */
  private void releases() {
    Random r = new Random(plan.seed() * 17);
    List<List<String>> groups = new ArrayList<>();
    for (int i = 1; i + 2 <= plan.hosts(); i += 3) {
      groups.add(List.of("h" + i, "h" + (i + 1), "h" + (i + 2)));
      if (i / 3 * 2 + 2 <= plan.proxies()) {
        groups.add(List.of("p" + (i / 3 * 2 + 1), "p" + (i / 3 * 2 + 2)));
      }
    }
    for (int n = 0; !over; n++) {
      List<String> group = groups.get(n % groups.size());
      String name = "rel" + n;
      ObjectNode document =
          plan(
              name,
              group.get(0).startsWith("h") ? "host" : "proxy",
              version(group.get(0)),
              "v" + (n + 2),
              List.of(group.subList(0, 1), group.subList(1, group.size())));
      document.put("halt_lost", 0).put("on_missing", "wait");
      JsonNode o =
          operator.change(
              Operator.entry("release_start").set("plan", document),
              name,
              r.nextInt(plan.keepers()),
              START_MS);
      if (o == null || !o.path("status").asText().equals("done")) {
        judge.breaks("release " + name + " could not begin: " + o);
        return;
      }
      releaseCounted("begun");
      try {
        driver("d" + n + "a", name);
        driver("d" + n + "b", name);
        follow(
            name,
            r,
            r.nextInt(3) == 0
                ? System.nanoTime() + 1_000_000_000L * (3 + r.nextInt(5))
                : Long.MAX_VALUE);
      } catch (IOException e) {
        judge.breaks("a driver could not be started: " + e.getMessage());
      }
      for (String d : List.of("d" + n + "a", "d" + n + "b")) {
        drivers.remove(d).close();
      }
    }
  }

  /**
   * Until it is over: what is halted goes on or back, and at a stated time an operator takes it
   * back.
   */
  private void follow(String name, Random r, long backAt) {
    boolean back = false;
    long until = Long.MAX_VALUE;
    for (int calls = 0; ; calls++) {
      JsonNode now = release(name);
      String state = now == null ? "" : now.path("state").asText();
      if (state.equals("done") || state.equals("returned")) {
        releaseCounted(state);
        return;
      }
      if (over && until == Long.MAX_VALUE) {
        until = System.nanoTime() + 6L * START_MS * 1_000_000L;
      }
      if (System.nanoTime() > until) {
        judge.breaks("release " + name + " does not end: " + now);
        return;
      }
      if (!back && System.nanoTime() > backAt) {
        back = true;
        releaseCounted("back");
        operator.change(
            Operator.entry("release_halt").put("release", name), name + "-halt", 0, START_MS);
        sleep(500);
        operator.change(
            Operator.entry("release_back").put("release", name), name + "-back", 0, START_MS);
      } else if (state.equals("halted")) {
        releaseCounted("halted");
        sleep(300);
        operator.change(
            Operator.entry(r.nextInt(4) == 0 ? "release_back" : "release_resume")
                .put("release", name),
            name + "-go" + calls,
            0,
            START_MS);
      }
      sleep(200);
    }
  }

  /** What the supervisor has to say of actions, and hosts of having been pushed over. */
  private void judgeReleases(ObjectNode o) {
    Set<String> once = new java.util.HashSet<>();
    int done = 0;
    int again = 0;
    int twice = 0;
    int turnedAway = 0;
    Set<Long> actions = new java.util.HashSet<>();
    for (ProcessSupervisor.Deed d : supervisor.deeds()) {
      if (!d.verb().equals("command")) {
        continue;
      }
      if (d.refused()) {
        turnedAway++;
        continue;
      }
      done++;
      again += actions.add(d.action()) ? 0 : 1;
      if (!once.add(d.action() + "/" + d.fence() + "/" + d.version())) {
        twice++;
      }
    }
    hosts.stream()
        .filter(FakeUpstream::fallen)
        .forEach(h -> judge.breaks(h.name() + " was pushed over while it was cold"));
    ObjectNode r = o.putObject("releases");
    for (String k : List.of("begun", "done", "returned", "halted", "back")) {
      r.put(k, releaseCounts.containsKey(k) ? releaseCounts.get(k).get() : 0);
    }
    o.putObject("actions")
        .put("done", done)
        .put("again", again)
        .put("same_fence_twice", twice)
        .put("turned_away", turnedAway);
  }

  // --- the whole

  /** Runs it all; the result as docs/FLEET.md tells. */
  public ObjectNode run() throws IOException, InterruptedException {
    start();
    Set<String> unsafe = new java.util.TreeSet<>();
    for (Map.Entry<String, InetSocketAddress> p : fronts.entrySet()) {
      for (boolean safe : new boolean[] {true, false}) {
        String prefix = p.getKey() + (safe ? "s-" : "u-");
        if (!safe) {
          unsafe.add(prefix);
        }
        LoadGenerator.Kind kind =
            new LoadGenerator.Kind(
                "all", 1, safe ? "GET" : "POST", safe ? "/list" : "/claim", "", 0, 3_000);
        LoadGenerator load =
            new LoadGenerator(
                new LoadGenerator.Plan(
                    p.getValue(),
                    plan.perSecond() / 2,
                    0,
                    plan.seconds(),
                    16,
                    1,
                    List.of(kind),
                    prefix),
                d -> {
                  long now = System.nanoTime();
                  judge.request(p.getKey(), d.outcome(), now - d.ns(), now);
                });
        loads.add(load);
      }
    }
    loads.forEach(LoadGenerator::start);
    long end = System.nanoTime() + (long) (plan.seconds() * 1e9);
    List<Thread> operators = new ArrayList<>();
    for (int i = 0; i < (plan.script() == null ? 2 : 0); i++) {
      int number = i;
      Thread t = new Thread(() -> operate(number), "operator-" + i);
      t.start();
      operators.add(t);
    }
    Thread releasing = new Thread(this::releases, "releases");
    if (plan.releases()) {
      releasing.start();
    }
    boolean sabotaged = plan.sabotage() == Sabotage.NONE;
    Map<String, String> scripted = new ConcurrentHashMap<>();
    if (plan.script() != null) {
      long began = System.nanoTime();
      int number = 0;
      for (FaultScript.Step step : plan.script()) {
        sleep((long) (step.at() * 1e3) - (System.nanoTime() - began) / 1_000_000);
        perform(step, scripted, number++);
      }
      sleep((end - System.nanoTime()) / 1_000_000);
    }
    while (System.nanoTime() < end) {
      Thread.sleep(300 + random.nextInt(900));
      if (plan.sabotage() == Sabotage.NONE) {
        fault();
      } else if (!sabotaged) {
        sabotaged = sabotage();
      }
    }
    over = true;
    for (LoadGenerator l : loads) {
      l.await();
    }
    for (Thread t : List.copyOf(repairs)) {
      t.join(START_MS);
    }
    for (Thread t : operators) {
      t.join(4L * START_MS);
    }
    releasing.join(8L * START_MS);
    links.values().forEach(FaultyLink.Link::heal);
    scripted.forEach((who, permit) -> undo("end-" + permit, permit, who.split(" "), random));
    long healed = System.nanoTime();
    undecided.forEach(
        (id, entry) -> {
          JsonNode o = operator.change(entry, id, 0, START_MS);
          if (o == null) {
            judge.breaks("with all links whole there is no outcome of " + id);
          } else if (entry.path("op").asText().equals("drain")
              && o.path("status").asText().equals("granted")) {
            undo(
                "after-" + id,
                o.path("permit").asText(),
                new String[] {entry.path("kind").asText(), entry.path("name").asText()},
                random);
          }
        });
    try {
      if (plan.sabotage() == Sabotage.NONE) {
        await("whole again", () -> outInside() == 0);
        recoveries.add((System.nanoTime() - healed) / 1_000_000);
      }
    } catch (IOException e) {
      judge.breaks(
          e.getMessage()
              + ": "
              + operator.ask(MAPPER.createObjectNode().put("op", "status"), 0, 2_000));
    }
    if (!sabotaged) {
      throw new IOException("no moment for the sabotage came");
    }
    if (!history.linearizable()) {
      judge.breaks("the operators' calls have no order that explains their outcomes");
    }
    long[] hostCounts = judge.hosts(ledger, unsafe);
    ObjectNode releases = MAPPER.createObjectNode();
    if (plan.releases()) {
      judgeReleases(releases);
    }
    ObjectNode o = result(hostCounts);
    o.setAll(releases);
    return o;
  }

  private boolean sabotage() {
    switch (plan.sabotage()) {
      case PROXY_OUT -> {
        if (judge.proxiesOut() < proxiesAllowed()) {
          return false;
        }
        String p =
            fronts.keySet().stream()
                .filter(n -> judge.seen(n) == HistoryChecker.Seen.SERVES)
                .findFirst()
                .orElseThrow();
        proxies.get(p).kill();
        return true;
      }
      case DRAINED_HOST -> {
        String host = judge.anyHostOut();
        if (host == null) {
          return false;
        }
        ledger.ran("rogue-1", host, "");
        return true;
      }
      case RESTART -> {
        try {
          new RigSite().replace(fronts.keySet().iterator().next(), "v1");
        } catch (IOException | InterruptedException e) {
          throw new IllegalStateException(e);
        }
        return true;
      }
      default -> {
        ledger.ran("p1u-rogue", "h1", "");
        ledger.ran("p1u-rogue", "h2", "");
        return true;
      }
    }
  }

  private ObjectNode result(long[] hostCounts) {
    ObjectNode o = MAPPER.createObjectNode();
    o.put("seed", plan.seed()).put("seconds", plan.seconds());
    o.putObject("processes")
        .put("keepers", plan.keepers())
        .put("proxies", plan.proxies())
        .put("hosts", plan.hosts());
    ObjectNode f = o.putObject("faults");
    for (String k : List.of("cut", "one_way", "delay", "stall", "kill", "restart")) {
      f.put(k, counts.containsKey(k) ? counts.get(k).get() : 0);
    }
    ObjectNode d = o.putObject("drains");
    List<History.Call> drains =
        history.calls().stream().filter(c -> c.op() == History.Op.DRAIN).toList();
    d.put("asked", drains.size());
    d.put("granted", drains.stream().filter(c -> c.outcome() == History.Outcome.GRANTED).count());
    d.put(
        "refused",
        drains.stream()
            .filter(
                c ->
                    c.outcome() == History.Outcome.REFUSED || c.outcome() == History.Outcome.HALTED)
            .count());
    d.put(
        "undecided", drains.stream().filter(c -> c.outcome() == History.Outcome.UNDECIDED).count());
    d.put(
        "ended",
        history.calls().stream()
            .filter(c -> c.op() == History.Op.UNDO && c.outcome() == History.Outcome.DONE)
            .count());
    o.putObject("out")
        .put("proxies_most", judge.proxiesMost())
        .put("proxies_allowed", proxiesAllowed())
        .put("hosts_most", judge.hostsMost())
        .put("hosts_allowed", hostsAllowed());
    long sent = 0;
    long served = 0;
    for (LoadGenerator l : loads) {
      sent += l.sent();
      served += l.count(LoadGenerator.Outcome.SERVED);
    }
    o.putObject("requests")
        .put("sent", sent)
        .put("served", served)
        .put("lost", judge.lost())
        .put("twice", hostCounts[1])
        .put("to_drained", hostCounts[0]);
    List<Long> sorted = new ArrayList<>(recoveries);
    Collections.sort(sorted);
    o.putObject("recovery_ms")
        .put("median", sorted.isEmpty() ? 0 : sorted.get(sorted.size() / 2))
        .put("most", sorted.isEmpty() ? 0 : sorted.get(sorted.size() - 1));
    judge.broken().forEach(o.putArray("broken")::add);
    return o;
  }

  @Override
  public void close() throws IOException {
    over = true;
    if (judge != null) {
      judge.close();
    }
    loads.forEach(LoadGenerator::close);
    drivers.values().forEach(Child::close);
    if (supervisor != null) {
      supervisor.close();
    }
    proxies.values().forEach(Child::close);
    keepers.values().forEach(Child::close);
    hosts.forEach(FakeUpstream::close);
    for (FaultyLink r : relays) {
      r.close();
    }
  }
}
