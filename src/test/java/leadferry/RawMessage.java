package leadferry;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** Reads one HTTP/1.1 message as raw bytes, with a body framed by a length or by chunks. */
public final class RawMessage {
  private static final String CONTENT_LENGTH = "\ncontent-length:";

  private RawMessage() {}

  /** Returns the next message, or the part that was received before the stream ended. */
  public static String read(InputStream input) throws IOException {
    String head = readUntil(input, "\r\n\r\n");
    String lowerCase = head.toLowerCase(Locale.ROOT);
    if (lowerCase.contains("\ntransfer-encoding: chunked")) {
      return head + readChunks(input);
    }
    int lengthStart = lowerCase.indexOf(CONTENT_LENGTH);
    if (lengthStart < 0) {
      return head;
    }
    String value =
        lowerCase.substring(lengthStart + CONTENT_LENGTH.length(), head.indexOf('\r', lengthStart));
    int bytes = Integer.parseInt(value.trim());
    return head + new String(input.readNBytes(bytes), StandardCharsets.ISO_8859_1);
  }

  /**
   * Returns the chunks joined, because the division of a body into chunks is arbitrary and differs
   * from run to run.
   */
  private static String readChunks(InputStream input) throws IOException {
    StringBuilder body = new StringBuilder("[chunked] ");
    while (true) {
      String size = readUntil(input, "\r\n");
      if (size.isEmpty()) {
        return body + "[cut]";
      }
      int bytes = Integer.parseInt(size.trim(), 16);
      if (bytes == 0) {
        return body + "[end]\r\n" + readTrailers(input);
      }
      body.append(new String(input.readNBytes(bytes), StandardCharsets.ISO_8859_1));
      readUntil(input, "\r\n");
    }
  }

  private static String readTrailers(InputStream input) throws IOException {
    StringBuilder trailers = new StringBuilder();
    String line;
    do {
      line = readUntil(input, "\r\n");
      trailers.append(line);
    } while (!line.equals("\r\n") && !line.isEmpty());
    return trailers.toString();
  }

  private static String readUntil(InputStream input, String end) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    int next;
    while (!bytes.toString(StandardCharsets.ISO_8859_1).endsWith(end)
        && (next = input.read()) >= 0) {
      bytes.write(next);
    }
    return bytes.toString(StandardCharsets.ISO_8859_1);
  }
}
