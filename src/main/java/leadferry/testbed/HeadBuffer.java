package leadferry.testbed;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;

/**
 * Buffers the bytes received on a connection and finds the few header fields that {@link
 * MinimalFakeUpstream} and {@link LoadConnection} need. A full HTTP decoder would limit the
 * throughput that the benchmarks measure. Both communicate only with programs of this project.
 */
final class HeadBuffer {
  /** Maximum length of a head in bytes; a longer one closes the connection. */
  private static final int MAX_HEAD_BYTES = 64 * 1024;

  byte[] bytes = new byte[1_024];

  /** Index of the first byte that is not consumed yet. */
  int start;

  /** Index after the last received byte. */
  int end;

  /**
   * Appends the readable bytes of {@code read}. Returns false if the buffer would exceed its
   * maximum.
   */
  boolean append(ByteBuf read) {
    int length = read.readableBytes();
    if (end + length > bytes.length) {
      if (end - start + length > MAX_HEAD_BYTES) {
        return false;
      }
      byte[] target =
          end - start + length > bytes.length ? new byte[2 * (end - start + length)] : bytes;
      System.arraycopy(bytes, start, target, 0, end - start);
      bytes = target;
      end -= start;
      start = 0;
    }
    read.readBytes(bytes, end, length);
    end += length;
    return true;
  }

  /**
   * Returns the index after the empty line of the head that begins at {@link #start}, or -1 if the
   * head is incomplete.
   */
  int headEnd() {
    for (int index = start + 3; index < end; index++) {
      if (bytes[index] == '\n'
          && bytes[index - 1] == '\r'
          && bytes[index - 2] == '\n'
          && bytes[index - 3] == '\r') {
        return index + 1;
      }
    }
    return -1;
  }

  /** Returns the start of the line after the one that contains index {@code position}. */
  int nextLineStart(int position) {
    int index = position;
    while (bytes[index] != '\n') {
      index++;
    }
    return index + 1;
  }

  /**
   * Returns the start of the value of the header line at {@code line} if its name is {@code name}
   * (lower case), or -1 otherwise.
   */
  int headerValueStart(int line, byte[] name) {
    for (int i = 0; i < name.length; i++) {
      if ((bytes[line + i] | 0x20) != name[i]) {
        return -1;
      }
    }
    if (bytes[line + name.length] != ':') {
      return -1;
    }
    int valueStart = line + name.length + 1;
    while (bytes[valueStart] == ' ') {
      valueStart++;
    }
    return valueStart;
  }

  /** Returns the end of the line that contains index {@code position}, without its CR LF. */
  int lineEnd(int position) {
    int index = position;
    while (bytes[index] != '\r') {
      index++;
    }
    return index;
  }

  /** Parses the digits at index {@code position}. Returns 0 if there are none. */
  long parseNumber(int position, int radix) {
    long number = 0;
    int digit;
    for (int i = position; i < end && (digit = Character.digit(bytes[i], radix)) >= 0; i++) {
      number = number * radix + digit;
    }
    return number;
  }

  /** Returns whether the bytes from {@code from} to {@code to} (exclusive) equal {@code text}. */
  boolean matches(int from, int to, byte[] text) {
    return Arrays.equals(bytes, from, to, text, 0, text.length);
  }
}
