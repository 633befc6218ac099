package leadferry.daemon;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import leadferry.engine.UpstreamHosts;
import leadferry.loadbalancer.EndpointUpdate;
import leadferry.loadbalancer.Settings;
import leadferry.routing.WeightedSplit;

/** Reads and judges {@code [pool.NAME]} and its members. */
final class PoolReader {
  private final TomlSection root;
  private final DeclaredNames names;

  PoolReader(TomlSection root, DeclaredNames names) {
    this.root = root;
    this.names = names;
  }

  private enum MemberState {
    UP,
    DRAINING
  }

  /** The pools by name, in the order of the file. */
  Map<String, DaemonConfig.Pool> read(
      List<Settings.RequestClass> classes, DaemonConfig.Process process) {
    Map<String, DaemonConfig.Pool> out = new LinkedHashMap<>();
    for (Map.Entry<String, TomlSection> e : root.tablesByName("pool").entrySet()) {
      TomlSection s = e.getValue();
      DeclaredNames.declare(s, e.getKey(), names.pools);
      TomlSection cold = s.table("cold");
      TomlSection retries = s.table("retries");
      String zone = s.string("zone", "-", "the zone to prefer");
      Settings settings =
          new Settings(
              classes,
              List.of(),
              new Settings.Limits(
                  true, true, s.flag("parallel", false), s.integer("max_attempts", 3, 1, 20), 0, 1),
              new Settings.WarmUpRules(
                  cold.number("for_ms", 0, 0, 3_600_000),
                  cold.number("start_capacity", 0.3, 0.01, 1),
                  cold.number("fall_ms", 1_500, 1, 600_000),
                  cold.number("fall_multiple", 3, 1, 100),
                  0),
              false,
              zone.equals("-") ? null : zone,
              process.instance() * process.workers(),
              process.instances() * process.workers(),
              1,
              false);
      cold.rejectUnknownKeys();
      out.put(
          e.getKey(),
          new DaemonConfig.Pool(
              e.getKey(),
              members(s),
              settings,
              s.integer("max_answer_bytes", 1 << 20, 0, 256 << 20),
              s.flag("pass_errors", true),
              s.number("idle_ms", 15_000, 100, 3_600_000),
              s.number("connect_timeout_ms", 250, 1, 60_000),
              s.integer("max_connections", 1_024, 1, 1_000_000),
              s.integer("max_pending", 1_024, 0, 1_000_000),
              s.integer("max_requests_per_connection", Integer.MAX_VALUE, 1, Integer.MAX_VALUE),
              s.number("rest_ms", 0, 0, 1_000),
              retries.number("ratio", 0.2, 0, 10),
              retries.number("burst", 20, 0, 1e6)));
      retries.rejectUnknownKeys();
      s.rejectUnknownKeys();
    }
    if (out.isEmpty()) {
      root.addError("pool", "none", "at least one [pool.NAME]");
    }
    return out;
  }

  private static List<UpstreamHosts.Member> members(TomlSection pool) {
    List<UpstreamHosts.Member> out = new ArrayList<>();
    Set<String> ids = new HashSet<>();
    Map<InetSocketAddress, String> taken = new HashMap<>();
    for (TomlSection s : pool.tables("member")) {
      String id = s.string("id", null, "the server's id");
      if (!id.isEmpty() && !ids.add(id)) {
        s.addError("id", "'" + id + "' a second time", "an id of its own");
      }
      InetSocketAddress at = DeclaredNames.readAddress(s, "address", false);
      String other = at == null ? null : taken.putIfAbsent(at, id);
      if (other != null) {
        s.addError("address", "the address of '" + other + "'", "an address of its own");
      }
      double weight = s.number("weight", 1, 0, 1e6);
      MemberState state = s.enumValue("state", MemberState.UP, MemberState.class);
      String pod = s.string("pod", "-", "the pod's name");
      out.add(
          new UpstreamHosts.Member(
              id,
              at,
              s.string("zone", "-", "the zone's name"),
              s.string("kind", "-", "the kind of machine"),
              // A server of no pod shares the memory of its keys with no other.
              WeightedSplit.hash(pod.equals("-") ? "server " + id : "pod " + pod),
              state == MemberState.UP && weight > 0
                  ? EndpointUpdate.Condition.READY
                  : EndpointUpdate.Condition.TERMINATING,
              weight,
              0));
      s.rejectUnknownKeys();
    }
    return out;
  }
}
