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

/** Reads and validates {@code [pool.NAME]} and the members of each pool. */
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

  /** Returns the pools by name, in the order of the file. */
  Map<String, DaemonConfig.Pool> read(
      List<Settings.RequestClass> classes, DaemonConfig.Process process) {
    Map<String, DaemonConfig.Pool> pools = new LinkedHashMap<>();
    for (Map.Entry<String, TomlSection> entry : root.tablesByName("pool").entrySet()) {
      TomlSection section = entry.getValue();
      DeclaredNames.declare(section, entry.getKey(), names.pools);
      TomlSection cold = section.table("cold");
      TomlSection retries = section.table("retries");
      String zone = section.string("zone", "-", "the zone to prefer");
      Settings settings =
          new Settings(
              classes,
              List.of(),
              new Settings.Limits(
                  true,
                  true,
                  section.flag("parallel", false),
                  section.integer("max_attempts", 3, 1, 20),
                  0,
                  1),
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
      pools.put(
          entry.getKey(),
          new DaemonConfig.Pool(
              entry.getKey(),
              members(section),
              settings,
              section.integer("max_answer_bytes", 1 << 20, 0, 256 << 20),
              section.flag("pass_errors", true),
              section.number("idle_ms", 15_000, 100, 3_600_000),
              section.number("connect_timeout_ms", 250, 1, 60_000),
              section.integer("max_connections", 1_024, 1, 1_000_000),
              section.integer("max_pending", 1_024, 0, 1_000_000),
              section.integer(
                  "max_requests_per_connection", Integer.MAX_VALUE, 1, Integer.MAX_VALUE),
              section.number("rest_ms", 0, 0, 1_000),
              retries.number("ratio", 0.2, 0, 10),
              retries.number("burst", 20, 0, 1e6)));
      retries.rejectUnknownKeys();
      section.rejectUnknownKeys();
    }
    if (pools.isEmpty()) {
      root.addError("pool", "none", "at least one [pool.NAME]");
    }
    return pools;
  }

  private static List<UpstreamHosts.Member> members(TomlSection pool) {
    List<UpstreamHosts.Member> members = new ArrayList<>();
    Set<String> ids = new HashSet<>();
    Map<InetSocketAddress, String> idByAddress = new HashMap<>();
    for (TomlSection section : pool.tables("member")) {
      String id = section.string("id", null, "the server's id");
      if (!id.isEmpty() && !ids.add(id)) {
        section.addError("id", "'" + id + "' a second time", "an id of its own");
      }
      InetSocketAddress address = DeclaredNames.readAddress(section, "address", false);
      String duplicate = address == null ? null : idByAddress.putIfAbsent(address, id);
      if (duplicate != null) {
        section.addError("address", "the address of '" + duplicate + "'", "an address of its own");
      }
      double weight = section.number("weight", 1, 0, 1e6);
      MemberState state = section.enumValue("state", MemberState.UP, MemberState.class);
      String pod = section.string("pod", "-", "the pod's name");
      members.add(
          new UpstreamHosts.Member(
              id,
              address,
              section.string("zone", "-", "the zone's name"),
              section.string("kind", "-", "the kind of machine"),
              // A server without a pod shares its record of idempotency keys with no other server.
              WeightedSplit.hash(pod.equals("-") ? "server " + id : "pod " + pod),
              state == MemberState.UP && weight > 0
                  ? EndpointUpdate.Condition.READY
                  : EndpointUpdate.Condition.TERMINATING,
              weight,
              0));
      section.rejectUnknownKeys();
    }
    return members;
  }
}
