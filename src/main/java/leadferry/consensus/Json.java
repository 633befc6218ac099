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

/** Converts JSON trees to and from bytes, text and digests. Keys keep their insertion order. */
public final class Json {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
          .enable(MapperFeature.SORT_PROPERTIES_ALPHABETICALLY)
          .build();

  private Json() {}

  /** Returns a new empty object. */
  public static ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  /** Returns the tree as one line of JSON in UTF-8. */
  public static byte[] bytes(JsonNode node) {
    return text(node).getBytes(StandardCharsets.UTF_8);
  }

  /** Returns the tree as one line of JSON. */
  public static String text(JsonNode node) {
    try {
      return MAPPER.writeValueAsString(node);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(e);
    }
  }

  /** Returns the CRC-32C of {@link #bytes} as sixteen hexadecimal digits. */
  static String digest(JsonNode node) {
    CRC32C checksum = new CRC32C();
    checksum.update(bytes(node));
    return HexFormat.of().toHexDigits(checksum.getValue());
  }

  /** Parses a JSON object; returns null if the bytes are not valid JSON or not an object. */
  public static ObjectNode parse(byte[] bytes) {
    try {
      return MAPPER.readTree(bytes) instanceof ObjectNode object ? object : null;
    } catch (IOException e) {
      return null;
    }
  }
}
