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
import leadferry.http.RequestIdTable;

/**
 * Coordinates the processes that serve one client address, of which there are two during an
 * upgrade. Each process keeps a file in a shared folder and holds a lock on it while it lives: the
 * kernel releases the lock when the process ends, whatever the cause. The file holds the {@link
 * ProcessState} of its process.
 *
 * <pre>
 *   old:  locks its file ------------------- SIGTERM: closes its socket at once if another listens
 *   new:          locks its file ---- publishes that it listens ----------------------------------
 * </pre>
 *
 * <p>Without a folder, a process assumes that it is the only one, which is wrong during an upgrade
 * only.
 */
final class HotRestart implements AutoCloseable {
  /**
   * Prefix of the file names, which earlier builds use as well: one of them may run beside this
   * build during an upgrade.
   */
  private static final String PREFIX = "corkproxy-";

  private static final String SUFFIX = ".lock";
  private static final String REQUEST_IDS_FILE = "leadferry-request-ids";
  private static final int JOIN_ATTEMPTS = 3;

  /** One byte for {@code isListening}, two ints and a long. */
  private static final int RECORD_BYTES = 1 + 2 * Integer.BYTES + Long.BYTES;

  /**
   * State of a process, as other processes read it.
   *
   * @param isListening whether the process listens on the client address
   * @param clientConnections connections of its clients
   * @param upstreamConnections connections to upstream hosts
   * @param bodyBytes bytes of request and response bodies that the process holds
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

  /**
   * Joins the processes of the folder; returns {@link #disabled()} if the folder is null or can't
   * be used.
   */
  static HotRestart join(String folder) {
    for (int i = 0; i < JOIN_ATTEMPTS && folder != null && !folder.isEmpty(); i++) {
      try {
        Path ownFile = Files.createTempFile(Path.of(folder), PREFIX, SUFFIX);
        FileChannel channel = FileChannel.open(ownFile, StandardOpenOption.WRITE);
        channel.lock();
        if (Files.exists(ownFile)) {
          return new HotRestart(Path.of(folder), ownFile, channel);
        }
        // Another process took the file for that of a dead process and deleted it before it was
        // locked.
        channel.close();
      } catch (IOException | RuntimeException e) {
        break;
      }
    }
    return disabled();
  }

  /** Returns an instance that publishes nothing and finds no other process. */
  static HotRestart disabled() {
    return new HotRestart(null, null, null);
  }

  /**
   * Returns the table of request ids that the processes of the folder share, or one of this process
   * alone if the folder can't be used.
   */
  RequestIdTable requestIds() {
    if (folder != null) {
      try {
        return RequestIdTable.shared(folder.resolve(REQUEST_IDS_FILE));
      } catch (IOException e) {
        // A table of its own: ids are unique within this process.
      }
    }
    return RequestIdTable.inMemory();
  }

  /** Publishes the state of this process to the others; ignores a failed write. */
  void publish(ProcessState state) {
    try {
      if (channel != null) {
        channel.write(state.encode(), 0);
      }
    } catch (IOException e) {
      // The other processes use the state published before.
    }
  }

  /** Returns the combined state of the other live processes, or null if there are none. */
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

  /**
   * Returns the state of the process that owns the file. If that process is dead, deletes the file
   * and returns null.
   */
  private static ProcessState read(Path file) throws IOException {
    try (FileChannel channel =
        FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
      try (FileLock lock = channel.tryLock()) {
        if (lock != null) {
          Files.deleteIfExists(file);
          return null;
        }
      } catch (OverlappingFileLockException e) {
        // This process holds the lock, so the owner of the file is alive.
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
      // The kernel releases the lock when the process ends.
    }
  }
}
