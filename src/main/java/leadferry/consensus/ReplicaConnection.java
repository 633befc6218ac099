package leadferry.consensus;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Arrays;

/** A connection to a keeper: an object a line, in UTF-8, each way. For one thread. */
final class ReplicaConnection implements AutoCloseable {
  /** A longer line ends the connection (bytes). */
  static final int MOST_BYTES = 4 << 20;

  private final Socket socket = new Socket();
  private final InputStream in;
  private byte[] held = new byte[4_096];
  private int length;

  /** Connects within that time (ms). */
  ReplicaConnection(InetSocketAddress to, int connectMs) throws IOException {
    try {
      socket.connect(to, connectMs);
      socket.setTcpNoDelay(true);
      in = socket.getInputStream();
    } catch (IOException e) {
      socket.close();
      throw e;
    }
  }

  void send(ObjectNode message) throws IOException {
    byte[] bytes = Json.bytes(message);
    byte[] line = Arrays.copyOf(bytes, bytes.length + 1);
    line[bytes.length] = '\n';
    socket.getOutputStream().write(line);
  }

  /** The next object, or null if none has come whole by then (ns of the JVM's clock). */
  ObjectNode receive(long until) throws IOException {
    while (true) {
      for (int i = 0; i < length; i++) {
        if (held[i] == '\n') {
          ObjectNode o = Json.read(Arrays.copyOf(held, i));
          System.arraycopy(held, i + 1, held, 0, length - i - 1);
          length -= i + 1;
          if (o == null) {
            throw new IOException("a line that is no object");
          }
          return o;
        }
      }
      long left = (until - System.nanoTime()) / 1_000_000;
      if (left <= 0) {
        return null;
      }
      if (length == held.length) {
        if (length >= MOST_BYTES) {
          throw new IOException("a line of more than " + MOST_BYTES + " bytes");
        }
        held = Arrays.copyOf(held, 2 * length);
      }
      socket.setSoTimeout((int) Math.min(left, 60_000));
      try {
        int n = in.read(held, length, held.length - length);
        if (n < 0) {
          throw new EOFException("the keeper has closed");
        }
        length += n;
      } catch (SocketTimeoutException e) {
        // looked at again above
      }
    }
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException e) {
      // nothing is left to be done with it
    }
  }
}
