package leadferry.soak;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** An HTTP/1.1 message with a body of a stated length, read byte by byte as far as it comes. */
final class HttpMessage {
  private static final int MAX_HEAD = 64 * 1024;

  private final String head;
  private final String body;

  private HttpMessage(String head, String body) {
    this.head = head;
    this.body = body;
  }

  /** Thrown where the stream ends within a message. */
  static final class TruncatedException extends IOException {
    private static final long serialVersionUID = 1;

    TruncatedException(String what) {
      super(what);
    }
  }

  /**
   * The next message, or null where the stream ended before its first byte.
   *
   * @param onFirstByte is run when that byte has been read
   * @throws TruncatedException if the stream ended, was reset or timed out after the first byte
   */
  static HttpMessage read(InputStream in, Runnable onFirstByte) throws IOException {
    StringBuilder head = new StringBuilder();
    int first = in.read();
    if (first < 0) {
      return null;
    }
    onFirstByte.run();
    head.append((char) first);
    try {
      while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
        int next = in.read();
        if (next < 0 || head.length() > MAX_HEAD) {
          throw new TruncatedException("the head does not end");
        }
        head.append((char) next);
      }
      String text = head.toString();
      String length = header(text, "content-length");
      int expected = length == null ? 0 : Integer.parseInt(length);
      byte[] body = in.readNBytes(expected);
      if (body.length < expected) {
        throw new TruncatedException("the body does not end");
      }
      return new HttpMessage(text, new String(body, StandardCharsets.ISO_8859_1));
    } catch (TruncatedException e) {
      throw e;
    } catch (IOException e) {
      throw new TruncatedException(e.getMessage());
    }
  }

  String head() {
    return head;
  }

  String body() {
    return body;
  }

  int status() {
    return Integer.parseInt(head.split(" ", 3)[1].trim());
  }

  /** The header's value, or null. */
  String header(String name) {
    return header(head, name);
  }

  boolean hasConnectionClose() {
    return "close".equalsIgnoreCase(header("connection"));
  }

  private static String header(String head, String name) {
    for (String line : head.split("\r\n")) {
      int colon = line.indexOf(':');
      if (colon > 0 && line.substring(0, colon).toLowerCase(Locale.ROOT).equals(name)) {
        return line.substring(colon + 1).trim();
      }
    }
    return null;
  }
}
