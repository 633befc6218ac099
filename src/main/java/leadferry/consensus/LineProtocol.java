package leadferry.consensus;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Arrays;

/** The framing of messages between replicas and their callers: one JSON object a line, in UTF-8. */
final class LineProtocol {
  /** Maximum length of a line; a longer line closes the connection. */
  static final int MAX_LINE_BYTES = 4 << 20;

  static final byte DELIMITER = '\n';

  private LineProtocol() {}

  /** Returns the message as a line with its delimiter. */
  static byte[] encode(ObjectNode message) {
    byte[] bytes = Json.bytes(message);
    byte[] line = Arrays.copyOf(bytes, bytes.length + 1);
    line[bytes.length] = DELIMITER;
    return line;
  }
}
