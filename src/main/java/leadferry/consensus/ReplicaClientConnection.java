package leadferry.consensus;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Arrays;

/** A caller's connection to a replica, by {@link LineProtocol}. For one thread. */
final class ReplicaClientConnection implements AutoCloseable {
  private static final int INITIAL_BUFFER_BYTES = 4_096;
  private static final int MAX_READ_MILLIS = 60_000;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final Socket socket = new Socket();
  private final InputStream input;
  private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
  private int bufferedBytes;

  /** Connects within that time (ms). */
  ReplicaClientConnection(InetSocketAddress address, int connectTimeoutMillis) throws IOException {
    try {
      socket.connect(address, connectTimeoutMillis);
      socket.setTcpNoDelay(true);
      input = socket.getInputStream();
    } catch (IOException e) {
      socket.close();
      throw e;
    }
  }

  void send(ObjectNode message) throws IOException {
    socket.getOutputStream().write(LineProtocol.encode(message));
  }

  /**
   * The next message, or null if none has come whole by then (ns of the JVM's clock).
   *
   * @throws IOException if the connection ends, or a line is too long or no object
   */
  ObjectNode receive(long deadlineNanos) throws IOException {
    while (true) {
      int delimiter = indexOfDelimiter();
      if (delimiter >= 0) {
        return take(delimiter);
      }
      long leftMillis = (deadlineNanos - System.nanoTime()) / NANOS_PER_MILLI;
      if (leftMillis <= 0) {
        return null;
      }
      growIfFull();
      read((int) Math.min(leftMillis, MAX_READ_MILLIS));
    }
  }

  private int indexOfDelimiter() {
    for (int i = 0; i < bufferedBytes; i++) {
      if (buffer[i] == LineProtocol.DELIMITER) {
        return i;
      }
    }
    return -1;
  }

  /** Takes the line that ends there out of the buffer. */
  private ObjectNode take(int delimiter) throws IOException {
    ObjectNode message = Json.parse(Arrays.copyOf(buffer, delimiter));
    System.arraycopy(buffer, delimiter + 1, buffer, 0, bufferedBytes - delimiter - 1);
    bufferedBytes -= delimiter + 1;
    if (message == null) {
      throw new IOException("a line that is no object");
    }
    return message;
  }

  private void growIfFull() throws IOException {
    if (bufferedBytes < buffer.length) {
      return;
    }
    if (bufferedBytes >= LineProtocol.MAX_LINE_BYTES) {
      throw new IOException("a line of more than " + LineProtocol.MAX_LINE_BYTES + " bytes");
    }
    buffer = Arrays.copyOf(buffer, 2 * bufferedBytes);
  }

  private void read(int timeoutMillis) throws IOException {
    socket.setSoTimeout(timeoutMillis);
    try {
      int count = input.read(buffer, bufferedBytes, buffer.length - bufferedBytes);
      if (count < 0) {
        throw new EOFException("the replica has closed");
      }
      bufferedBytes += count;
    } catch (SocketTimeoutException e) {
      // The caller looks at the deadline.
    }
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException e) {
      // Nothing is left to be done with it.
    }
  }
}
