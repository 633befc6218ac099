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
 * The agent of one proxy: tells the list and its changes by watches, and can be silent, closed or
 * down for a while.
 */
final class FakeDiscovery implements AutoCloseable {
  private static final long BLANK_MS = 2_000;
  private static final long POLL_MS = 5;

  /** From a change on a proxy counts as notified after so long (ms), whether or not it heard. */
  private static final long TOLD_MS = 6_000;

  private final int proxy;
  private final ServerSocket listener;
  private final SoakHistory history;
  private final ExecutorService threads;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private final Map<String, String> entries = new LinkedHashMap<>();
  private final TreeMap<Long, String> changes = new TreeMap<>();
  private final Map<String, Long> lastChange = new HashMap<>();
  private final Map<String, Long> draining = new ConcurrentHashMap<>();
  private long version = 40;
  private volatile boolean silent;

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

  /** Puts a server into a state and tells it; {@code removed} takes it out of the list. */
  synchronized void setState(RecordingUpstream upstream, String state) {
    version++;
    String entry = upstream.endpointJson(state);
    Long before = lastChange.put(upstream.name(), version);
    if (before != null) {
      changes.remove(before); // a list names each server once
    }
    changes.put(version, entry);
    if (state.equals("removed")) {
      entries.remove(upstream.name());
    } else {
      entries.put(upstream.name(), entry);
    }
    if (!state.equals("up")) {
      draining.put(upstream.name(), version);
      history.addDrainNotice(proxy, upstream.name(), System.nanoTime() + TOLD_MS * 1_000_000);
    }
  }

  /** From now on it accepts and reads, and tells nothing. */
  void setSilent(boolean on) {
    silent = on;
  }

  /** Ends every open watch. */
  void closeWatches() throws IOException {
    for (Socket socket : open) {
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
        open.add(socket);
        threads.execute(() -> serve(socket));
      } catch (IOException e) {
        return; // closed
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      HttpMessage call;
      while ((call = HttpMessage.read(socket.getInputStream(), () -> {})) != null) {
        while (silent) {
          Thread.sleep(POLL_MS);
        }
        String path = call.head().split(" ")[1];
        if (path.contains("follow")) {
          watch(socket, Long.parseLong(path.replaceAll(".*since=", "")));
          return;
        }
        String list = endpointListJson();
        write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
        noteTold();
      }
    } catch (IOException e) {
      // the proxy, or the run, has closed it
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      open.remove(socket);
    }
  }

  private void watch(Socket socket, long since) throws IOException, InterruptedException {
    write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    long told = since;
    long saidAt = 0;
    while (true) {
      String line = null;
      synchronized (this) {
        if (!silent && told < version) {
          line =
              "{\"version\":"
                  + version
                  + ",\"full\":false,\"servers\":["
                  + String.join(",", changes.tailMap(told, false).values())
                  + "]}\n";
          told = version;
        }
      }
      if (line == null && !silent && System.nanoTime() - saidAt > BLANK_MS * 1_000_000) {
        line = "\n";
      }
      if (line != null) {
        write(socket, Integer.toHexString(line.length()) + "\r\n" + line + "\r\n");
        saidAt = System.nanoTime();
        noteTold();
      }
      Thread.sleep(POLL_MS);
    }
  }

  private void noteTold() {
    draining.keySet().forEach(name -> history.addDrainNotice(proxy, name, System.nanoTime()));
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
