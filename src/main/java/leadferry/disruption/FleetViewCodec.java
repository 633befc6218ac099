package leadferry.disruption;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import leadferry.disruption.FleetView.ProxyEviction;

/**
 * The form of a {@link FleetView} on the wire and in a proxy's state file.
 *
 * <pre>
 *   version                    version
 *   halted                     halted
 *   hosts_out                  hostsOut
 *   proxies_out.NAME.permit    proxiesOut, grantId
 *   proxies_out.NAME.for_ms    proxiesOut, durationMillis
 * </pre>
 */
final class FleetViewCodec {
  private FleetViewCodec() {}

  /** Adds the view's keys to a JSON object. */
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
   * Adds the keys that a proxy keeps on disk: a start without replicas knows nothing of halts, and
   * takes its own eviction for one without a time.
   */
  static void encodeForRestart(FleetView view, ObjectNode json) {
    json.put("version", view.version());
    view.drainedEndpoints().forEach(json.putArray("hosts_out")::add);
    ObjectNode proxies = json.putObject("proxies_out");
    view.proxyEvictions()
        .forEach((proxy, eviction) -> proxies.putObject(proxy).put("permit", eviction.grantId()));
  }

  /** Reads a view; keys that are missing read as "nothing is out". */
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
