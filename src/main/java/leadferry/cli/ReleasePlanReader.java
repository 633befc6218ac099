package leadferry.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.Optional;
import leadferry.consensus.Json;
import leadferry.consensus.ReplicaClient;
import leadferry.consensus.ReplicaClient.UnreachableException;
import leadferry.daemon.ConfigurationException;
import leadferry.daemon.ReleaseFile;

/** Reads the file of a plan against the fleet as it is, and tells faults on standard error. */
final class ReleasePlanReader {
  /**
   * A plan, or why there is none.
   *
   * @param plan in its JSON form; empty after a fault
   * @param exitStatus the command's exit status after a fault
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

  /** Tells that no replica can be reached; gives the exit status for it. */
  static int printUnreachable(UnreachableException cause) {
    System.err.println("no replica can be reached: " + cause.getMessage());
    return FleetExitStatus.UNREACHABLE;
  }
}
