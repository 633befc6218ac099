package leadferry.proxy;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Reads the messages of one warm-up connection, one at a time and at minimal cost: its own work
 * takes time from the code that is warmed up, and the class is not used afterwards. Bodies have a
 * fixed length or are absent.
 */
final class WarmUpMessageReader {
  /** Kind of the request that was read. */
  enum RequestKind {
    /** The connection has ended. */
    END,
    TO_DISCOVERY,
    TO_UPSTREAM
  }

  static final int BODY_BYTES = 1_000;

  private static final int BUFFER_BYTES = 4_096;
  private static final byte[] DISCOVERY_REQUEST =
      "GET /catalog/members".getBytes(StandardCharsets.ISO_8859_1);

  private final InputStream input;
  private final byte[] buffer = new byte[BUFFER_BYTES];
  private int size;

  WarmUpMessageReader(InputStream input) {
    this.input = input;
  }

  /** Reads a response, which has a body; returns false if the connection has ended. */
  boolean readResponse() throws IOException {
    int headBytes = readHead();
    if (headBytes < 0) {
      return false;
    }
    skipBody(headBytes + BODY_BYTES);
    return true;
  }

  /** Reads a request and returns its kind; a GET request has no body. */
  RequestKind readRequest() throws IOException {
    int headBytes = readHead();
    if (headBytes < 0) {
      return RequestKind.END;
    }
    boolean hasBody = buffer[0] != 'G';
    int length = DISCOVERY_REQUEST.length;
    boolean toDiscovery = Arrays.equals(buffer, 0, length, DISCOVERY_REQUEST, 0, length);
    skipBody(headBytes + (hasBody ? BODY_BYTES : 0));
    return toDiscovery ? RequestKind.TO_DISCOVERY : RequestKind.TO_UPSTREAM;
  }

  /** Reads at least the head; returns its length in bytes, or -1 at the end of the stream. */
  private int readHead() throws IOException {
    int from = 0;
    while (size < buffer.length) {
      int count = input.read(buffer, size, buffer.length - size);
      if (count < 0) {
        return -1;
      }
      size += count;
      for (; from + 3 < size; from++) {
        if (buffer[from] == '\r' && buffer[from + 2] == '\r') {
          return from + 4;
        }
      }
    }
    return -1;
  }

  private void skipBody(int messageBytes) throws IOException {
    if (messageBytes > size) {
      input.skipNBytes(messageBytes - size);
    }
    size = 0; // The peer sends one message at a time: no byte of the next one has been read.
  }
}
