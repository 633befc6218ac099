import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;

/** Stand-in for discovery: whole lists, and watches with an empty line every 2 s. */
final class Discovery implements AutoCloseable {
  final List<Host> hosts = new ArrayList<>();

  /** Whole list to tell in place of {@link #hosts}, or null. */
  volatile String list;

  private final Lab lab;
  private final int port;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private final List<String> changes = new ArrayList<>();
  private volatile ServerSocket listener;
  private int version = 41;

  Discovery(Lab lab) throws IOException {
    this.lab = lab;
    this.port = Lab.freePort();
    up();
  }

  String address() {
    return "127.0.0.1:" + port;
  }

  /** Takes discovery up: it accepts calls. */
  void up() throws IOException {
    ServerSocket socket = new ServerSocket();
    socket.setReuseAddress(true);
    socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 256);
    listener = socket;
    lab.threads.execute(() -> accept(socket));
  }

  /** Takes discovery down: watches end, and calls are refused. */
  void down() throws IOException {
    listener.close();
    for (Socket socket : open) {
      socket.setSoLinger(true, 0);
      socket.close();
    }
  }

  synchronized String list() {
    if (list != null) {
      return list;
    }
    return "{\"version\":" + version + ",\"full\":true,\"servers\":["
        + hosts.stream().filter(host -> !host.state.equals("removed")).map(Host::json).collect(Collectors.joining(",")) + "]}";
  }

  /** Changes the state of a host; watches are told at once. */
  synchronized void change(Host host, String state) {
    host.state = state;
    version++;
    changes.add("{\"version\":" + version + ",\"full\":false,\"servers\":[" + host.json() + "]}\n");
  }

  private void accept(ServerSocket from) {
    while (!from.isClosed()) {
      try {
        Socket socket = from.accept();
        open.add(socket);
        lab.threads.execute(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = socket.getInputStream();
      Http.Message call;
      while ((call = Http.read(in)) != null) {
        int since = call.path().indexOf("since=");
        if (since >= 0) {
          watch(socket, Integer.parseInt(call.path().substring(since + 6)));
          return;
        }
        String list = list();
        write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
      }
    } catch (Exception e) {
      // the client proxy closed the connection, or discovery went down
    } finally {
      open.remove(socket);
    }
  }

  private void watch(Socket socket, int since) throws IOException, InterruptedException {
    write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    int sent = Math.max(0, since - 41);
    long lastNanos = 0;
    while (true) {
      String line = null;
      synchronized (this) {
        if (sent < changes.size()) {
          line = changes.get(sent++);
        } else if (System.nanoTime() - lastNanos > 2_000_000_000L) {
          line = "\n";
        }
      }
      if (line != null) {
        write(socket, Integer.toHexString(line.length()) + "\r\n" + line + "\r\n");
        lastNanos = System.nanoTime();
      }
      Thread.sleep(5);
    }
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(Lab.bytes(text));
  }

  @Override
  public void close() throws IOException {
    down();
  }
}
