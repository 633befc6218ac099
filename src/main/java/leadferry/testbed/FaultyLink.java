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
 * A link between two processes that can be broken: bytes go through a listener on loopback. What is
 * held back while a way is cut comes once it is whole again, as TCP would send it anew; a link that
 * refuses ends connections at once.
 *
 * <pre>
 *   source --connect--> relay --connect--> destination
 *          ==== forth ====&gt;   &lt;==== back ====
 * </pre>
 */
public final class FaultyLink implements AutoCloseable {
  private static final int CHUNK = 16 * 1024;
  private static final long LOOK_MS = 5;

  /** What is wrong with the link between two processes; all of it off is a sound link. */
  public static final class Link {
    volatile boolean forthCut;
    volatile boolean backCut;
    volatile boolean refuses;
    volatile int delayMs;

    /** The next chunk goes out by half, then the connection ends. */
    volatile boolean cutsMiddle;

    /** Holds back what goes from the source, from the destination, or both. */
    public void cut(boolean forth, boolean back) {
      forthCut = forth;
      backCut = back;
    }

    public void setRefusing(boolean now) {
      refuses = now;
    }

    public void setDelayMillis(int ms) {
      delayMs = ms;
    }

    public void truncateNextChunk() {
      cutsMiddle = true;
    }

    public void heal() {
      forthCut = false;
      backCut = false;
      refuses = false;
      cutsMiddle = false;
      delayMs = 0;
    }
  }

  private final ServerSocket listener;
  private final InetSocketAddress to;
  private final IntFunction<Link> links;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private volatile boolean closed;

  /** A relay whose link is that of the source that connects from a port. */
  public FaultyLink(InetSocketAddress to, IntFunction<Link> links) throws IOException {
    this.to = to;
    this.links = links;
    this.listener = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
    thread("relay-accept", this::accept);
  }

  public InetSocketAddress address() {
    return (InetSocketAddress) listener.getLocalSocketAddress();
  }

  private void accept() {
    while (!closed) {
      try {
        Socket s = listener.accept();
        open.add(s);
        thread("relay-open", () -> open(s));
      } catch (IOException e) {
        // closed, or a connection that went at once
      }
    }
  }

  private void open(Socket from) {
    Socket onward = new Socket();
    open.add(onward);
    try {
      Link link = links.apply(from.getPort());
      if (link.refuses) {
        throw new IOException("refused");
      }
      while (link.forthCut && !closed) {
        Thread.sleep(LOOK_MS);
      }
      onward.connect(to, 2_000);
      from.setTcpNoDelay(true);
      onward.setTcpNoDelay(true);
      thread("relay-back", () -> pump(onward, from, link, false));
      pump(from, onward, link, true);
    } catch (IOException | InterruptedException | RuntimeException e) {
      end(from, onward);
    }
  }

  private void pump(Socket from, Socket onto, Link link, boolean forth) {
    byte[] chunk = new byte[CHUNK];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = onto.getOutputStream();
      int n;
      while ((n = in.read(chunk)) >= 0) {
        if (link.delayMs > 0) {
          Thread.sleep(link.delayMs);
        }
        while (!closed && !link.refuses && (forth ? link.forthCut : link.backCut)) {
          Thread.sleep(LOOK_MS);
        }
        if (link.refuses) {
          break;
        }
        if (link.cutsMiddle && n > 1) {
          link.cutsMiddle = false;
          out.write(chunk, 0, n / 2);
          break;
        }
        out.write(chunk, 0, n);
      }
    } catch (IOException | InterruptedException e) {
      // the end of one side is that of the other
    }
    end(from, onto);
  }

  private void end(Socket a, Socket b) {
    for (Socket s : new Socket[] {a, b}) {
      open.remove(s);
      try {
        s.close();
      } catch (IOException e) {
        // it is gone all the same
      }
    }
  }

  private static void thread(String name, Runnable what) {
    Thread t = new Thread(null, what, name, 256 * 1024);
    t.setDaemon(true);
    t.start();
  }

  /** Ends connections and listener. */
  @Override
  public void close() throws IOException {
    closed = true;
    listener.close();
    for (Socket s : open) {
      s.close();
    }
  }

  /**
   * The name of the process that holds the socket of a local port, of those given by process id; or
   * "".
   */
  public static String processOfLocalPort(int port, Map<Long, String> processes) {
    String inode = inode(port);
    if (inode.isEmpty()) {
      return "";
    }
    String wanted = "socket:[" + inode + "]";
    for (Map.Entry<Long, String> p : processes.entrySet()) {
      try (var fds =
          java.nio.file.Files.newDirectoryStream(
              java.nio.file.Path.of("/proc/" + p.getKey() + "/fd"))) {
        for (java.nio.file.Path fd : fds) {
          try {
            if (java.nio.file.Files.readSymbolicLink(fd).toString().equals(wanted)) {
              return p.getValue();
            }
          } catch (IOException e) {
            // closed meanwhile
          }
        }
      } catch (IOException e) {
        // ended meanwhile
      }
    }
    return "";
  }

  private static String inode(int port) {
    String wanted = String.format(java.util.Locale.ROOT, ":%04X", port);
    for (String table : new String[] {"/proc/net/tcp", "/proc/net/tcp6"}) {
      try {
        for (String line : java.nio.file.Files.readAllLines(java.nio.file.Path.of(table))) {
          String[] f = line.trim().split("\\s+");
          if (f.length > 9 && f[1].endsWith(wanted) && !f[9].equals("0")) {
            return f[9];
          }
        }
      } catch (IOException e) {
        // not there
      }
    }
    return "";
  }
}
