import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** Reads HTTP/1.1 messages for the stand-ins. */
final class Http {
  /** A message; {@code body} is whole. */
  record Message(String head, byte[] body, long firstByteNanos, long lastByteNanos) {
    int status() {
      return Integer.parseInt(head.split(" ", 3)[1]);
    }

    String path() {
      return head.split(" ", 3)[1];
    }

    String header(String name) {
      for (String line : head.split("\r\n")) {
        int colon = line.indexOf(':');
        if (colon > 0 && line.substring(0, colon).equalsIgnoreCase(name)) {
          return line.substring(colon + 1).trim();
        }
      }
      return null;
    }
  }

  private Http() {}

  /** Reads one message; returns null at an end of the stream between two messages. */
  static Message read(InputStream in) throws IOException {
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    long first = 0;
    int matched = 0;
    while (matched < 4) {
      int octet = in.read();
      if (octet < 0) {
        if (head.size() == 0) {
          return null;
        }
        throw new EOFException("end within a head");
      }
      if (first == 0) {
        first = System.nanoTime();
      }
      head.write(octet);
      matched = octet == "\r\n\r\n".charAt(matched) ? matched + 1 : octet == '\r' ? 1 : 0;
    }
    String text = head.toString(StandardCharsets.ISO_8859_1);
    Message plain = new Message(text, new byte[0], first, 0);
    String length = plain.header("Content-Length");
    byte[] body = new byte[0];
    if (length != null) {
      body = in.readNBytes(Integer.parseInt(length));
      if (body.length < Integer.parseInt(length)) {
        throw new EOFException("end within a body");
      }
    } else if ("chunked".equalsIgnoreCase(plain.header("Transfer-Encoding"))) {
      body = readChunks(in);
    }
    return new Message(text, body, first, System.nanoTime());
  }

  private static byte[] readChunks(InputStream in) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    while (true) {
      int size = Integer.parseInt(line(in).trim(), 16);
      if (size == 0) {
        while (!line(in).isEmpty()) {
          // trailers
        }
        return body.toByteArray();
      }
      body.write(in.readNBytes(size));
      line(in);
    }
  }

  private static String line(InputStream in) throws IOException {
    StringBuilder text = new StringBuilder();
    int octet;
    while ((octet = in.read()) != '\n') {
      if (octet < 0) {
        throw new EOFException("end within a chunk");
      }
      if (octet != '\r') {
        text.append((char) octet);
      }
    }
    return text.toString();
  }
}
