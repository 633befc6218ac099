package leadferry.loadbalancer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** Which endpoints there are, by the endpoint lists of discovery, and which may get requests. */
final class EndpointTable {
  private final Map<Long, Endpoint> byId = new HashMap<>();
  private final List<Endpoint> ready = new ArrayList<>();
  private int updates;
  private int version;

  /** The endpoint of that id, or null. */
  Endpoint get(long id) {
    return byId.get(id);
  }

  /** Endpoints that may get requests, in ring order. */
  List<Endpoint> ready() {
    return ready;
  }

  /** Grows each time that the set of ready endpoints changes. */
  int version() {
    return version;
  }

  /** Takes a list, or changes to one. */
  void apply(
      EndpointListEvent event,
      List<EndpointUpdate> list,
      double nowMillis,
      SplittableRandom random) {
    if (event == EndpointListEvent.FAILED) {
      return;
    }
    updates++;
    boolean changed = false;
    for (EndpointUpdate update : list) {
      if (update.condition() == EndpointUpdate.Condition.GONE) {
        changed |= byId.remove(update.id()) != null;
      } else {
        changed |= put(update, nowMillis, random);
      }
    }
    if (event != EndpointListEvent.DELTA) {
      changed |= byId.values().removeIf(endpoint -> endpoint.lastUpdate != updates);
    }
    if (changed) {
      rebuild();
    }
  }

  private boolean put(EndpointUpdate update, double nowMillis, SplittableRandom random) {
    Endpoint endpoint = byId.get(update.id());
    boolean changed = false;
    if (endpoint == null || update.onlineSince() != endpoint.onlineSinceMillis) {
      // A new process owes nothing to what the old one did; its credit starts at chance, so that
      // many proxies told at once do not all send at once.
      endpoint = new Endpoint(update.id(), update.onlineSince(), nowMillis, random.nextDouble());
      byId.put(endpoint.id, endpoint);
      changed = true;
    }
    boolean nowReady = update.condition() == EndpointUpdate.Condition.READY;
    endpoint.zone = update.zone();
    endpoint.kind = update.kind();
    endpoint.cell = update.cell();
    endpoint.lastUpdate = updates;
    changed |= nowReady != endpoint.ready;
    endpoint.ready = nowReady;
    return changed;
  }

  private void rebuild() {
    ready.clear();
    byId.values().stream().filter(endpoint -> endpoint.ready).forEach(ready::add);
    ready.sort(
        (one, other) ->
            one.ringPosition != other.ringPosition
                ? Long.compare(one.ringPosition, other.ringPosition)
                : Long.compare(one.id, other.id));
    version++;
  }
}
