package corkproxy.proxy;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import corkproxy.adapter.MalformedInputException;
import corkproxy.adapter.SettingsReader;
import corkproxy.balancer.Settings;
import corkproxy.engine.Addresses;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.Map;

/** What the platform tells one client proxy; times are milliseconds. */
record Config(
    String name,
    InetSocketAddress listen,
    InetSocketAddress discovery,
    long seed,
    int memoryMb,
    int sockets,
    JsonNode known,
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
          "example", any, any, 1, 128, 256, settings, SettingsReader.read(settings), 15_000, 250,
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
        seed(root.path("seed").asText()),
        limits.path("memory_mb").asInt(128),
        limits.path("sockets").asInt(1024),
        root.path("known"),
        settings,
        allowed.path("connIdle").asDouble(15_000),
        allowed.path("connectTimeout").asDouble(250),
        allowed.path("maxOpen").asInt(Integer.MAX_VALUE));
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
