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

/**
 * The configuration of one client proxy, as its file and environment variables have it. What a file
 * that replaces another must hold is checked by {@link ConfigCheck}.
 */
record Config(
    String name,
    InetSocketAddress listen,
    InetSocketAddress discovery,
    InetSocketAddress management,
    long seed,
    int memoryMegabytes,
    int sockets,
    JsonNode root,
    Settings settings,
    double connectionIdleMillis,
    double connectTimeoutMillis,
    int maxOpen) {
  /** The variable that names the configuration's file. */
  static final String FILE_VARIABLE = "BALANCER_CONFIG";

  private static final int DEFAULT_MEMORY_MEGABYTES = 128;
  private static final int DEFAULT_SOCKETS = 1_024;
  private static final double DEFAULT_CONNECTION_IDLE_MILLIS = 15_000;
  private static final double DEFAULT_CONNECT_TIMEOUT_MILLIS = 250;
  private static final double DEFAULT_DRAIN_GRACE_MILLIS = 500;

  private static final int EXAMPLE_SOCKETS = 256;

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
          DEFAULT_MEMORY_MEGABYTES,
          EXAMPLE_SOCKETS,
          JSON.createObjectNode(),
          SettingsReader.read(settings),
          DEFAULT_CONNECTION_IDLE_MILLIS,
          DEFAULT_CONNECT_TIMEOUT_MILLIS,
          Integer.MAX_VALUE);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Reads the file that {@code BALANCER_CONFIG} names; the other variables win over it. */
  static Config load(Map<String, String> environment) throws ConfigException {
    String file = environment.get(FILE_VARIABLE);
    if (file == null || file.isEmpty()) {
      throw new ConfigException(FILE_VARIABLE + " is not set");
    }
    JsonNode root = readRoot(file);
    Settings settings = readSettings(file, root);
    JsonNode limits = root.path("limits");
    JsonNode settingsLimits = root.path("settings").path("limits");
    return new Config(
        text(environment, "BALANCER_NAME", root, "name"),
        address(text(environment, "BALANCER_LISTEN", root, "listen"), "listen"),
        address(text(environment, "BALANCER_DISCOVERY", root, "discovery"), "discovery"),
        managementAddress(text(environment, "BALANCER_MANAGEMENT", root, "management")),
        seed(root.path("seed").asText()),
        limits.path("memory_mb").asInt(DEFAULT_MEMORY_MEGABYTES),
        limits.path("sockets").asInt(DEFAULT_SOCKETS),
        root,
        settings,
        settingsLimits.path("connIdle").asDouble(DEFAULT_CONNECTION_IDLE_MILLIS),
        settingsLimits.path("connectTimeout").asDouble(DEFAULT_CONNECT_TIMEOUT_MILLIS),
        settingsLimits.path("maxOpen").asInt(Integer.MAX_VALUE));
  }

  private static JsonNode readRoot(String file) throws ConfigException {
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
    return root;
  }

  private static Settings readSettings(String file, JsonNode root) throws ConfigException {
    try {
      return SettingsReader.read(root.path("settings"));
    } catch (MalformedInputException e) {
      throw new ConfigException(file + ": settings: " + e.getMessage());
    }
  }

  /**
   * Where the other client proxies of the tier are, or null where they may not talk or the
   * addresses are not told.
   */
  PeerAddresses peerAddresses() {
    JsonNode peers = root.path("peers");
    InetSocketAddress listen = Addresses.parse(root.path("peer_listen").asText(""));
    InetSocketAddress all = Addresses.parse(root.path("peers_all").asText(""));
    if (!SettingsReader.canMessagePeers(root.path("settings")) || listen == null || all == null) {
      return null;
    }
    Map<InetSocketAddress, Integer> numbers = new HashMap<>();
    for (int i = 0; i < peers.size(); i++) {
      InetSocketAddress peer = Addresses.parse(peers.path(i).asText(""));
      if (peer != null && i != settings.proxyIndex()) {
        numbers.put(peer, i);
      }
    }
    return new PeerAddresses(listen, all, numbers);
  }

  /** How long a proxy may still send to an endpoint once it was notified of its drain. */
  double drainGraceMillis() {
    return root.path("settings")
        .path("rules")
        .path("drainGrace")
        .asDouble(DEFAULT_DRAIN_GRACE_MILLIS);
  }

  /** The endpoint list as this proxy last had it, in discovery's form. */
  JsonNode knownList() {
    return root.path("known");
  }

  /**
   * The configuration that a file tells anew, for one that is in force.
   *
   * @throws ConfigException if anything of it is faulty, with every fault in its message
   */
  Config loadReplacement(Path file) throws ConfigException {
    Config replacement = load(Map.of(FILE_VARIABLE, file.toString()));
    List<String> faults = ConfigCheck.faults(root, replacement.root);
    if (!faults.isEmpty()) {
      throw new ConfigException(file + ": " + String.join("; ", faults));
    }
    return replacement;
  }

  /** This one with what of another may change while it runs. */
  Config withReloadableSettings(Config next) {
    return new Config(
        name,
        listen,
        next.discovery,
        management,
        seed,
        memoryMegabytes,
        sockets,
        next.root,
        next.settings,
        next.connectionIdleMillis,
        next.connectTimeoutMillis,
        maxOpen);
  }

  /** The bounds of connections to upstreams. */
  PoolBounds bounds() {
    return PoolBounds.unbounded(
        settings.idleTimeoutMillis(connectionIdleMillis), connectTimeoutMillis);
  }

  /** Where operators call, or null where none is told. */
  private static InetSocketAddress managementAddress(String text) throws ConfigException {
    return text.isEmpty() ? null : address(text, "management");
  }

  private static String text(
      Map<String, String> environment, String variable, JsonNode root, String key) {
    String value = environment.get(variable);
    return value == null || value.isEmpty() ? root.path(key).asText("") : value;
  }

  private static long seed(String hexadecimal) {
    try {
      return Long.parseUnsignedLong(hexadecimal, 16);
    } catch (NumberFormatException e) {
      return hexadecimal.hashCode()
          ^ System.nanoTime(); // any will do, as long as no two starts share it
    }
  }

  private static InetSocketAddress address(String text, String key) throws ConfigException {
    InetSocketAddress address = Addresses.parse(text);
    if (address == null) {
      throw new ConfigException(key + " is not IP:port: '" + text + "'");
    }
    return address;
  }
}
