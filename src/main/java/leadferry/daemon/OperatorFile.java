package leadferry.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import leadferry.consensus.ReplicaConfig;
import leadferry.disruption.DisruptionState;
import leadferry.http.Forwarding;
import leadferry.http.Networks;
import leadferry.limits.Limit;
import leadferry.loadbalancer.Settings;
import leadferry.routing.NormalizedPath;

/**
 * Reads and judges the operator's file (TOML 1.0). One reading finds all that is wrong; what is
 * returned is sound as a whole. {@code docs/OPERATING.md} is the page for those who write it.
 */
final class OperatorFile {
  /** What an operator writes, or leaves out, for nothing. */
  private static final String NONE = "-";

  /** A longer file is none of ours (bytes). */
  private static final long MAX_BYTES = 64L << 20;

  private final TomlSection root;
  private final DeclaredNames names = new DeclaredNames();

  private OperatorFile(TomlSection.Source source, JsonNode root) {
    this.root = new TomlSection(source, "", root);
  }

  /**
   * Reads the file.
   *
   * @throws FaultyFileException with every fault that was found
   */
  static DaemonConfig read(Path file) throws ConfigurationException {
    String name = file.toString();
    try {
      if (Files.size(file) > MAX_BYTES) {
        throw new ConfigurationException(
            List.of(
                new ConfigurationError(
                    name, 0, "", "a longer file", "at most " + MAX_BYTES + " bytes")));
      }
      return parse(name, Files.readString(file));
    } catch (CharacterCodingException e) {
      throw new ConfigurationException(
          List.of(new ConfigurationError(name, 0, "", "not UTF-8", "TOML in UTF-8")));
    } catch (IOException | InvalidPathException e) {
      throw new ConfigurationException(
          List.of(
              new ConfigurationError(
                  name, 0, "", "can't be read: " + e, "a file that can be read")));
    }
  }

  /** Reads the file's text; {@code name} stands in faults. */
  static DaemonConfig parse(String name, String text) throws ConfigurationException {
    TomlTree tree;
    try {
      tree = TomlTree.parse(name, text);
    } catch (RuntimeException | StackOverflowError e) {
      // Guards against a parser that answers odd texts, thousands of brackets say, with errors of
      // its own.
      throw new ConfigurationException(
          List.of(new ConfigurationError(name, 0, "", e.toString(), "TOML 1.0")));
    }
    TomlSection.Source source = new TomlSection.Source(name, tree);
    DaemonConfig config = new OperatorFile(source, tree.root).readAll();
    if (!source.errors.isEmpty()) {
      source.errors.sort(java.util.Comparator.comparingInt(ConfigurationError::line));
      throw new ConfigurationException(source.errors);
    }
    return config;
  }

  private DaemonConfig readAll() {
    DaemonConfig.Process process = process();
    Map<String, DaemonConfig.Listener> listeners = listeners();
    List<Settings.RequestClass> classes = classes();
    Map<String, DaemonConfig.Pool> pools = new PoolReader(root, names).read(classes, process);
    List<DaemonConfig.Route> routes = new RouteReader(root, names).read();
    List<Limit> limits = limits();
    DaemonConfig.Fleet fleet = fleet();
    root.rejectUnknownKeys();
    return new DaemonConfig(process, listeners, classes, pools, routes, limits, fleet);
  }

  private DaemonConfig.Process process() {
    TomlSection d = root.table("daemon");
    TomlSection r = d.table("retries");
    int instances = d.integer("instances", 1, 1, 1_000_000);
    DaemonConfig.Process p =
        new DaemonConfig.Process(
            d.integer("workers", 1, 1, 256),
            d.integer("drain_ms", 5_000, 0, 600_000),
            d.integer("descriptors", 8_192, 64, 4_000_000),
            d.integer("body_memory_mb", 64, 8, 1 << 20),
            d.integer("limit_keys", 65_536, 64, 1 << 22),
            d.integer("instance", 0, 0, instances - 1),
            instances,
            r.number("ratio", 0.2, 0, 10),
            r.number("burst", 100, 0, 1e6),
            d.enumValue(
                "transport", DaemonConfig.TransportType.AUTO, DaemonConfig.TransportType.class),
            d.enumValue("log", LogFormat.TEXT, LogFormat.class));
    r.rejectUnknownKeys();
    d.rejectUnknownKeys();
    return p;
  }

