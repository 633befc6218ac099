package leadferry.proxy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;

/**
 * A file whose time and size are looked at now and then, for a process that no signal reaches. One
 * look is one call to the system. A file that is being written shows as several changes; whoever
 * reads it must bear half a file.
 */
final class WatchedFile {
  private final Path file;
  private Object seen;

  WatchedFile(Path file) {
    this.file = file;
    this.seen = look();
  }

  Path file() {
    return file;
  }

  /** Whether it is another than at the last look, or has come or gone since. */
  boolean changed() {
    Object now = look();
    boolean other = !now.equals(seen);
    seen = now;
    return other;
  }

  private Object look() {
    try {
      BasicFileAttributes a = Files.readAttributes(file, BasicFileAttributes.class);
      return a.lastModifiedTime() + " " + a.size() + " " + a.fileKey();
    } catch (IOException e) {
      return "none";
    }
  }
}
