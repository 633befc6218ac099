package leadferry.testbed;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;

/**
 * What a connection has been sent and not yet taken, as plain bytes, and the few questions that the
 * quick stand-in and the load ask of a head. A full decoder would make the rig the limit of what it
 * measures; both speak to nobody but this project's own programs.
 */
final class HeadBuffer {
  /** A head that is longer ends its connection. */
  private static final int MOST = 64 * 1024;

  byte[] bytes = new byte[1_024];
  int start;
  int end;

  /** Adds what was read; false past the bound. */
  boolean append(ByteBuf read) {
    int n = read.readableBytes();
    if (end + n > bytes.length) {
      if (end - start + n > MOST) {
        return false;
      }
      byte[] next = end - start + n > bytes.length ? new byte[2 * (end - start + n)] : bytes;
      System.arraycopy(bytes, start, next, 0, end - start);
      bytes = next;
      end -= start;
      start = 0;
    }
    read.readBytes(bytes, end, n);
    end += n;
    return true;
  }

  /** The place behind the empty line of the head that begins at {@link #start}, or -1. */
  int headEnd() {
    for (int i = start + 3; i < end; i++) {
      if (bytes[i] == '\n'
          && bytes[i - 1] == '\r'
          && bytes[i - 2] == '\n'
          && bytes[i - 3] == '\r') {
        return i + 1;
      }
    }
    return -1;
  }

  /** Where the line behind the one at this place begins. */
  int nextLineStart(int at) {
    int i = at;
    while (bytes[i] != '\n') {
      i++;
    }
    return i + 1;
  }

  /**
   * Where the value of the line at this place begins if its name is this one, in lower case; or -1.
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
    int at = line + name.length + 1;
    while (bytes[at] == ' ') {
      at++;
    }
    return at;
  }

  /** Where the line that this place is in ends, without its CR LF. */
  int lineEnd(int at) {
    int i = at;
    while (bytes[i] != '\r') {
      i++;
    }
    return i;
  }

  /** The number that stands at this place. */
  long parseNumber(int at, int radix) {
    long n = 0;
    int digit;
    for (int i = at; i < end && (digit = Character.digit(bytes[i], radix)) >= 0; i++) {
      n = n * radix + digit;
    }
    return n;
  }

  boolean matches(int at, int end, byte[] text) {
    return Arrays.equals(bytes, at, end, text, 0, text.length);
  }
}
