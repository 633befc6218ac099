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

/** Trees and bytes. */
public final class Json {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
          .enable(MapperFeature.SORT_PROPERTIES_ALPHABETICALLY)
          .build();

  private Json() {}

  public static ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  public static byte[] bytes(JsonNode n) {
    return text(n).getBytes(StandardCharsets.UTF_8);
  }

  /** On one line. */
  public static String text(JsonNode n) {
    try {
      return MAPPER.writeValueAsString(n);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(e);
    }
  }

  /** The object that these bytes are, or null where they are none. */
  public static ObjectNode read(byte[] bytes) {
    try {
      return MAPPER.readTree(bytes) instanceof ObjectNode o ? o : null;
    } catch (IOException e) {
      return null;
    }
  }
}
