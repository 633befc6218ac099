package leadferry.proxy;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Reads the messages of one connection of the warm-up, one at a time, as cheaply as can be: what is
 * spent here is taken from the code that is warmed, and this class is never needed again. Bodies
 * are of one length or none.
 */
final class WarmUpMessageReader {
  /** What kind of request has been read. */
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

  /** Reads a response, which has a body; false where the connection has ended. */
  boolean readResponse() throws IOException {
    int headBytes = readHead();
    if (headBytes < 0) {
      return false;
    }
    skipBody(headBytes + BODY_BYTES);
    return true;
  }

  /** Reads a request; a GET has no body. */
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

  /** Reads at least up to the empty line; returns the bytes of the head, or -1 at an end. */
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
    size = 0; // one message at a time: nothing comes behind
  }
}
