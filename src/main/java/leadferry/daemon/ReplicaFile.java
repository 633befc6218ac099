package leadferry.daemon;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import leadferry.consensus.Json;
import leadferry.consensus.ReplicaConfig;
import leadferry.disruption.Budget;
import leadferry.disruption.DisruptionState;

/**
 * Reads and validates a replica's file and a file of budgets (TOML 1.0, {@code docs/FLEET.md}).
 *
 * <p>Only this class maps the operator's terms ({@code keeper}, {@code settle_ms}, {@code warm_ms},
 * {@code fence_ms}, {@code max_out}, {@code min_in}) to those of the code.
 */
public final class ReplicaFile {
  private static final int MAX_PERIOD_MILLIS = 3_600_000;
  private static final int MAX_BUDGET = 1_000_000;

  /** Share above 1, which limits nothing. */
  private static final double NO_SHARE = 2;

  private static final int NO_LIMIT = -1;

  private ReplicaFile() {}

  /**
   * Reads a replica's file.
   *
   * @throws ConfigurationException with every error found
   */
  public static ReplicaConfig read(Path file) throws ConfigurationException {
    TomlSection.Source source = source(file);
    TomlSection root = new TomlSection(source, "", source.tree.root);
    TomlSection replica = root.table("keeper");
    String fleet = replica.string("fleet", null, "the fleet's name");
    String name = replica.string("name", null, "this replica's name");
    InetSocketAddress logAddress = DeclaredNames.readAddress(replica, "log_address", false);
    InetSocketAddress apiAddress = DeclaredNames.readAddress(replica, "api_address", false);
    String folder = replica.string("folder", null, "the folder of its log");
    int electionMillis = replica.integer("election_ms", 300, 50, 60_000);
    int snapshotEntries = replica.integer("snapshot_entries", 20_000, 50, 10_000_000);
    replica.rejectUnknownKeys();
    DisruptionState.Times times = times(root.table("fleet"));
    Map<String, InetSocketAddress> peers = peers(root, name);
    root.rejectUnknownKeys();
    throwIfErrors(source);
    return new ReplicaConfig(
        fleet,
        name,
        logAddress,
        apiAddress,
        Path.of(folder),
        peers,
        electionMillis,
        snapshotEntries,
        times);
  }

  private static DisruptionState.Times times(TomlSection fleet) {
    DisruptionState.Times times =
        new DisruptionState.Times(
            fleet.integer("settle_ms", 5_000, 0, MAX_PERIOD_MILLIS),
            fleet.integer("warm_ms", 10_000, 0, MAX_PERIOD_MILLIS),
            fleet.integer("fence_ms", 1_000, 0, MAX_PERIOD_MILLIS));
    fleet.rejectUnknownKeys();
    return times;
  }

  private static Map<String, InetSocketAddress> peers(TomlSection root, String ownName) {
    Map<String, InetSocketAddress> peers = new LinkedHashMap<>();
    for (Map.Entry<String, TomlSection> peer : root.tablesByName("peer").entrySet()) {
      DeclaredNames.declare(peer.getValue(), peer.getKey(), new HashSet<>());
      peers.put(peer.getKey(), DeclaredNames.readAddress(peer.getValue(), "log_address", false));
      peer.getValue().rejectUnknownKeys();
    }
    if (!peers.containsKey(ownName)) {
      root.addError(
          "peer",
          "none named '" + ownName + "'",
          "a [peer.NAME] for each replica, this one among them");
    }
    if (peers.size() % 2 == 0) {
      root.addError(
          "peer",
          peers.size() + " replicas",
          "an odd number: an even one bears no more failures than one less");
    }
    return peers;
  }

  /**
   * Reads {@code [[budget]]} tables into the JSON form of the replicated log.
   *
   * @throws ConfigurationException with every error found
   */
  public static ArrayNode readBudgets(Path file) throws ConfigurationException {
    TomlSection.Source source = source(file);
    TomlSection root = new TomlSection(source, "", source.tree.root);
    ArrayNode budgets = Json.object().putArray("budgets");
    for (TomlSection section : root.tables("budget")) {
      readBudget(section, budgets.addObject());
    }
    root.rejectUnknownKeys();
    throwIfErrors(source);
    return budgets;
  }

  private static void readBudget(TomlSection section, ObjectNode budget) {
    budget
        .put("name", section.string("name", null, "the budget's name"))
        .put("of", section.string("of", null, "proxy or host"))
        .put("by", section.string("by", Budget.ALL, "all, zone, pod, pool or kind"))
        .put("max_out", section.integer("max_out", NO_LIMIT, 0, MAX_BUDGET))
        .put("max_share", section.number("max_share", NO_SHARE, 0, 1))
        .put("min_in", section.integer("min_in", 0, 0, MAX_BUDGET));
    ObjectNode where = budget.putObject("where");
    section.stringMap("where").forEach(where::put);
    section.rejectUnknownKeys();
    List<String> errors = new ArrayList<>();
    Budget.read(budget, errors);
    errors.forEach(error -> section.addError("", error, "a budget as docs/FLEET.md tells"));
  }

  private static void throwIfErrors(TomlSection.Source source) throws ConfigurationException {
    if (!source.errors.isEmpty()) {
      source.errors.sort(Comparator.comparingInt(ConfigurationError::line));
      throw new ConfigurationException(source.errors);
    }
  }

  private static TomlSection.Source source(Path file) throws ConfigurationException {
    try {
      return new TomlSection.Source(
          file.toString(), TomlTree.parse(file.toString(), Files.readString(file)));
    } catch (IOException e) {
      throw new ConfigurationException(
          List.of(
              new ConfigurationError(
                  file.toString(), 0, "", "can't be read: " + e, "TOML in UTF-8")));
    }
  }
}
