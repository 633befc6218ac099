package leadferry.consensus;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.server.storage.RaftStorage.StartupOption;

/**
 * A replica's folder: a mark file that names its fleet and replica, and the log. Invariant: a
 * replica that lost its log never starts with an empty one, for it would vote as if it had promised
 * nothing.
 */
final class ReplicaFolder {
  /** The mark's name on disk is that of earlier builds. */
  private static final String MARK_FILE = "keeper";

  private ReplicaFolder() {}

  /** Where the library keeps log, votes and snapshots. */
  static Path logFolder(ReplicaConfig config) {
    return config.folder().resolve("log");
  }

  /**
   * Checks that the folder is this replica's, or takes an empty one for it.
   *
   * @param allowEmptyFolder whether an empty folder may be taken
   * @return how the library has to open its part
   * @throws IOException if the folder is another's, or can't be used; with what was expected
   */
  static StartupOption claim(ReplicaConfig config, RaftGroupId group, boolean allowEmptyFolder)
      throws IOException {
    Files.createDirectories(config.folder());
    Path mark = config.folder().resolve(MARK_FILE);
    String owner = config.fleet() + "/" + config.name() + "\n";
    if (!Files.exists(mark)) {
      checkCanClaim(config.folder(), allowEmptyFolder);
      Files.writeString(mark, owner);
      return StartupOption.FORMAT;
    }
    String found = Files.readString(mark);
    if (!found.equals(owner)) {
      throw new IOException(
          config.folder()
              + ": of replica "
              + found.strip()
              + " (expected: of "
              + owner.strip()
              + ")");
    }
    // The mark is written before the library formats its part: a crash between leaves the mark
    // alone.
    Path current = logFolder(config).resolve(group.getUuid().toString()).resolve("current");
    return Files.isDirectory(current) ? StartupOption.RECOVER : StartupOption.FORMAT;
  }

  private static void checkCanClaim(Path folder, boolean allowEmptyFolder) throws IOException {
    if (!allowEmptyFolder) {
      throw new IOException(
          folder
              + ": no replica's log (expected: the one that this replica had; --new where it never"
              + " had one)");
    }
    try (Stream<Path> files = Files.list(folder)) {
      if (files.findAny().isPresent()) {
        throw new IOException(folder + ": not empty, and no replica's (expected: an empty folder)");
      }
    }
  }
}