  private DaemonConfig.Fleet fleet() {
    TomlSection section = root.table("fleet");
    if (!root.has("fleet")) {
      return null;
    }
    String name = section.string("name", null, "this process's name in the fleet");
    if (!name.isEmpty()) {
      DeclaredNames.declare(section, name, new HashSet<>());
    }
    Map<String, InetSocketAddress> replicas = replicaAddresses(section);
    String stateFile =
        section.string(
            "state_file",
            NONE,
            "a file, for what is in force when no replica can be reached at a start");
    DaemonConfig.UnreachablePolicy onUnreachable =
        section.enumValue(
            "on_unreachable",
            DaemonConfig.UnreachablePolicy.WAIT,
            DaemonConfig.UnreachablePolicy.class);
    if (onUnreachable == DaemonConfig.UnreachablePolicy.LAST && stateFile.equals(NONE)) {
      section.addError("state_file", "missing", "a file, where on_unreachable is 'last'");
    }
    String fleet = section.string("fleet", null, "the fleet's name");
    String version = section.string("version", NONE, "what runs here, as releases call it");
    if (!version.matches(DisruptionState.NAME_PATTERN) && !version.equals(NONE)) {
      section.addError(
          "version", "'" + version + "'", "letters, digits, _, -, . and :, at most 64, no - first");
    }
    DaemonConfig.Fleet result =
        new DaemonConfig.Fleet(
            fleet,
            name,
            section.string("zone", NONE, "the zone's name"),
            section.integer("lease_ms", 3_000, 200, 600_000),
            section.integer("start_wait_ms", 5_000, 0, 600_000),
            onUnreachable,
            stateFile.equals(NONE) ? null : Path.of(stateFile),
            version,
            replicas,
            ownReplica(section, fleet));
    section.rejectUnknownKeys();
    return result;
  }

  /** Where the replicas are, by name; the operator's word for them is keepers. */
  private static Map<String, InetSocketAddress> replicaAddresses(TomlSection fleet) {
    Map<String, InetSocketAddress> replicas = new LinkedHashMap<>();
    TomlSection section = fleet.table("keepers");
    for (String name : section.keys()) {
      replicas.put(name, DeclaredNames.readAddress(section, name, false));
    }
    if (replicas.isEmpty()) {
      fleet.addError("keepers", "none", "replicas by name, as in [fleet.keepers] k1 = \"IP:port\"");
    }
    return replicas;
  }

  /**
   * The replica that this daemon runs as well, by a file of its own; null where none is named, or
   * where it is faulty.
   */
  private static ReplicaConfig ownReplica(TomlSection section, String fleet) {
    String file =
        section.string(
            "keeper_file", NONE, "the file of the replica that runs in this process as well");
    if (file.equals(NONE)) {
      return null;
    }
    try {
      ReplicaConfig replica = ReplicaFile.read(Path.of(file));
      if (!replica.fleet().equals(fleet)) {
        section.addError(
            "keeper_file", file + ", of fleet " + replica.fleet(), "a replica of fleet " + fleet);
      }
      return replica;
    } catch (ConfigurationException e) {
      e.errors()
          .forEach(
              error -> section.addError("keeper_file", error.toString(), "a sound replica's file"));
      return null;
    }
  }

  private Map<String, DaemonConfig.Listener> listeners() {
    Map<String, DaemonConfig.Listener> out = new LinkedHashMap<>();
    Map<InetSocketAddress, String> taken = new HashMap<>();
    for (Map.Entry<String, TomlSection> e : root.tablesByName("listener").entrySet()) {
      TomlSection s = e.getValue();
      DeclaredNames.declare(s, e.getKey(), names.listeners);
      InetSocketAddress at = DeclaredNames.readAddress(s, "address", true);
      String other = at == null || at.getPort() == 0 ? null : taken.putIfAbsent(at, e.getKey());
      if (other != null) {
        s.addError("address", "the address of listener '" + other + "'", "an address of its own");
      }
      String health = s.string("health_path", "/_health", "a path, or 'none'");
      if (!health.startsWith("/") && !health.equals("none")) {
        s.addError("health_path", "'" + health + "'", "a path that begins with /, or 'none'");
      }
      out.put(
          e.getKey(),
          new DaemonConfig.Listener(
              e.getKey(),
              at,
              s.enumValue("paths", NormalizedPath.Mode.STRICT, NormalizedPath.Mode.class),
              headerName(s, "class_header", "X-Priority-Class"),
              headerName(s, "tenant_header", "X-Tenant-Id"),
              health,
              s.integer("max_body_bytes", 64 * 1024, 0, 256 << 20),
              s.integer("slow_ms", 10_000, 100, 600_000),
              s.integer("idle_ms", 60_000, 100, 86_400_000),
              s.integer("max_open", 100_000, 1, 10_000_000),
              s.integer("pipeline", 16, 1, 10_000),
              new Forwarding(
                  s.enumValue("forwarded", Forwarding.Mode.APPEND, Forwarding.Mode.class),
                  trustedNetworks(s))));
      s.rejectUnknownKeys();
    }
    if (out.isEmpty()) {
      root.addError("listener", "none", "at least one [listener.NAME]");
    }
    return out;
  }

