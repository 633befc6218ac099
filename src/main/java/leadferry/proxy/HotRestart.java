package leadferry.proxy;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * The processes that serve one clients' address at a time: during an upgrade two. Each keeps a file
 * in a folder that they share, locked for as long as it lives, since the kernel drops a lock with
 * its process however that ends. The file tells whether its process listens and what it holds.
 *
 * <pre>
 *   old:  file, locked ------------------------------- SIGTERM: another listens? closes its socket at once
 *   new:            file, locked ---- tells: listens ------------------------------------------
 * </pre>
 *
 * <p>Without a folder a process believes itself alone, which is right but where an upgrade happens.
 */
final class HotRestart implements AutoCloseable {
  /** Kept from earlier builds: during an upgrade one of them may run beside this one. */
  private static final String PREFIX = "corkproxy-";

  private static final int TRIES = 3;
  private static final int SIZE = 17;

  /**
   * How a process stands.
   *
   * @param clients connections of its clients, and {@code upstreams} to its hosts
   * @param bodies bytes of bodies that it holds
   */
  record Standing(boolean listens, int clients, int upstreams, long bodies) {
    static final Standing NONE = new Standing(false, 0, 0, 0);

    private Standing plus(Standing s) {
      return s == null
          ? this
          : new Standing(
              listens || s.listens,
              clients + s.clients,
              upstreams + s.upstreams,
              bodies + s.bodies);
    }
  }

  private final Path folder;
  private final Path own;
  private final FileChannel channel;

  private HotRestart(Path folder, Path own, FileChannel channel) {
    this.folder = folder;
    this.own = own;
    this.channel = channel;
  }

  /** Joins those in the folder, or nobody where it is null or can't be used. */
  static HotRestart join(String folder) {
    for (int i = 0; i < TRIES && folder != null && !folder.isEmpty(); i++) {
      try {
        Path own = Files.createTempFile(Path.of(folder), PREFIX, ".lock");
        FileChannel c = FileChannel.open(own, StandardOpenOption.WRITE);
        c.lock();
        if (Files.exists(own)) {
          return new HotRestart(Path.of(folder), own, c);
        }
        c.close(); // another process took it for a dead one's, before it was locked
      } catch (IOException | RuntimeException e) {
        break;
      }
    }
    return alone();
  }

  /** Those of a process that knows of no other. */
  static HotRestart alone() {
    return new HotRestart(null, null, null);
  }

  /** Tells the others how this process stands; harmless where it can't be told. */
  void tell(Standing own) {
    try {
      if (channel != null) {
        ByteBuffer b = ByteBuffer.allocate(SIZE);
        b.put((byte) (own.listens() ? 1 : 0)).putInt(own.clients()).putInt(own.upstreams());
        channel.write(b.putLong(own.bodies()).flip(), 0);
      }
    } catch (IOException e) {
      // they go by what was told before
    }
  }

  /** What the other processes that live hold together, or null where there are none. */
  Standing others() {
    if (folder == null) {
      return null;
    }
    Standing sum = null;
    try (DirectoryStream<Path> all = Files.newDirectoryStream(folder, PREFIX + "*.lock")) {
      for (Path p : all) {
        Standing s = p.equals(own) ? null : read(p);
        sum = s == null ? sum : s.plus(sum);
      }
    } catch (IOException | DirectoryIteratorException e) {
      return sum;
    }
    return sum;
  }

  /** How the process of this file stands; null if it is dead, and its file goes. */
  private static Standing read(Path file) throws IOException {
    try (FileChannel c =
        FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
      try (FileLock l = c.tryLock()) {
        if (l != null) {
          Files.deleteIfExists(file);
          return null;
        }
      } catch (OverlappingFileLockException e) {
        // it lives, in this process
      }
      ByteBuffer b = ByteBuffer.allocate(SIZE);
      return c.read(b, 0) < SIZE
          ? Standing.NONE
          : new Standing(b.flip().get() != 0, b.getInt(), b.getInt(), b.getLong());
    } catch (NoSuchFileException e) {
      return null;
    }
  }

  @Override
  public void close() {
    try {
      if (channel != null) {
        Files.deleteIfExists(own);
        channel.close();
      }
    } catch (IOException e) {
      // the kernel drops the lock with the process
    }
  }
}
