package leadferry.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;

/**
 * Stand-in for the discovery agent of one proxy. It serves the endpoint list and sends changes over
 * watches; it can stop sending and can close its watches.
 */
final class FakeDiscovery implements AutoCloseable {
  private static final long HEARTBEAT_MS = 2_000;
  private static final long POLL_MS = 5;

  /**
   * Time in milliseconds after a change at which the proxy counts as notified even if it received
   * nothing.
   */
  private static final long MAX_NOTICE_DELAY_MS = 6_000;

  private final int proxy;
  private final ServerSocket listener;
  private final SoakHistory history;
  private final ExecutorService threads;
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
  private final Map<String, String> entries = new LinkedHashMap<>();
  private final TreeMap<Long, String> changes = new TreeMap<>();
  private final Map<String, Long> lastChange = new HashMap<>();
  private final Map<String, Long> drainVersions = new ConcurrentHashMap<>();
  private long version = 40;
  private volatile boolean silent;
  private String listAtSilence;

  FakeDiscovery(int proxy, SoakHistory history, ExecutorService threads) throws IOException {
    this.proxy = proxy;
    this.history = history;
    this.threads = threads;
    this.listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
    threads.execute(this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  /**
   * Sets the state of an upstream and sends it to the watches; {@code removed} takes the upstream
   * out of the list.
   */
  synchronized void setState(RecordingUpstream upstream, String state) {
    version++;
    String entry = upstream.endpointJson(state);
    Long previousVersion = lastChange.put(upstream.name(), version);
    if (previousVersion != null) {
      changes.remove(previousVersion); // a list names each upstream once
    }
    changes.put(version, entry);
    if (state.equals("removed")) {
      entries.remove(upstream.name());
    } else {
      entries.put(upstream.name(), entry);
    }
    if (!state.equals("up")) {
      drainVersions.put(upstream.name(), version);
      history.addDrainNotice(
          proxy, upstream.name(), System.nanoTime() + MAX_NOTICE_DELAY_MS * 1_000_000);
    }
  }

  /** While silent, discovery still accepts connections and reads requests, but sends nothing. */
  synchronized void setSilent(boolean isSilent) {
    if (isSilent && !silent) {
      listAtSilence = endpointListJson();
    }
    silent = isSilent;
  }

  /** Returns the list as the proxy last had it: while discovery is silent, the one before. */
  synchronized String lastToldListJson() {
    return silent ? listAtSilence : endpointListJson();
  }

  /** Closes all connections, and with them every open watch. */
  void closeWatches() throws IOException {
    for (Socket socket : connections) {
      socket.close();
    }
  }

  synchronized String endpointListJson() {
    return "{\"version\":"
        + version
        + ",\"full\":true,\"servers\":["
        + String.join(",", entries.values())
        + "]}";
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        connections.add(socket);
        threads.execute(() -> serve(socket));
      } catch (IOException e) {
        return; // the listener was closed
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      HttpMessage request;
      while ((request = HttpMessage.read(socket.getInputStream(), () -> {})) != null) {
        while (silent) {
          Thread.sleep(POLL_MS);
        }
        String path = request.head().split(" ")[1];
        if (path.contains("follow")) {
          watch(socket, Long.parseLong(path.replaceAll(".*since=", "")));
          return;
        }
        String list = endpointListJson();
        write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
        recordDrainNotices();
      }
    } catch (IOException e) {
      // the proxy or the end of the run closed the connection
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      connections.remove(socket);
    }
  }

  private void watch(Socket socket, long since) throws IOException, InterruptedException {
    write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    long sentVersion = since;
    long lastWriteNanos = 0;
    while (true) {
      String line = null;
      synchronized (this) {
        if (!silent && sentVersion < version) {
          line =
              "{\"version\":"
                  + version
                  + ",\"full\":false,\"servers\":["
                  + String.join(",", changes.tailMap(sentVersion, false).values())
                  + "]}\n";
          sentVersion = version;
        }
      }
      if (line == null
          && !silent
          && System.nanoTime() - lastWriteNanos > HEARTBEAT_MS * 1_000_000) {
        line = "\n";
      }
      if (line != null) {
        write(socket, Integer.toHexString(line.length()) + "\r\n" + line + "\r\n");
        lastWriteNanos = System.nanoTime();
        recordDrainNotices();
      }
      Thread.sleep(POLL_MS);
    }
  }

  private void recordDrainNotices() {
    drainVersions.keySet().forEach(name -> history.addDrainNotice(proxy, name, System.nanoTime()));
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  @Override
  public void close() throws IOException {
    listener.close();
    closeWatches();
  }
}
