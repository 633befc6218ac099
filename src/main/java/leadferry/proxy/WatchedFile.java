package leadferry.proxy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;

/**
 * A file whose time and size are polled, for a process that no signal reaches. A poll is one system
 * call. A file that is being written shows as several changes; its reader must expect half a file.
 */
final class WatchedFile {
  private static final String MISSING = "none";

  private final Path file;
  private String lastAttributes;

  WatchedFile(Path file) {
    this.file = file;
    this.lastAttributes = readAttributes();
  }

  Path file() {
    return file;
  }

  /** Whether it has changed, appeared or gone since the last call. */
  boolean hasChanged() {
    String attributes = readAttributes();
    boolean changed = !attributes.equals(lastAttributes);
    lastAttributes = attributes;
    return changed;
  }

  private String readAttributes() {
    try {
      BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class);
      return attributes.lastModifiedTime() + " " + attributes.size() + " " + attributes.fileKey();
    } catch (IOException e) {
      return MISSING;
    }
  }
}
