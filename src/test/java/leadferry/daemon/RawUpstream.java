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

/** A host that a test writes to the byte: one thread a connection, small socket buffers. */
final class RawUpstream implements AutoCloseable {
  /** What is done with a connection; returns when it is to be closed. */
  interface ConnectionHandler {
    void serve(RawUpstream host, InputStream in, OutputStream out, Socket s) throws Exception;
  }

  /**
   * A small buffer shows back-pressure: what is not read here stands in the daemon or at its
   * client.
   */
  static final int SOCKET_BUFFER_BYTES = 512 * 1024;

  private final ServerSocket listener = new ServerSocket();
  private final List<Socket> open = new CopyOnWriteArrayList<>();
  final List<String> heads = new CopyOnWriteArrayList<>();
  final AtomicInteger acceptedConnections = new AtomicInteger();
  final AtomicInteger closedConnections = new AtomicInteger();

  RawUpstream(ConnectionHandler serving) throws IOException {
    listener.setReceiveBufferSize(SOCKET_BUFFER_BYTES);
    listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    startThread(
        () -> {
          while (true) {
            Socket s = listener.accept();
            s.setSendBufferSize(SOCKET_BUFFER_BYTES);
            open.add(s);
            acceptedConnections.incrementAndGet();
            startThread(
                () -> {
                  try (s) {
                    serving.serve(
                        this, new BufferedInputStream(s.getInputStream()), s.getOutputStream(), s);
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

  static Thread startThread(Task what) {
    Thread t =
        new Thread(
            () -> {
              try {
                what.run();
              } catch (Exception e) {
                // the other side, or the test, has ended it
              }
            });
    t.setDaemon(true);
    t.start();
    return t;
  }

  /** A pool of these hosts; {@code more} are further lines of its table. */
  static String pool(String name, String more, RawUpstream... hosts) {
    StringBuilder s = new StringBuilder("[pool." + name + "]\n" + more + "\n");
    for (RawUpstream h : hosts) {
      int port = h.listener.getLocalPort();
      s.append("[[pool.")
          .append(name)
          .append(".member]]\nid = \"h")
          .append(port)
          .append("\"\naddress = \"127.0.0.1:")
          .append(port)
          .append("\"\npod = \"p\"\n");
    }
    return s.toString();
  }

  /** The next head, or null at the end. */
  String readHead(InputStream in) throws IOException {
    String head = readUntil(in, "\r\n\r\n");
    if (head != null) {
      heads.add(head);
    }
    return head;
  }

  /** What comes up to and with this text, or null if the stream ends before. */
  static String readUntil(InputStream in, String end) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    byte[] last = end.getBytes(StandardCharsets.ISO_8859_1);
    int fits = 0;
    int b;
    while (fits < last.length) {
      if ((b = in.read()) < 0) {
        return null;
      }
      out.write(b);
      fits = b == last[fits] ? fits + 1 : b == last[0] ? 1 : 0;
    }
    return out.toString(StandardCharsets.ISO_8859_1);
  }

  /**
   * Reads a chunked body; adds its length to {@code count[0]} as it comes. Returns the trailers.
   */
  static String readChunkedBody(InputStream in, long[] count) throws IOException {
    while (true) {
      String line = readUntil(in, "\r\n");
      if (line == null) {
        throw new IOException("cut");
      }
      int n = Integer.parseInt(line.trim(), 16);
      if (n == 0) {
        StringBuilder trailers = new StringBuilder();
        String t;
        while ((t = readUntil(in, "\r\n")) != null && !t.equals("\r\n")) {
          trailers.append(t);
        }
        return trailers.toString();
      }
      for (long left = n; left > 0; ) {
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
      for (Socket s : open) {
        s.close();
      }
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }
}
