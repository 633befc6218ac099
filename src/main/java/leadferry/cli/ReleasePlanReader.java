package leadferry.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.Optional;
import leadferry.consensus.Json;
import leadferry.consensus.ReplicaClient;
import leadferry.consensus.ReplicaClient.UnreachableException;
import leadferry.daemon.ConfigurationException;
import leadferry.daemon.ReleaseFile;

/**
 * Reads a release plan, validates it against the current state of the fleet and prints errors on
 * standard error.
 */
final class ReleasePlanReader {
  /**
   * A release plan, or the exit status that says why there is none.
   *
   * @param plan the plan as JSON; empty after an error
   * @param exitStatus exit status of the command after an error
   */
  record Result(Optional<ObjectNode> plan, int exitStatus) {}

  private ReleasePlanReader() {}

  static Result read(FleetOptions fleet, Path file) {
    try (ReplicaClient client = fleet.openClient()) {
      ObjectNode status = client.call(Json.object().put("op", "status"), fleet.deadlineNanos());
      return new Result(Optional.of(ReleaseFile.read(file, status)), ReleaseCliCommand.EXIT_DONE);
    } catch (ConfigurationException e) {
      System.err.println(e.getMessage());
      return new Result(Optional.empty(), ReleaseCliCommand.EXIT_INVALID_INPUT);
    } catch (UnreachableException e) {
      return new Result(Optional.empty(), printUnreachable(e));
    }
  }

  /** Prints that no replica is reachable and returns the exit status for this error. */
  static int printUnreachable(UnreachableException cause) {
    System.err.println("no replica can be reached: " + cause.getMessage());
    return FleetExitStatus.UNREACHABLE;
  }
}
