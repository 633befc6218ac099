package leadferry.proxy;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import leadferry.adapter.MalformedInputException;
import leadferry.adapter.SettingsReader;
import leadferry.engine.Addresses;
import leadferry.engine.PoolBounds;
import leadferry.loadbalancer.Settings;

/** What the platform tells one client proxy; times are milliseconds. */
record Config(
    String name,
    InetSocketAddress listen,
    InetSocketAddress discovery,
    InetSocketAddress management,
    long seed,
    int memoryMb,
    int sockets,
    JsonNode root,
    Settings settings,
    double connIdle,
    double connectTimeout,
    int maxOpen) {
  private static final ObjectMapper JSON = new ObjectMapper();

  /** A configuration of no deployment, with a class of each kind. */
  static Config example() {
    String kinds =
        "{\"classes\":[{\"name\":\"a\",\"semantics\":\"deduplicated\"},"
            + "{\"name\":\"b\",\"semantics\":\"at_most_once\"}],\"limits\":{\"cancel\":true}}";
    try {
      JsonNode settings = JSON.readTree(kinds);
      InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
      return new Config(
          "example",
          any,
          any,
          null,
          1,
          128,
          256,
          JSON.createObjectNode(),
          SettingsReader.read(settings),
          15_000,
          250,
          Integer.MAX_VALUE);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Reads the file that {@code BALANCER_CONFIG} names; the other variables win over it. */
  static Config load(Map<String, String> env) throws ConfigException {
    String file = env.get("BALANCER_CONFIG");
    if (file == null || file.isEmpty()) {
      throw new ConfigException("BALANCER_CONFIG is not set");
    }
    JsonNode root;
    try {
      root = JSON.readTree(Files.readAllBytes(Path.of(file)));
    } catch (JsonProcessingException e) {
      throw new ConfigException(file + ": not JSON: " + e.getOriginalMessage());
    } catch (IOException | InvalidPathException e) {
      throw new ConfigException(file + ": can't be read: " + e);
    }
    if (root == null || !root.isObject()) {
      throw new ConfigException(file + ": not a JSON object");
    }
    Settings settings;
    try {
      settings = SettingsReader.read(root.path("settings"));
    } catch (MalformedInputException e) {
      throw new ConfigException(file + ": settings: " + e.getMessage());
    }
    JsonNode limits = root.path("limits");
    JsonNode allowed = root.path("settings").path("limits");
    return new Config(
        told(env, "BALANCER_NAME", root, "name"),
        address(told(env, "BALANCER_LISTEN", root, "listen"), "listen"),
        address(told(env, "BALANCER_DISCOVERY", root, "discovery"), "discovery"),
        management(told(env, "BALANCER_MANAGEMENT", root, "management")),
        seed(root.path("seed").asText()),
        limits.path("memory_mb").asInt(128),
        limits.path("sockets").asInt(1024),
        root,
        settings,
        allowed.path("connIdle").asDouble(15_000),
        allowed.path("connectTimeout").asDouble(250),
        allowed.path("maxOpen").asInt(Integer.MAX_VALUE));
  }

  /**
   * Where the other client proxies of the tier are, or null where they may not talk or the
   * addresses are not told.
   */
  PeerAddresses peers() {
    JsonNode named = root.path("peers");
    InetSocketAddress listen = Addresses.parse(root.path("peer_listen").asText(""));
    InetSocketAddress all = Addresses.parse(root.path("peers_all").asText(""));
    if (!SettingsReader.peers(root.path("settings")) || listen == null || all == null) {
      return null;
    }
    Map<InetSocketAddress, Integer> numbers = new HashMap<>();
    for (int i = 0; i < named.size(); i++) {
      InetSocketAddress a = Addresses.parse(named.path(i).asText(""));
      if (a != null && i != settings.position()) {
        numbers.put(a, i);
      }
    }
    return new PeerAddresses(listen, all, numbers);
  }

  /** How long (ms) after it was told of a drain a client proxy may still send there. */
  double drainGrace() {
    return root.path("settings").path("rules").path("drainGrace").asDouble(500);
  }

  /** The list of hosts as this client proxy last had it, in discovery's form. */
  JsonNode known() {
    return root.path("known");
  }

  /**
   * The configuration that a file tells anew, for one that is in force.
   *
   * @throws ConfigException if anything of it is faulty, with every fault in its message
   */
  Config next(Path file) throws ConfigException {
    Config next = load(Map.of("BALANCER_CONFIG", file.toString()));
    List<String> faults = ConfigCheck.faults(root, next.root);
    if (!faults.isEmpty()) {
      throw new ConfigException(file + ": " + String.join("; ", faults));
    }
    return next;
  }

  /** This one with what of another may change while it runs. */
  Config with(Config next) {
    return new Config(
        name,
        listen,
        next.discovery,
        management,
        seed,
        memoryMb,
        sockets,
        next.root,
        next.settings,
        next.connIdle,
        next.connectTimeout,
        maxOpen);
  }

  /** What holds for connections to hosts. */
  PoolBounds bounds() {
    return PoolBounds.unbounded(settings.idleTimeoutMillis(connIdle), connectTimeout);
  }

  /** Where operators call, or null where none is told. */
  private static InetSocketAddress management(String s) throws ConfigException {
    return s.isEmpty() ? null : address(s, "management");
  }

  private static String told(Map<String, String> env, String variable, JsonNode root, String key) {
    String s = env.get(variable);
    return s == null || s.isEmpty() ? root.path(key).asText("") : s;
  }

  private static long seed(String s) {
    try {
      return Long.parseUnsignedLong(s, 16);
    } catch (NumberFormatException e) {
      return s.hashCode() ^ System.nanoTime(); // any will do, as long as no two starts share it
    }
  }

  private static InetSocketAddress address(String s, String what) throws ConfigException {
    InetSocketAddress a = Addresses.parse(s);
    if (a == null) {
      throw new ConfigException(what + " is not IP:port: '" + s + "'");
    }
    return a;
  }
}
