package leadferry.disruption;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import leadferry.disruption.FleetView.ProxyEviction;

/**
 * Maps a {@link FleetView} to and from its form on the wire and in a proxy's state file.
 *
 * <pre>
 *   version                    version
 *   halted                     halted
 *   hosts_out                  drainedEndpoints
 *   proxies_out.NAME.permit    proxyEvictions, grantId
 *   proxies_out.NAME.for_ms    proxyEvictions, durationMillis
 * </pre>
 */
final class FleetViewCodec {
  private FleetViewCodec() {}

  /** Adds the keys of the view to a JSON object. */
  static void encode(FleetView view, ObjectNode json) {
    json.put("version", view.version()).put("halted", view.halted());
    view.drainedEndpoints().forEach(json.putArray("hosts_out")::add);
    ObjectNode proxies = json.putObject("proxies_out");
    view.proxyEvictions()
        .forEach(
            (proxy, eviction) ->
                proxies
                    .putObject(proxy)
                    .put("permit", eviction.grantId())
                    .put("for_ms", eviction.durationMillis()));
  }

  /**
   * Adds the keys that a proxy stores on disk for a start during which no replica can be reached.
   * The halt and the durations of grants are left out, so the proxy reads its own eviction as one
   * without expiry.
   */
  static void encodeForRestart(FleetView view, ObjectNode json) {
    json.put("version", view.version());
    view.drainedEndpoints().forEach(json.putArray("hosts_out")::add);
    ObjectNode proxies = json.putObject("proxies_out");
    view.proxyEvictions()
        .forEach((proxy, eviction) -> proxies.putObject(proxy).put("permit", eviction.grantId()));
  }

  /** Reads a view. A missing key stands for no evictions. */
  static FleetView decode(JsonNode json) {
    Set<String> drainedEndpoints = new LinkedHashSet<>();
    json.path("hosts_out").forEach(endpoint -> drainedEndpoints.add(endpoint.asText()));
    Map<String, ProxyEviction> proxyEvictions = new LinkedHashMap<>();
    for (Map.Entry<String, JsonNode> proxy : json.path("proxies_out").properties()) {
      proxyEvictions.put(
          proxy.getKey(),
          new ProxyEviction(
              proxy.getValue().path("permit").asText(""),
              proxy.getValue().path("for_ms").asLong()));
    }
    return new FleetView(
        json.path("version").asLong(FleetView.NO_VERSION),
        json.path("halted").asBoolean(),
        drainedEndpoints,
        proxyEvictions);
  }
}
