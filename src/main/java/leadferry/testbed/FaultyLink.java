package leadferry.testbed;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.IntFunction;

/**
 * Relays the connections between two processes over a loopback listener and injects faults. While a
 * direction is cut, its bytes are held back and delivered after the cut ends, as TCP does with
 * retransmissions. A link that refuses closes connections immediately.
 *
 * <pre>
 *   source --connect--> relay --connect--> destination
 *          ==== forth ====&gt;   &lt;==== back ====
 * </pre>
 */
public final class FaultyLink implements AutoCloseable {
  private static final int CHUNK_BYTES = 16 * 1024;
  private static final long POLL_MILLIS = 5;

  /** The faults of the link between two processes. Without any of them the link is healthy. */
  public static final class Link {
    volatile boolean forthCut;
    volatile boolean backCut;
    volatile boolean refusing;
    volatile int delayMillis;

    /** The next chunk is truncated to its first half, then the connection is closed. */
    volatile boolean truncatesNextChunk;

    /** Holds back the bytes from the source, from the destination, or both. */
    public void cut(boolean forth, boolean back) {
      forthCut = forth;
      backCut = back;
    }

    /** Sets whether connections are refused. */
    public void setRefusing(boolean isRefusing) {
      refusing = isRefusing;
    }

    /** Delays each chunk by {@code millis}; 0 for no delay. */
    public void setDelayMillis(int millis) {
      delayMillis = millis;
    }

    /** Sends only the first half of the next chunk, then closes its connection. */
    public void truncateNextChunk() {
      truncatesNextChunk = true;
    }

    /** Removes all faults. */
    public void heal() {
      forthCut = false;
      backCut = false;
      refusing = false;
      truncatesNextChunk = false;
      delayMillis = 0;
    }
  }

  private final ServerSocket listener;
  private final InetSocketAddress destination;
  private final IntFunction<Link> linkOfSourcePort;
  private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();
  private volatile boolean closed;

  /**
   * Creates a relay to {@code destination}. {@code linkOfSourcePort} returns the link of the source
   * that connects from a given port.
   */
  public FaultyLink(InetSocketAddress destination, IntFunction<Link> linkOfSourcePort)
      throws IOException {
    this.destination = destination;
    this.linkOfSourcePort = linkOfSourcePort;
    this.listener = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
    startDaemon("relay-accept", this::accept);
  }

  /** Returns the address at which the source reaches the relay. */
  public InetSocketAddress address() {
    return (InetSocketAddress) listener.getLocalSocketAddress();
  }

  private void accept() {
    while (!closed) {
      try {
        Socket socket = listener.accept();
        openSockets.add(socket);
        startDaemon("relay-open", () -> connectAndRelay(socket));
      } catch (IOException e) {
        // the listener was closed, or a connection was closed immediately
      }
    }
  }

  private void connectAndRelay(Socket source) {
    Socket toDestination = new Socket();
    openSockets.add(toDestination);
    try {
      Link link = linkOfSourcePort.apply(source.getPort());
      if (link.refusing) {
        throw new IOException("refused");
      }
      while (link.forthCut && !closed) {
        Thread.sleep(POLL_MILLIS);
      }
      toDestination.connect(destination, 2_000);
      source.setTcpNoDelay(true);
      toDestination.setTcpNoDelay(true);
      startDaemon("relay-back", () -> copy(toDestination, source, link, false));
      copy(source, toDestination, link, true);
    } catch (IOException | InterruptedException | RuntimeException e) {
      closeBoth(source, toDestination);
    }
  }

  private void copy(Socket from, Socket to, Link link, boolean forth) {
    byte[] chunk = new byte[CHUNK_BYTES];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      int length;
      while ((length = in.read(chunk)) >= 0) {
        if (link.delayMillis > 0) {
          Thread.sleep(link.delayMillis);
        }
        while (!closed && !link.refusing && (forth ? link.forthCut : link.backCut)) {
          Thread.sleep(POLL_MILLIS);
        }
        if (link.refusing) {
          break;
        }
        if (link.truncatesNextChunk && length > 1) {
          link.truncatesNextChunk = false;
          out.write(chunk, 0, length / 2);
          break;
        }
        out.write(chunk, 0, length);
      }
    } catch (IOException | InterruptedException e) {
      // if one side ends, the other one is closed too
    }
    closeBoth(from, to);
  }

  private void closeBoth(Socket first, Socket second) {
    for (Socket socket : new Socket[] {first, second}) {
      openSockets.remove(socket);
      try {
        socket.close();
      } catch (IOException e) {
        // the socket is closed anyway
      }
    }
  }

  private static void startDaemon(String name, Runnable task) {
    Thread thread = new Thread(null, task, name, 256 * 1024);
    thread.setDaemon(true);
    thread.start();
  }

  /** Closes the listener and all connections. */
  @Override
  public void close() throws IOException {
    closed = true;
    listener.close();
    for (Socket socket : openSockets) {
      socket.close();
    }
  }

  /**
   * Returns the name of the process that owns the socket of a local port, or "". {@code processes}
   * maps process ids to names.
   */
  public static String processOfLocalPort(int port, Map<Long, String> processes) {
    String inode = inodeOfLocalPort(port);
    if (inode.isEmpty()) {
      return "";
    }
    String wanted = "socket:[" + inode + "]";
    for (Map.Entry<Long, String> process : processes.entrySet()) {
      try (var descriptors =
          java.nio.file.Files.newDirectoryStream(
              java.nio.file.Path.of("/proc/" + process.getKey() + "/fd"))) {
        for (java.nio.file.Path descriptor : descriptors) {
          try {
            if (java.nio.file.Files.readSymbolicLink(descriptor).toString().equals(wanted)) {
              return process.getValue();
            }
          } catch (IOException e) {
            // closed in the meantime
          }
        }
      } catch (IOException e) {
        // the process ended in the meantime
      }
    }
    return "";
  }

  private static String inodeOfLocalPort(int port) {
    String wanted = String.format(java.util.Locale.ROOT, ":%04X", port);
    for (String table : new String[] {"/proc/net/tcp", "/proc/net/tcp6"}) {
      try {
        for (String line : java.nio.file.Files.readAllLines(java.nio.file.Path.of(table))) {
          String[] fields = line.trim().split("\\s+");
          if (fields.length > 9 && fields[1].endsWith(wanted) && !fields[9].equals("0")) {
            return fields[9];
          }
        }
      } catch (IOException e) {
        // the table does not exist
      }
    }
    return "";
  }
}
