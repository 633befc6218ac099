package leadferry.consensus;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.zip.CRC32C;

/** JSON trees as bytes, text and digests; keys keep the order in which they were put. */
public final class Json {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
          .enable(MapperFeature.SORT_PROPERTIES_ALPHABETICALLY)
          .build();

  private Json() {}

  /** An empty object. */
  public static ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  /** On one line, in UTF-8. */
  public static byte[] bytes(JsonNode node) {
    return text(node).getBytes(StandardCharsets.UTF_8);
  }

  /** On one line. */
  public static String text(JsonNode node) {
    try {
      return MAPPER.writeValueAsString(node);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(e);
    }
  }

  /** The CRC-32C of {@link #bytes}, as sixteen hexadecimal digits. */
  static String digest(JsonNode node) {
    CRC32C checksum = new CRC32C();
    checksum.update(bytes(node));
    return HexFormat.of().toHexDigits(checksum.getValue());
  }

  /** The object that these bytes are, or null where they are none. */
  public static ObjectNode parse(byte[] bytes) {
    try {
      return MAPPER.readTree(bytes) instanceof ObjectNode object ? object : null;
    } catch (IOException e) {
      return null;
    }
  }
}
