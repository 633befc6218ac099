package leadferry.adapter;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import leadferry.loadbalancer.Settings;

/**
 * Reads the settings of an instance from {@code conf}, the JSON configuration of the wire format.
 * This is the only class that maps the keys of {@code conf} to {@link Settings}. Unknown keys are
 * skipped, and missing keys get harmless defaults.
 */
public final class SettingsReader {
  private static final ObjectMapper JSON = new ObjectMapper();

  private SettingsReader() {}

  /** Returns the parsed JSON configuration. */
  static JsonNode parse(String conf) {
    try {
      return JSON.readTree(conf);
    } catch (JsonProcessingException e) {
      throw new MalformedInputException("malformed conf: " + e.getOriginalMessage());
    }
  }

  /** Returns whether the deployment permits messages between proxies. */
  public static boolean canMessagePeers(JsonNode root) {
    return root.path("limits").path("peers").asBoolean(false);
  }

  /**
   * Reads settings from a parsed configuration.
   *
   * @throws MalformedInputException if the configuration is not a JSON object
   */
  public static Settings read(JsonNode root) {
    if (root == null || !root.isObject()) {
      throw new MalformedInputException("malformed conf: not a JSON object");
    }
    JsonNode zone = root.path("zone");
    return new Settings(
        requestClasses(root.path("classes")),
        tenants(root.path("tenants")),
        limits(root.path("limits")),
        warmUpRules(root.path("rules")),
        root.path("membershipMode").asText("automatic").equals("subscribe"),
        zone.isTextual() ? zone.asText() : null,
        root.path("position").asInt(0),
        root.path("balancers").asInt(1),
        root.path("overShareWorth").asDouble(1),
        root.path("worthBy").asText("request").equals("work"));
  }

  private static List<Settings.RequestClass> requestClasses(JsonNode nodes) {
    List<Settings.RequestClass> classes = new ArrayList<>();
    for (JsonNode node : nodes) {
      classes.add(requestClass(node));
    }
    return classes;
  }

  private static List<Settings.Tenant> tenants(JsonNode nodes) {
    List<Settings.Tenant> tenants = new ArrayList<>();
    for (JsonNode node : nodes) {
      tenants.add(
          new Settings.Tenant(
              node.path("name").asText(),
              node.path("quotaPerS").asDouble(0),
              node.path("portion").asDouble(0)));
    }
    return tenants;
  }

  private static Settings.Limits limits(JsonNode node) {
    return new Settings.Limits(
        node.path("cancel").asBoolean(false),
        node.path("retryAfter").asBoolean(false),
        node.path("parallelTries").asBoolean(false),
        node.path("maxAttempts").asInt(1),
        node.path("maxRetryAfter").asDouble(0),
        node.path("streamsPerConn").asInt(1));
  }

  private static Settings.WarmUpRules warmUpRules(JsonNode node) {
    return new Settings.WarmUpRules(
        node.path("cold").asDouble(0),
        node.path("startCapacity").asDouble(1),
        node.path("fall").asDouble(0),
        node.path("fallMultiple").asDouble(1),
        node.path("askWithin").asDouble(0));
  }

  private static Settings.RequestClass requestClass(JsonNode node) {
    double deadlineMillis = node.path("deadline").asDouble(1000);
    Settings.Semantics semantics =
        switch (node.path("semantics").asText()) {
          case "idempotent" -> Settings.Semantics.IDEMPOTENT;
          case "deduplicated" -> Settings.Semantics.DEDUPLICATED;
          // an unknown name gets the strictest semantics
          default -> Settings.Semantics.AT_MOST_ONCE;
        };
    Settings.KeyScope keyScope =
        switch (node.path("keyScope").asText()) {
          case "all" -> Settings.KeyScope.ALL;
          case "zone" -> Settings.KeyScope.ZONE;
          default -> Settings.KeyScope.CELL;
        };
    return new Settings.RequestClass(
        node.path("name").asText(),
        Math.max(1, node.path("aim").asDouble(deadlineMillis)),
        deadlineMillis,
        semantics,
        keyScope,
        node.path("repeatWindow").asDouble(0),
        node.path("value").asDouble(1),
        node.path("lateWorth").asDouble(0));
  }
}
