package leadferry.daemon;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** Upstream host whose bytes the test controls: one thread per connection, small socket buffers. */
final class RawUpstream implements AutoCloseable {
  /** Handles one connection, which is closed when the method returns. */
  interface ConnectionHandler {
    void serve(RawUpstream host, InputStream in, OutputStream out, Socket socket) throws Exception;
  }

  /**
   * Size of the socket buffers. It is small, so that bytes which this host does not read stay in
   * the daemon or at its client, and back-pressure shows.
   */
  static final int SOCKET_BUFFER_BYTES = 512 * 1024;

  private final ServerSocket listener = new ServerSocket();
  private final List<Socket> open = new CopyOnWriteArrayList<>();
  final List<String> heads = new CopyOnWriteArrayList<>();
  final AtomicInteger acceptedConnections = new AtomicInteger();
  final AtomicInteger closedConnections = new AtomicInteger();

  RawUpstream(ConnectionHandler handler) throws IOException {
    listener.setReceiveBufferSize(SOCKET_BUFFER_BYTES);
    listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    startThread(
        () -> {
          while (true) {
            Socket socket = listener.accept();
            socket.setSendBufferSize(SOCKET_BUFFER_BYTES);
            open.add(socket);
            acceptedConnections.incrementAndGet();
            startThread(
                () -> {
                  try (socket) {
                    handler.serve(
                        this,
                        new BufferedInputStream(socket.getInputStream()),
                        socket.getOutputStream(),
                        socket);
                  } finally {
                    closedConnections.incrementAndGet();
                  }
                });
          }
        });
  }

  interface Task {
    void run() throws Exception;
  }

  static Thread startThread(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (Exception e) {
                // the peer or the test has closed the connection
              }
            });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  /**
   * Returns the configuration of a pool with these hosts; {@code more} are further lines of its
   * table.
   */
  static String pool(String name, String furtherLines, RawUpstream... hosts) {
    StringBuilder toml = new StringBuilder("[pool." + name + "]\n" + furtherLines + "\n");
    for (RawUpstream upstream : hosts) {
      int port = upstream.listener.getLocalPort();
      toml.append("[[pool.")
          .append(name)
          .append(".member]]\nid = \"h")
          .append(port)
          .append("\"\naddress = \"127.0.0.1:")
          .append(port)
          .append("\"\npod = \"p\"\n");
    }
    return toml.toString();
  }

  /** Reads and records the next request head; returns null at the end of the stream. */
  String readHead(InputStream in) throws IOException {
    String head = readUntil(in, "\r\n\r\n");
    if (head != null) {
      heads.add(head);
    }
    return head;
  }

  /** Reads up to and including a text; returns null if the stream ends before it. */
  static String readUntil(InputStream in, String end) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    byte[] last = end.getBytes(StandardCharsets.ISO_8859_1);
    int matched = 0;
    int next;
    while (matched < last.length) {
      if ((next = in.read()) < 0) {
        return null;
      }
      out.write(next);
      matched = next == last[matched] ? matched + 1 : next == last[0] ? 1 : 0;
    }
    return out.toString(StandardCharsets.ISO_8859_1);
  }

  /**
   * Reads a chunked body and adds its length to {@code count[0]} as it arrives.
   *
   * @return the trailers
   */
  static String readChunkedBody(InputStream in, long[] count) throws IOException {
    while (true) {
      String line = readUntil(in, "\r\n");
      if (line == null) {
        throw new IOException("cut");
      }
      int chunkLength = Integer.parseInt(line.trim(), 16);
      if (chunkLength == 0) {
        StringBuilder trailers = new StringBuilder();
        String trailer;
        while ((trailer = readUntil(in, "\r\n")) != null && !trailer.equals("\r\n")) {
          trailers.append(trailer);
        }
        return trailers.toString();
      }
      for (long left = chunkLength; left > 0; ) {
        long skipped = in.skip(left);
        if (skipped <= 0 && in.read() < 0) {
          throw new IOException("cut");
        }
        left -= Math.max(1, skipped);
        count[0] += Math.max(1, skipped);
      }
      readUntil(in, "\r\n");
    }
  }

  static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  @Override
  public void close() {
    try {
      listener.close();
      for (Socket socket : open) {
        socket.close();
      }
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }
}
