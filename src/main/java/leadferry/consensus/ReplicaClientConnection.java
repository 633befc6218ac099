package leadferry.consensus;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Arrays;

/** A caller's connection to a replica, which speaks {@link LineProtocol}. For use by one thread. */
final class ReplicaClientConnection implements AutoCloseable {
  private static final int INITIAL_BUFFER_BYTES = 4_096;
  private static final int MAX_READ_MILLIS = 60_000;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final Socket socket = new Socket();
  private final InputStream input;
  private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
  private int bufferedBytes;

  /** Connects within {@code connectTimeoutMillis}. */
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
   * Returns the next message, or null if none has arrived completely by {@code deadlineNanos}, a
   * value of {@link System#nanoTime}.
   *
   * @throws IOException if the connection ends, or a line is too long or not an object
   */
  ObjectNode receive(long deadlineNanos) throws IOException {
    while (true) {
      int delimiter = indexOfDelimiter();
      if (delimiter >= 0) {
        return takeMessage(delimiter);
      }
      long remainingMillis = (deadlineNanos - System.nanoTime()) / NANOS_PER_MILLI;
      if (remainingMillis <= 0) {
        return null;
      }
      growBufferIfFull();
      fillBuffer((int) Math.min(remainingMillis, MAX_READ_MILLIS));
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

  /** Removes the line that ends at index {@code delimiter} from the buffer and parses it. */
  private ObjectNode takeMessage(int delimiter) throws IOException {
    ObjectNode message = Json.parse(Arrays.copyOf(buffer, delimiter));
    System.arraycopy(buffer, delimiter + 1, buffer, 0, bufferedBytes - delimiter - 1);
    bufferedBytes -= delimiter + 1;
    if (message == null) {
      throw new IOException("line: not valid (expected: a JSON object)");
    }
    return message;
  }

  private void growBufferIfFull() throws IOException {
    if (bufferedBytes < buffer.length) {
      return;
    }
    if (bufferedBytes >= LineProtocol.MAX_LINE_BYTES) {
      throw new IOException(
          "line: too long (expected: at most " + LineProtocol.MAX_LINE_BYTES + " bytes)");
    }
    buffer = Arrays.copyOf(buffer, 2 * bufferedBytes);
  }

  private void fillBuffer(int timeoutMillis) throws IOException {
    socket.setSoTimeout(timeoutMillis);
    try {
      int count = input.read(buffer, bufferedBytes, buffer.length - bufferedBytes);
      if (count < 0) {
        throw new EOFException("connection closed by the replica");
      }
      bufferedBytes += count;
    } catch (SocketTimeoutException e) {
      // The caller checks the deadline.
    }
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException e) {
      // The socket is not used any more.
    }
  }
}
