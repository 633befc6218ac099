package leadferry.testbed;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.extension.AnnotatedElementContext;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.io.TempDirFactory;

/**
 * A folder in memory, where the system has such a file system. Guards tests of several replicas
 * against a disk that others keep busy: each vote and each entry waits for it, so elections took as
 * long as it did. What a killed process has written stays.
 */
final class MemoryTempDirFactory implements TempDirFactory {
  private static final Path SHARED_MEMORY = Path.of("/dev/shm");

  /** What a rig's logs and files need at most, by far. */
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
