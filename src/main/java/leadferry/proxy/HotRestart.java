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

  private static final String SUFFIX = ".lock";
  private static final int JOIN_ATTEMPTS = 3;

  /** One byte for {@code listens}, two ints and a long. */
  private static final int RECORD_BYTES = 1 + 2 * Integer.BYTES + Long.BYTES;

  /**
   * How a process stands.
   *
   * @param clientConnections connections of its clients, and {@code upstreams} to its hosts
   * @param bodyBytes bytes of bodies that it holds
   */
  record ProcessState(
      boolean isListening, int clientConnections, int upstreamConnections, long bodyBytes) {
    static final ProcessState NONE = new ProcessState(false, 0, 0, 0);

    private ProcessState plus(ProcessState other) {
      return new ProcessState(
          isListening || other.isListening,
          clientConnections + other.clientConnections,
          upstreamConnections + other.upstreamConnections,
          bodyBytes + other.bodyBytes);
    }

    private ByteBuffer encode() {
      return ByteBuffer.allocate(RECORD_BYTES)
          .put((byte) (isListening ? 1 : 0))
          .putInt(clientConnections)
          .putInt(upstreamConnections)
          .putLong(bodyBytes)
          .flip();
    }

    private static ProcessState decode(ByteBuffer bytes) {
      return new ProcessState(bytes.get() != 0, bytes.getInt(), bytes.getInt(), bytes.getLong());
    }
  }

  private final Path folder;
  private final Path ownFile;
  private final FileChannel channel;

  private HotRestart(Path folder, Path ownFile, FileChannel channel) {
    this.folder = folder;
    this.ownFile = ownFile;
    this.channel = channel;
  }

  /** Joins those in the folder, or nobody where it is null or can't be used. */
  static HotRestart join(String folder) {
    for (int i = 0; i < JOIN_ATTEMPTS && folder != null && !folder.isEmpty(); i++) {
      try {
        Path ownFile = Files.createTempFile(Path.of(folder), PREFIX, SUFFIX);
        FileChannel channel = FileChannel.open(ownFile, StandardOpenOption.WRITE);
        channel.lock();
        if (Files.exists(ownFile)) {
          return new HotRestart(Path.of(folder), ownFile, channel);
        }
        channel.close(); // another process removed it as a dead one's, before it was locked
      } catch (IOException | RuntimeException e) {
        break;
      }
    }
    return disabled();
  }

  /** Those of a process that knows of no other. */
  static HotRestart disabled() {
    return new HotRestart(null, null, null);
  }

  /** Tells the others how this process stands; harmless where it can't be told. */
  void publish(ProcessState state) {
    try {
      if (channel != null) {
        channel.write(state.encode(), 0);
      }
    } catch (IOException e) {
      // They go by what was told before.
    }
  }

  /** What the other processes that live hold together, or null where there are none. */
  ProcessState readOtherProcesses() {
    if (folder == null) {
      return null;
    }
    ProcessState sum = null;
    try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, PREFIX + "*" + SUFFIX)) {
      for (Path file : files) {
        ProcessState state = file.equals(ownFile) ? null : read(file);
        if (state != null) {
          sum = sum == null ? state : state.plus(sum);
        }
      }
    } catch (IOException | DirectoryIteratorException e) {
      return sum;
    }
    return sum;
  }

  /** How the process of this file stands; null if it is dead, and its file goes. */
  private static ProcessState read(Path file) throws IOException {
    try (FileChannel channel =
        FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
      try (FileLock lock = channel.tryLock()) {
        if (lock != null) {
          Files.deleteIfExists(file);
          return null;
        }
      } catch (OverlappingFileLockException e) {
        // Its process lives: it is this one.
      }
      ByteBuffer bytes = ByteBuffer.allocate(RECORD_BYTES);
      boolean complete = channel.read(bytes, 0) == RECORD_BYTES;
      return complete ? ProcessState.decode(bytes.flip()) : ProcessState.NONE;
    } catch (NoSuchFileException e) {
      return null;
    }
  }

  @Override
  public void close() {
    try {
      if (channel != null) {
        Files.deleteIfExists(ownFile);
        channel.close();
      }
    } catch (IOException e) {
      // The kernel drops the lock with the process.
    }
  }
}
