package leadferry.loadbalancer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** The endpoints known from discovery, and which of them may receive requests. */
final class EndpointTable {
  private final Map<Long, Endpoint> byId = new HashMap<>();
  private final List<Endpoint> readyEndpoints = new ArrayList<>();
  private int listNumber;
  private int version;

  /** Returns the endpoint with this id, or null. */
  Endpoint get(long id) {
    return byId.get(id);
  }

  /** Returns the endpoints that may receive requests, in ring order. */
  List<Endpoint> readyEndpoints() {
    return readyEndpoints;
  }

  /** Returns a number that increases each time the set of ready endpoints changes. */
  int version() {
    return version;
  }

  /** Applies an endpoint list or changes to it. */
  void apply(
      EndpointListEvent event,
      List<EndpointUpdate> updates,
      double nowMillis,
      SplittableRandom random) {
    if (event == EndpointListEvent.FAILED) {
      return;
    }
    listNumber++;
    boolean isChanged = false;
    for (EndpointUpdate update : updates) {
      if (update.condition() == EndpointUpdate.Condition.GONE) {
        isChanged |= byId.remove(update.id()) != null;
      } else {
        isChanged |= put(update, nowMillis, random);
      }
    }
    if (event != EndpointListEvent.DELTA) {
      isChanged |= byId.values().removeIf(endpoint -> endpoint.lastListNumber != listNumber);
    }
    if (isChanged) {
      rebuild();
    }
  }

  private boolean put(EndpointUpdate update, double nowMillis, SplittableRandom random) {
    Endpoint endpoint = byId.get(update.id());
    boolean isChanged = false;
    if (endpoint == null || update.onlineSinceMillis() != endpoint.onlineSinceMillis) {
      // A new process starts without the history of the old one. Its slow-start credit is random,
      // so that many proxies that learn of it at the same time do not all send at once.
      endpoint =
          new Endpoint(update.id(), update.onlineSinceMillis(), nowMillis, random.nextDouble());
      byId.put(endpoint.id, endpoint);
      isChanged = true;
    }
    boolean isReadyNow = update.condition() == EndpointUpdate.Condition.READY;
    endpoint.zone = update.zone();
    endpoint.machineKind = update.machineKind();
    endpoint.cell = update.cell();
    endpoint.lastListNumber = listNumber;
    isChanged |= isReadyNow != endpoint.isReady;
    endpoint.isReady = isReadyNow;
    return isChanged;
  }

  private void rebuild() {
    readyEndpoints.clear();
    byId.values().stream().filter(endpoint -> endpoint.isReady).forEach(readyEndpoints::add);
    readyEndpoints.sort(
        (one, other) ->
            one.ringPosition != other.ringPosition
                ? Long.compare(one.ringPosition, other.ringPosition)
                : Long.compare(one.id, other.id));
    version++;
  }
}
