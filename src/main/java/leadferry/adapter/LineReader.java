package leadferry.adapter;

import java.io.IOException;
import java.io.InputStream;
import java.util.Arrays;

/**
 * Splits a stream into lines without copying them. A line is valid until the next call of {@link
 * #next}.
 */
final class LineReader {
  private final InputStream input;
  private byte[] buffer = new byte[1 << 16];
  private int position;
  private int limit;

  LineReader(InputStream input) {
    this.input = input;
  }

  /** Points {@code line} to the next line. Returns false at the end of the input. */
  boolean next(WireLine line) throws IOException {
    int scanned = position;
    while (true) {
      for (int i = scanned; i < limit; i++) {
        if (buffer[i] == '\n') {
          int start = position;
          position = i + 1;
          line.parse(buffer, start, i > start && buffer[i - 1] == '\r' ? i - 1 : i);
          return true;
        }
      }
      int pending = limit - position;
      if (position > 0) {
        System.arraycopy(buffer, position, buffer, 0, pending);
        position = 0;
        limit = pending;
      } else if (limit == buffer.length) {
        buffer = Arrays.copyOf(buffer, 2 * buffer.length);
      }
      scanned = limit;
      int count = input.read(buffer, limit, buffer.length - limit);
      if (count < 0) {
        if (limit > position) {
          throw new MalformedInputException(
              "input ends in the middle of a line (expected: a line break)");
        }
        return false;
      }
      limit += count;
    }
  }
}
