package leadferry.adapter;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import leadferry.loadbalancer.Settings;

/** Reads the settings of an instance; what is not known is skipped, what is absent is harmless. */
public final class SettingsReader {
  private static final ObjectMapper JSON = new ObjectMapper();

  private SettingsReader() {}

  /** The tree of a configuration in JSON. */
  static JsonNode parse(String conf) {
    try {
      return JSON.readTree(conf);
    } catch (JsonProcessingException e) {
      throw new MalformedInputException("malformed conf: " + e.getOriginalMessage());
    }
  }

  /** Whether the deployment lets proxies send each other messages. */
  public static boolean peers(JsonNode root) {
    return root.path("limits").path("peers").asBoolean(false);
  }

  /**
   * Reads settings that are parsed already.
   *
   * @throws MalformedInputException if they are no JSON object
   */
  public static Settings read(JsonNode root) {
    if (root == null || !root.isObject()) {
      throw new MalformedInputException("malformed conf: not a JSON object");
    }
    List<Settings.RequestClass> classes = new ArrayList<>();
    for (JsonNode c : root.path("classes")) {
      classes.add(requestClass(c));
    }
    List<Settings.Tenant> tenants = new ArrayList<>();
    for (JsonNode t : root.path("tenants")) {
      tenants.add(
          new Settings.Tenant(
              t.path("name").asText(),
              t.path("quotaPerS").asDouble(0),
              t.path("portion").asDouble(0)));
    }
    JsonNode limits = root.path("limits");
    JsonNode rules = root.path("rules");
    JsonNode zone = root.path("zone");
    return new Settings(
        classes,
        tenants,
        new Settings.Limits(
            limits.path("cancel").asBoolean(false),
            limits.path("retryAfter").asBoolean(false),
            limits.path("parallelTries").asBoolean(false),
            limits.path("maxAttempts").asInt(1),
            limits.path("maxRetryAfter").asDouble(0),
            limits.path("streamsPerConn").asInt(1)),
        new Settings.Rules(
            rules.path("cold").asDouble(0),
            rules.path("startCapacity").asDouble(1),
            rules.path("fall").asDouble(0),
            rules.path("fallMultiple").asDouble(1),
            rules.path("askWithin").asDouble(0)),
        root.path("membershipMode").asText("automatic").equals("subscribe"),
        zone.isTextual() ? zone.asText() : null,
        root.path("position").asInt(0),
        root.path("balancers").asInt(1),
        root.path("overShareWorth").asDouble(1),
        root.path("worthBy").asText("request").equals("work"));
  }

  private static Settings.RequestClass requestClass(JsonNode c) {
    double deadline = c.path("deadline").asDouble(1000);
    Settings.Semantics semantics =
        switch (c.path("semantics").asText()) {
          case "idempotent" -> Settings.Semantics.IDEMPOTENT;
          case "deduplicated" -> Settings.Semantics.DEDUPLICATED;
          default -> Settings.Semantics.AT_MOST_ONCE; // the strictest, where a name is new
        };
    Settings.Scope scope =
        switch (c.path("keyScope").asText()) {
          case "all" -> Settings.Scope.ALL;
          case "zone" -> Settings.Scope.ZONE;
          default -> Settings.Scope.CELL;
        };
    return new Settings.RequestClass(
        c.path("name").asText(),
        Math.max(1, c.path("aim").asDouble(deadline)),
        deadline,
        semantics,
        scope,
        c.path("repeatWindow").asDouble(0),
        c.path("value").asDouble(1),
        c.path("lateWorth").asDouble(0));
  }
}
