package leadferry.daemon;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import leadferry.consensus.Json;
import leadferry.consensus.ReplicaConfig;
import leadferry.disruption.Budget;
import leadferry.disruption.DisruptionState;

/** Reads and judges a keeper's file, and a file of budgets (TOML 1.0): {@code docs/FLEET.md}. */
public final class ReplicaFile {
  private ReplicaFile() {}

  /**
   * Reads a keeper's file.
   *
   * @throws FaultyFileException with every fault that was found
   */
  public static ReplicaConfig read(Path file) throws ConfigurationException {
    TomlSection.Source source = source(file);
    TomlSection root = new TomlSection(source, "", source.lines.root);
    TomlSection k = root.table("keeper");
    String fleet = k.text("fleet", null, "the fleet's name");
    String name = k.text("name", null, "this keeper's name");
    InetSocketAddress log = Names.address(k, "log_address", false);
    InetSocketAddress api = Names.address(k, "api_address", false);
    String folder = k.text("folder", null, "the folder of its log");
    int election = k.integer("election_ms", 300, 50, 60_000);
    int snapshot = k.integer("snapshot_entries", 20_000, 50, 10_000_000);
    k.end();
    TomlSection f = root.table("fleet");
    DisruptionState.Times times =
        new DisruptionState.Times(
            f.integer("settle_ms", 5_000, 0, 3_600_000),
            f.integer("warm_ms", 10_000, 0, 3_600_000),
            f.integer("fence_ms", 1_000, 0, 3_600_000));
    f.end();
    Map<String, InetSocketAddress> peers = new LinkedHashMap<>();
    for (Map.Entry<String, TomlSection> e : root.named("peer").entrySet()) {
      Names.take(e.getValue(), e.getKey(), new java.util.HashSet<>());
      peers.put(e.getKey(), Names.address(e.getValue(), "log_address", false));
      e.getValue().end();
    }
    if (!peers.containsKey(name)) {
      root.fault(
          "peer",
          "none named '" + name + "'",
          "a [peer.NAME] for each keeper, this one among them");
    }
    if (peers.size() % 2 == 0) {
      root.fault(
          "peer",
          peers.size() + " keepers",
          "an odd number: an even one bears no more failures than one less");
    }
    root.end();
    end(source);
    return new ReplicaConfig(
        fleet, name, log, api, Path.of(folder), peers, election, snapshot, times);
  }

  /**
   * Reads {@code [[budget]]} tables into the form that the ledger takes.
   *
   * @throws FaultyFileException with every fault that was found
   */
  public static ArrayNode budgets(Path file) throws ConfigurationException {
    TomlSection.Source source = source(file);
    TomlSection root = new TomlSection(source, "", source.lines.root);
    ArrayNode out = Json.object().putArray("budgets");
    for (TomlSection s : root.list("budget")) {
      ObjectNode n = out.addObject();
      n.put("name", s.text("name", null, "the budget's name"));
      n.put("of", s.text("of", null, "proxy or host"))
          .put("by", s.text("by", Budget.ALL, "all, zone, pod, pool or kind"));
      n.put("max_out", s.integer("max_out", -1, 0, 1_000_000));
      n.put("max_share", s.number("max_share", 2, 0, 1))
          .put("min_in", s.integer("min_in", 0, 0, 1_000_000));
      ObjectNode w = n.putObject("where");
      s.map("where").forEach(w::put);
      s.end();
      List<String> faults = new ArrayList<>();
      Budget.read(n, faults);
      faults.forEach(f -> s.fault("", f, "a budget as docs/FLEET.md tells"));
    }
    root.end();
    end(source);
    return out;
  }

  private static void end(TomlSection.Source source) throws ConfigurationException {
    if (!source.faults.isEmpty()) {
      source.faults.sort(Comparator.comparingInt(ConfigurationError::line));
      throw new ConfigurationException(source.faults);
    }
  }

  private static TomlSection.Source source(Path file) throws ConfigurationException {
    try {
      return new TomlSection.Source(
          file.toString(), TomlTree.of(file.toString(), Files.readString(file)));
    } catch (IOException e) {
      throw new ConfigurationException(
          List.of(
              new ConfigurationError(
                  file.toString(), 0, "", "can't be read: " + e, "TOML in UTF-8")));
    }
  }
}
