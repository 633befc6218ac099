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
 * Reads and validates the operator's file (TOML 1.0, described in {@code docs/OPERATING.md}). One
 * pass reports every error, and the configuration returned is consistent as a whole.
 */
final class OperatorFile {
  /** Value that stands for an absent setting. */
  private static final String NONE = "-";

  /** Maximum size of a file; a larger one can't be an operator's file. */
  private static final long MAX_BYTES = 64L << 20;

  private final TomlSection root;
  private final DeclaredNames names = new DeclaredNames();

  private OperatorFile(TomlSection.Source source, JsonNode root) {
    this.root = new TomlSection(source, "", root);
  }

  /**
   * Reads a file.
   *
   * @throws ConfigurationException with every error found
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

  /** Reads the text of a file; {@code name} is the file name in errors. */
  static DaemonConfig parse(String name, String text) throws ConfigurationException {
    TomlTree tree;
    try {
      tree = TomlTree.parse(name, text);
    } catch (RuntimeException | StackOverflowError e) {
      // Guards against a parser that throws its own errors on unusual texts, for example thousands
      // of brackets.
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
    TomlSection daemon = root.table("daemon");
    TomlSection retries = daemon.table("retries");
    int instances = daemon.integer("instances", 1, 1, 1_000_000);
    DaemonConfig.Process process =
        new DaemonConfig.Process(
            daemon.integer("workers", 1, 1, 256),
            daemon.integer("drain_ms", 5_000, 0, 600_000),
            daemon.integer("descriptors", 8_192, 64, 4_000_000),
            daemon.integer("body_memory_mb", 64, 8, 1 << 20),
            daemon.integer("limit_keys", 65_536, 64, 1 << 22),
            daemon.integer("instance", 0, 0, instances - 1),
            instances,
            retries.number("ratio", 0.2, 0, 10),
            retries.number("burst", 100, 0, 1e6),
            daemon.enumValue(
                "transport", DaemonConfig.TransportType.AUTO, DaemonConfig.TransportType.class),
            daemon.enumValue("log", LogFormat.TEXT, LogFormat.class));
    retries.rejectUnknownKeys();
    daemon.rejectUnknownKeys();
    return process;
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

  /** Returns the addresses of the replicas by name; the operator's term for replicas is keepers. */
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
   * Returns the configuration of the replica that this daemon also runs, read from its own file;
   * null if no file is named or the file is invalid.
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
    Map<String, DaemonConfig.Listener> listeners = new LinkedHashMap<>();
    Map<InetSocketAddress, String> listenerByAddress = new HashMap<>();
    for (Map.Entry<String, TomlSection> entry : root.tablesByName("listener").entrySet()) {
      TomlSection section = entry.getValue();
      DeclaredNames.declare(section, entry.getKey(), names.listeners);
      InetSocketAddress address = DeclaredNames.readAddress(section, "address", true);
      String duplicate =
          address == null || address.getPort() == 0
              ? null
              : listenerByAddress.putIfAbsent(address, entry.getKey());
      if (duplicate != null) {
        section.addError(
            "address", "the address of listener '" + duplicate + "'", "an address of its own");
      }
      String health = section.string("health_path", "/_health", "a path, or 'none'");
      if (!health.startsWith("/") && !health.equals("none")) {
        section.addError("health_path", "'" + health + "'", "a path that begins with /, or 'none'");
      }
      listeners.put(
          entry.getKey(),
          new DaemonConfig.Listener(
              entry.getKey(),
              address,
              section.enumValue("paths", NormalizedPath.Mode.STRICT, NormalizedPath.Mode.class),
              headerName(section, "class_header", "X-Priority-Class"),
              headerName(section, "tenant_header", "X-Tenant-Id"),
              health,
              section.integer("max_body_bytes", 64 * 1024, 0, 256 << 20),
              section.integer("slow_ms", 10_000, 100, 600_000),
              section.integer("idle_ms", 60_000, 100, 86_400_000),
              section.integer("max_open", 100_000, 1, 10_000_000),
              section.integer("pipeline", 16, 1, 10_000),
              new Forwarding(
                  section.enumValue("forwarded", Forwarding.Mode.APPEND, Forwarding.Mode.class),
                  trustedNetworks(section))));
      section.rejectUnknownKeys();
    }
    if (listeners.isEmpty()) {
      root.addError("listener", "none", "at least one [listener.NAME]");
    }
    return listeners;
  }

  private static Networks trustedNetworks(TomlSection section) {
    List<String> texts = section.strings("trusted");
    for (int i = 0; i < texts.size(); i++) {
      if (Networks.isInvalid(texts.get(i))) {
        section.addError(
            "trusted[" + i + "]",
            "'" + texts.get(i) + "'",
            "a network as 10.0.0.0/8 or fd00::/8, or an address");
      }
    }
    return new Networks(texts.stream().filter(text -> !Networks.isInvalid(text)).toList());
  }

  private static String headerName(TomlSection section, String key, String defaultName) {
    String name = section.string(key, defaultName, "the name of a header");
    if (!name.matches(DeclaredNames.TOKEN)) {
      section.addError(key, "'" + name + "'", "the name of a header");
    }
    return name;
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
    List<Settings.RequestClass> classes = new ArrayList<>();
    for (Map.Entry<String, TomlSection> entry : root.tablesByName("class").entrySet()) {
      TomlSection section = entry.getValue();
      DeclaredNames.declare(section, entry.getKey(), names.classes);
      double deadlineMillis = section.number("deadline_ms", 5_000, 1, 3_600_000);
      double aimMillis = section.number("aim_ms", Math.min(1_000, deadlineMillis), 1, 3_600_000);
      if (aimMillis > deadlineMillis) {
        section.addError(
            "aim_ms", Double.toString(aimMillis), "no more than deadline_ms, " + deadlineMillis);
      }
      RepeatPolicy repeat = section.enumValue("repeat", RepeatPolicy.UNSAFE, RepeatPolicy.class);
      KeyScopeName scope = section.enumValue("scope", KeyScopeName.POD, KeyScopeName.class);
      double windowMillis = section.number("window_ms", 0, 0, 86_400_000);
      if (repeat == RepeatPolicy.KEYED && !section.has("window_ms")) {
        section.addError(
            "window_ms", "missing", "how long servers remember a key, for a keyed class");
      }
      if (repeat != RepeatPolicy.KEYED && (section.has("scope") || section.has("window_ms"))) {
        section.addError(
            section.has("scope") ? "scope" : "window_ms", "set", "only where repeat = 'keyed'");
      }
      classes.add(
          new Settings.RequestClass(
              entry.getKey(),
              aimMillis,
              deadlineMillis,
              switch (repeat) {
                case SAFE -> Settings.Semantics.IDEMPOTENT;
                case KEYED -> Settings.Semantics.DEDUPLICATED;
                case UNSAFE -> Settings.Semantics.AT_MOST_ONCE;
              },
              switch (scope) {
                case POD -> Settings.KeyScope.CELL;
                case ZONE -> Settings.KeyScope.ZONE;
                case ALL -> Settings.KeyScope.ALL;
              },
              windowMillis,
              section.number("worth", 1, 0.001, 1e6),
              0));
      section.rejectUnknownKeys();
    }
    if (!names.classes.contains(DaemonConfig.DEFAULT_CLASS)) {
      names.classes.add(DaemonConfig.DEFAULT_CLASS);
      classes.add(
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
    return classes;
  }

  private List<Limit> limits() {
    List<Limit> limits = new ArrayList<>();
    Set<String> limitNames = new LinkedHashSet<>();
    for (TomlSection section : root.tables("limit")) {
      String name = section.string("name", null, "the limit's name");
      String parent = section.string("within", "", "the name of a limit that stands before");
      if (!parent.isEmpty()) {
        section.requireKnown("within", parent, limitNames, "limit that stands before this one");
      }
      if (!name.isEmpty()) {
        DeclaredNames.declare(section, name, limitNames);
      }
      Limit limit =
          new Limit(
              name,
              section.enumValue("by", Limit.Scope.ALL, Limit.Scope.class),
              parent.isEmpty() ? null : parent,
              section.knownNames("listeners", names.listeners, "listener"),
              section.knownNames("routes", names.routes, "route"),
              section.knownNames("classes", names.classes, "class"),
              section.number("per_second", 0, 0.001, 1e9),
              section.number("burst", 1, 1, 1e9),
              section.integer("concurrency", 0, 1, 10_000_000));
      if (!section.has("per_second") && !section.has("concurrency")) {
        section.addError("", "no bound", "per_second, concurrency or both");
      }
      if (section.has("burst") && !section.has("per_second")) {
        section.addError("burst", "set", "only beside per_second");
      }
      section.rejectUnknownKeys();
      limits.add(limit);
    }
    return limits;
  }
}
