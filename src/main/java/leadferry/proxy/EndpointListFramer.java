package leadferry.proxy;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;
import leadferry.engine.UpstreamHosts;

/**
 * Finds the end of each endpoint list in the bytes of a response. A list takes one line, or several
 * lines if it is indented. An empty line between lists means that nothing has changed.
 */
final class EndpointListFramer {
  /** Result of reading a part of a response. */
  enum Frame {
    /** More bytes are needed. */
    INCOMPLETE,
    /** An empty line between two lists. */
    EMPTY_LINE,
    /** A complete list, which {@link #takeList()} returns. */
    LIST,
    /** An empty line within an indented list: the rest of the list is missing. */
    TRUNCATED_LIST,
    /** More than {@link #MAX_LIST_BYTES} without the end of a list. */
    TOO_LONG
  }

  private static final int MAX_LIST_BYTES = 4 << 20;
  private static final int INITIAL_BUFFER_BYTES = 4_096;

  /** Returned for a line that ends within a string; no visible byte has this value. */
  private static final byte UNTERMINATED_STRING = 0;

  private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
  private int size;

  /** Offset of the present line in the buffer; above 0 within an indented list. */
  private int lineStart;

  private int openBrackets;

  /** Reads up to and including the next line feed, or all of {@code bytes} if they contain none. */
  Frame read(ByteBuf bytes) {
    int beforeLineFeed = bytes.bytesBefore((byte) '\n');
    int length = beforeLineFeed < 0 ? bytes.readableBytes() : beforeLineFeed + 1;
    if (size + length > MAX_LIST_BYTES) {
      return Frame.TOO_LONG;
    }
    append(bytes, length);
    return beforeLineFeed < 0 ? Frame.INCOMPLETE : endLine();
  }

  /** Whether no byte of the next list has been read. */
  boolean isEmpty() {
    return size == 0;
  }

  /** Decodes the bytes read so far as one list and empties the buffer. */
  UpstreamHosts.ListUpdate takeList() throws MalformedEndpointListException {
    int length = size;
    size = 0;
    lineStart = 0;
    openBrackets = 0;
    return EndpointListDecoder.decode(buffer, length);
  }

  private void append(ByteBuf bytes, int length) {
    if (size + length > buffer.length) {
      buffer = Arrays.copyOf(buffer, Math.max(2 * buffer.length, size + length));
    }
    bytes.readBytes(buffer, size, length);
    size += length;
  }

  private Frame endLine() {
    boolean indented = lineStart > 0;
    if (isBlankLine()) {
      if (indented) {
        return Frame.TRUNCATED_LIST;
      }
      size = 0;
      return Frame.EMPTY_LINE;
    }
    if (!listContinues()) {
      return Frame.LIST;
    }
    lineStart = size;
    return Frame.INCOMPLETE;
  }

  private boolean isBlankLine() {
    for (int i = lineStart; i < size; i++) {
      if (buffer[i] > ' ' || buffer[i] < 0) {
        return false;
      }
    }
    return true;
  }

  /**
   * Whether the list continues after the present line: brackets are open, and the line does not end
   * within a value. A first line that is truncated is thus reported at once, as a malformed list.
   */
  private boolean listContinues() {
    byte last = scanLine();
    if (last == UNTERMINATED_STRING || openBrackets <= 0) {
      return false;
    }
    return lineStart > 0 || last == '{' || last == '[' || last == ',';
  }

  /** Counts the brackets of the present line outside of strings; returns its last visible byte. */
  private byte scanLine() {
    boolean inString = false;
    byte last = UNTERMINATED_STRING;
    for (int i = lineStart; i < size; i++) {
      byte current = buffer[i];
      if (inString) {
        i += current == '\\' ? 1 : 0; // an escaped quote ends no string
        inString = current != '"';
      } else {
        inString = current == '"';
        openBrackets += bracketDepth(current);
      }
      last = current > ' ' ? current : last;
    }
    return inString ? UNTERMINATED_STRING : last;
  }

  private static int bracketDepth(byte character) {
    return switch (character) {
      case '{', '[' -> 1;
      case '}', ']' -> -1;
      default -> 0;
    };
  }
}