  private static Networks trustedNetworks(TomlSection s) {
    List<String> texts = s.strings("trusted");
    for (int i = 0; i < texts.size(); i++) {
      if (Networks.isInvalid(texts.get(i))) {
        s.addError(
            "trusted[" + i + "]",
            "'" + texts.get(i) + "'",
            "a network as 10.0.0.0/8 or fd00::/8, or an address");
      }
    }
    return new Networks(texts.stream().filter(t -> !Networks.isInvalid(t)).toList());
  }

  private static String headerName(TomlSection s, String key, String otherwise) {
    String t = s.string(key, otherwise, "the name of a header");
    if (!t.matches(DeclaredNames.TOKEN)) {
      s.addError(key, "'" + t + "'", "the name of a header");
    }
    return t;
  }

  private enum RepeatPolicy {
    SAFE,
    KEYED,
    UNSAFE
  }

  private enum KeyScopeName {
    POD,
    ZONE,
    ALL
  }

  private List<Settings.RequestClass> classes() {
    List<Settings.RequestClass> out = new ArrayList<>();
    for (Map.Entry<String, TomlSection> e : root.tablesByName("class").entrySet()) {
      TomlSection s = e.getValue();
      DeclaredNames.declare(s, e.getKey(), names.classes);
      double deadline = s.number("deadline_ms", 5_000, 1, 3_600_000);
      double aim = s.number("aim_ms", Math.min(1_000, deadline), 1, 3_600_000);
      if (aim > deadline) {
        s.addError("aim_ms", Double.toString(aim), "no more than deadline_ms, " + deadline);
      }
      RepeatPolicy repeat = s.enumValue("repeat", RepeatPolicy.UNSAFE, RepeatPolicy.class);
      KeyScopeName within = s.enumValue("scope", KeyScopeName.POD, KeyScopeName.class);
      double window = s.number("window_ms", 0, 0, 86_400_000);
      if (repeat == RepeatPolicy.KEYED && !s.has("window_ms")) {
        s.addError("window_ms", "missing", "how long servers remember a key, for a keyed class");
      }
      if (repeat != RepeatPolicy.KEYED && (s.has("scope") || s.has("window_ms"))) {
        s.addError(s.has("scope") ? "scope" : "window_ms", "set", "only where repeat = 'keyed'");
      }
      out.add(
          new Settings.RequestClass(
              e.getKey(),
              aim,
              deadline,
              switch (repeat) {
                case SAFE -> Settings.Semantics.IDEMPOTENT;
                case KEYED -> Settings.Semantics.DEDUPLICATED;
                case UNSAFE -> Settings.Semantics.AT_MOST_ONCE;
              },
              switch (within) {
                case POD -> Settings.KeyScope.CELL;
                case ZONE -> Settings.KeyScope.ZONE;
                case ALL -> Settings.KeyScope.ALL;
              },
              window,
              s.number("worth", 1, 0.001, 1e6),
              0));
      s.rejectUnknownKeys();
    }
    if (!names.classes.contains(DaemonConfig.DEFAULT_CLASS)) {
      names.classes.add(DaemonConfig.DEFAULT_CLASS);
      out.add(
          new Settings.RequestClass(
              DaemonConfig.DEFAULT_CLASS,
              1_000,
              5_000,
              Settings.Semantics.AT_MOST_ONCE,
              Settings.KeyScope.CELL,
              0,
              1,
              0));
    }
    return out;
  }

  private List<Limit> limits() {
    List<Limit> out = new ArrayList<>();
    Set<String> limitNames = new LinkedHashSet<>();
    for (TomlSection s : root.tables("limit")) {
      String name = s.string("name", null, "the limit's name");
      String within = s.string("within", "", "the name of a limit that stands before");
      if (!within.isEmpty()) {
        s.requireKnown("within", within, limitNames, "limit that stands before this one");
      }
      if (!name.isEmpty()) {
        DeclaredNames.declare(s, name, limitNames);
      }
      Limit l =
          new Limit(
              name,
              s.enumValue("by", Limit.Scope.ALL, Limit.Scope.class),
              within.isEmpty() ? null : within,
              s.knownNames("listeners", names.listeners, "listener"),
              s.knownNames("routes", names.routes, "route"),
              s.knownNames("classes", names.classes, "class"),
              s.number("per_second", 0, 0.001, 1e9),
              s.number("burst", 1, 1, 1e9),
              s.integer("concurrency", 0, 1, 10_000_000));
      if (!s.has("per_second") && !s.has("concurrency")) {
        s.addError("", "no bound", "per_second, concurrency or both");
      }
      if (s.has("burst") && !s.has("per_second")) {
        s.addError("burst", "set", "only beside per_second");
      }
      s.rejectUnknownKeys();
      out.add(l);
    }
    return out;
  }
}
