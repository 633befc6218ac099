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
 * Configuration of one client proxy, read from its JSON file and the environment variables that
 * override it. {@link ConfigCheck} validates a file that replaces the one in force.
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
  /** Environment variable that holds the path of the configuration file. */
  static final String FILE_VARIABLE = "BALANCER_CONFIG";

  private static final int DEFAULT_MEMORY_MEGABYTES = 128;
  private static final int DEFAULT_SOCKETS = 1_024;
  private static final double DEFAULT_CONNECTION_IDLE_MILLIS = 15_000;
  private static final double DEFAULT_CONNECT_TIMEOUT_MILLIS = 250;
  private static final double DEFAULT_DRAIN_GRACE_MILLIS = 500;

  private static final int EXAMPLE_SOCKETS = 256;

  private static final ObjectMapper JSON = new ObjectMapper();

  /**
   * Returns a configuration that belongs to no deployment, with a deduplicated and an at-most-once
   * class.
   */
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

  /**
   * Reads the file named by {@code BALANCER_CONFIG}; the other environment variables override its
   * values.
   */
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
      throw new ConfigException(file + ": invalid JSON: " + e.getOriginalMessage());
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
   * Returns the addresses of the client proxies of the tier, or null if peer messages are disabled
   * or the addresses are missing.
   */
  PeerAddresses peerAddresses() {
    JsonNode peers = root.path("peers");
    InetSocketAddress listen = Addresses.parse(root.path("peer_listen").asText(""));
    InetSocketAddress broadcast = Addresses.parse(root.path("peers_all").asText(""));
    if (!SettingsReader.canMessagePeers(root.path("settings"))
        || listen == null
        || broadcast == null) {
      return null;
    }
    Map<InetSocketAddress, Integer> indexByAddress = new HashMap<>();
    for (int i = 0; i < peers.size(); i++) {
      InetSocketAddress peer = Addresses.parse(peers.path(i).asText(""));
      if (peer != null && i != settings.proxyIndex()) {
        indexByAddress.put(peer, i);
      }
    }
    return new PeerAddresses(listen, broadcast, indexByAddress);
  }

  /**
   * Returns the time (ms) for which a proxy may still send to an endpoint after it was notified of
   * the endpoint's drain.
   */
  double drainGraceMillis() {
    return root.path("settings")
        .path("rules")
        .path("drainGrace")
        .asDouble(DEFAULT_DRAIN_GRACE_MILLIS);
  }

  /** Returns the last known endpoint list of this proxy, in the JSON form of discovery. */
  JsonNode knownList() {
    return root.path("known");
  }

  /**
   * Loads the configuration that replaces this one.
   *
   * @throws ConfigException if the file is invalid; its message lists every error
   */
  Config loadReplacement(Path file) throws ConfigException {
    Config replacement = load(Map.of(FILE_VARIABLE, file.toString()));
    List<String> faults = ConfigCheck.faults(root, replacement.root);
    if (!faults.isEmpty()) {
      throw new ConfigException(file + ": " + String.join("; ", faults));
    }
    return replacement;
  }

  /**
   * Returns a copy of this configuration with those values of {@code next} that may change without
   * a restart.
   */
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

  /** Returns the limits of the connection pool for upstream hosts. */
  PoolBounds bounds() {
    return PoolBounds.unbounded(
        settings.idleTimeoutMillis(connectionIdleMillis), connectTimeoutMillis);
  }

  /** Returns the management address, or null if none is configured. */
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
          ^ System.nanoTime(); // Any seed works, as long as each start gets a different one.
    }
  }

  private static InetSocketAddress address(String text, String key) throws ConfigException {
    InetSocketAddress address = Addresses.parse(text);
    if (address == null) {
      throw new ConfigException(key + ": '" + text + "' (expected: IP:port)");
    }
    return address;
  }
}
