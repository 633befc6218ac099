package leadferry.proxy;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import leadferry.engine.Addresses;
import leadferry.engine.UpstreamHosts;
import leadferry.loadbalancer.EndpointUpdate;

/**
 * Validates and decodes endpoint lists. No other class knows the field names of discovery's JSON. A
 * list is either accepted as a whole or rejected.
 */
final class EndpointListDecoder {
  private static final String VERSION = "version";
  private static final String FULL = "full";
  private static final String SERVERS = "servers";
  private static final String ID = "id";
  private static final String ADDRESS = "addr";
  private static final String ZONE = "zone";
  private static final String KIND = "kind";
  private static final String CELL = "cell";
  private static final String STATE = "state";
  private static final String STATE_UP = "up";
  private static final String STATE_REMOVED = "removed";
  private static final String WEIGHT = "weight";
  private static final String STARTED_MILLIS = "started_ms";

  private static final double DEFAULT_WEIGHT = 1;

  private static final ObjectMapper JSON = new ObjectMapper();

  private EndpointListDecoder() {}

  /** Decodes the first {@code length} bytes of {@code text}. */
  static UpstreamHosts.ListUpdate decode(byte[] text, int length)
      throws MalformedEndpointListException {
    try {
      return decode(JSON.readTree(text, 0, length));
    } catch (JsonProcessingException e) {
      throw new MalformedEndpointListException(e.getOriginalMessage());
    } catch (IOException e) {
      throw new MalformedEndpointListException(e.getMessage());
    }
  }

  /** Decodes a parsed list. */
  static UpstreamHosts.ListUpdate decode(JsonNode list) throws MalformedEndpointListException {
    JsonNode servers = list.path(SERVERS);
    if (!list.isObject() || !servers.isArray() || !list.path(VERSION).canConvertToLong()) {
      throw new MalformedEndpointListException("not a list with version and servers");
    }
    List<UpstreamHosts.Member> members = new ArrayList<>(servers.size());
    Set<String> names = new HashSet<>();
    for (JsonNode server : servers) {
      UpstreamHosts.Member member = decodeMember(server);
      if (!names.add(member.name())) {
        // Nothing shows which of the two entries is the current one.
        throw new MalformedEndpointListException("an id twice in one list");
      }
      members.add(member);
    }
    return new UpstreamHosts.ListUpdate(
        list.path(VERSION).asLong(), list.path(FULL).asBoolean(), members);
  }

  private static UpstreamHosts.Member decodeMember(JsonNode server)
      throws MalformedEndpointListException {
    String name = server.path(ID).asText("");
    InetSocketAddress address = Addresses.parse(server.path(ADDRESS).asText(""));
    EndpointUpdate.Condition condition = condition(server.path(STATE).asText(""));
    boolean addressMissing = address == null && condition == EndpointUpdate.Condition.READY;
    if (name.isEmpty() || addressMissing) {
      throw new MalformedEndpointListException("an entry without id or address");
    }
    return new UpstreamHosts.Member(
        name,
        address,
        server.path(ZONE).asText(""),
        server.path(KIND).asText(""),
        server.path(CELL).asLong(0),
        condition,
        server.path(WEIGHT).asDouble(DEFAULT_WEIGHT),
        server.path(STARTED_MILLIS).asDouble(0));
  }

  private static EndpointUpdate.Condition condition(String state) {
    return switch (state) {
      case STATE_UP -> EndpointUpdate.Condition.READY;
      case STATE_REMOVED -> EndpointUpdate.Condition.GONE;
      // An endpoint in an unknown state gets no new requests.
      default -> EndpointUpdate.Condition.TERMINATING;
    };
  }
}
