package leadferry.testbed;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.extension.AnnotatedElementContext;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.io.TempDirFactory;

/**
 * Creates temporary directories in memory where the system has such a file system. Guards tests
 * with several replicas against a disk that other processes keep busy: every vote and log entry
 * waits for the disk, which made elections take as long as the disk did. Files of a killed process
 * remain.
 */
final class MemoryTempDirFactory implements TempDirFactory {
  private static final Path SHARED_MEMORY = Path.of("/dev/shm");

  /** Generous upper bound on the size of a test's logs and files. */
  private static final long ROOM_BYTES = 256L << 20;

  @Override
  public Path createTempDirectory(AnnotatedElementContext element, ExtensionContext test)
      throws IOException {
    boolean there =
        Files.isDirectory(SHARED_MEMORY)
            && Files.isWritable(SHARED_MEMORY)
            && Files.getFileStore(SHARED_MEMORY).getUsableSpace() > ROOM_BYTES;
    return there
        ? Files.createTempDirectory(SHARED_MEMORY, "leadferry")
        : Files.createTempDirectory("leadferry");
  }
}
