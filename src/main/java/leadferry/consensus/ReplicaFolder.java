package leadferry.consensus;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.server.storage.RaftStorage.StartupOption;

/**
 * The folder of a replica, with the log and a marker file that names the fleet and the replica.
 * Invariant: a replica that lost its log never starts with an empty one. Such a replica would not
 * know the votes that it had cast and could vote twice in one term.
 */
final class ReplicaFolder {
  /** File name of the marker. Every version uses the same name. */
  private static final String MARKER_FILE = "keeper";

  private ReplicaFolder() {}

  /** Returns the folder in which the Raft library keeps the log, the votes and the snapshots. */
  static Path logFolder(ReplicaConfig config) {
    return config.folder().resolve("log");
  }

  /**
   * Checks that the folder belongs to this replica, or claims an empty folder.
   *
   * @param allowEmptyFolder whether an empty folder may be claimed
   * @return how the Raft library opens its storage
   * @throws IOException if the folder belongs to another replica or can't be used; the message says
   *     what was expected
   */
  static StartupOption claim(ReplicaConfig config, RaftGroupId groupId, boolean allowEmptyFolder)
      throws IOException {
    Files.createDirectories(config.folder());
    Path marker = config.folder().resolve(MARKER_FILE);
    String owner = config.fleet() + "/" + config.name() + "\n";
    if (!Files.exists(marker)) {
      checkCanClaim(config.folder(), allowEmptyFolder);
      Files.writeString(marker, owner);
      return StartupOption.FORMAT;
    }
    String markedOwner = Files.readString(marker);
    if (!markedOwner.equals(owner)) {
      throw new IOException(
          config.folder()
              + ": belongs to replica "
              + markedOwner.strip()
              + " (expected: "
              + owner.strip()
              + ")");
    }
    // The marker is written before the Raft library formats its storage. A crash between the two
    // leaves only the marker.
    Path current = logFolder(config).resolve(groupId.getUuid().toString()).resolve("current");
    return Files.isDirectory(current) ? StartupOption.RECOVER : StartupOption.FORMAT;
  }

  private static void checkCanClaim(Path folder, boolean allowEmptyFolder) throws IOException {
    if (!allowEmptyFolder) {
      throw new IOException(
          folder
              + ": no replica log found (expected: the log of this replica; --new if it never had"
              + " one)");
    }
    try (Stream<Path> files = Files.list(folder)) {
      if (files.findAny().isPresent()) {
        throw new IOException(
            folder + ": not empty and not a replica's folder (expected: an empty folder)");
      }
    }
  }
}
