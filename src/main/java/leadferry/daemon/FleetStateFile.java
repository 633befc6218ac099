package leadferry.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Optional;
import leadferry.consensus.Json;
import leadferry.disruption.ProxyMemberView;
import leadferry.engine.Log;

/**
 * Reads and writes the operator's {@code state_file}: the last view in force, for a start without
 * reachable replicas.
 *
 * <p>Without a configured file, nothing is read or written. Failures are only logged: requests do
 * not depend on the file.
 */
final class FleetStateFile {
  private final String fleet;
  private final Path file;
  private final Log log;
  private String lastWritten = "";

  /**
   * Creates the access to a file.
   *
   * @param file path of the state file, or null for none
   */
  FleetStateFile(String fleet, Path file, Log log) {
    this.fleet = fleet;
    this.file = file;
    this.log = log;
  }

  /** Returns the view that this process or its predecessor wrote last. */
  Optional<JsonNode> read() {
    if (file == null || !Files.exists(file)) {
      return Optional.empty();
    }
    try {
      ObjectNode state = Json.parse(Files.readAllBytes(file));
      if (state != null && state.path("fleet").asText().equals(fleet)) {
        return Optional.of(state.path("view"));
      }
      log.line(file + ": not a state file of fleet " + fleet + ": ignored");
    } catch (IOException e) {
      log.failure(file.toString(), e);
    }
    return Optional.empty();
  }

  /** Replaces the file atomically if the view has changed since the last write. */
  void write(ProxyMemberView view) {
    if (file == null) {
      return;
    }
    ObjectNode state = Json.object().put("fleet", fleet);
    view.write(state.putObject("view"));
    String text = Json.text(state);
    if (text.equals(lastWritten)) {
      return;
    }
    try {
      Path part = file.resolveSibling(file.getFileName() + ".part");
      Files.writeString(part, text);
      Files.move(part, file, StandardCopyOption.ATOMIC_MOVE);
      lastWritten = text;
    } catch (IOException e) {
      log.failure(file.toString(), e);
    }
  }
}
