package leadferry.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;
import java.net.Inet6Address;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Determines the client address of a request and sets the headers that report it to upstream hosts:
 * {@code Forwarded} (RFC 7239), {@code X-Forwarded-*}, {@code X-Real-IP} and {@code Via} (RFC 9110,
 * 7.6.3).
 *
 * <p>Guards limits and upstream hosts against forged addresses: an address in these headers counts
 * only if a trusted network sent it. The client is the last address of the chain, read from the
 * right, that is not in a trusted network, because each hop appends its peer on the right.
 *
 * <pre>
 *   Forwarded: for=made-up, for=203.0.113.7, for=10.0.0.5     from 10.0.0.9, trusted 10.0.0.0/8
 *                                ^ the client
 * </pre>
 */
public final class Forwarding {
  /** Handling of the forwarding headers. */
  public enum Mode {
    /**
     * The peer's address is appended to the headers of a trusted peer; headers of any other peer
     * are removed first.
     */
    APPEND,
    /** The headers are replaced with the client address only. */
    REPLACE,
    /** The headers are neither read nor changed. */
    OFF
  }

  private static final AsciiString FORWARDED = AsciiString.cached("forwarded");
  private static final AsciiString FORWARDED_FOR = AsciiString.cached("x-forwarded-for");
  private static final AsciiString FORWARDED_HOST = AsciiString.cached("x-forwarded-host");
  private static final AsciiString FORWARDED_PROTO = AsciiString.cached("x-forwarded-proto");

  private static final AsciiString[] FORWARDING_HEADERS = {
    FORWARDED,
    FORWARDED_FOR,
    FORWARDED_HOST,
    FORWARDED_PROTO,
    AsciiString.cached("x-forwarded-port"),
    AsciiString.cached("x-forwarded-prefix"),
    AsciiString.cached("x-forwarded-server"),
    AsciiString.cached("x-real-ip")
  };

  private static final String VIA = "1.1 leadferry";

  private final Mode mode;
  private final Networks trusted;

  /**
   * Creates a handler of the forwarding headers for this mode.
   *
   * @param trusted networks of proxies whose headers are trusted
   */
  public Forwarding(Mode mode, Networks trusted) {
    this.mode = mode;
    this.trusted = trusted;
  }

  /** Returns the client address of a request that was received from {@code peer}. */
  public InetAddress clientAddress(HttpHeaders headers, InetAddress peer) {
    if (mode == Mode.OFF || !trusted.contains(peer)) {
      return peer;
    }
    List<String> chain =
        headers.contains(FORWARDED) ? forwardedFor(headers) : listElements(headers, FORWARDED_FOR);
    InetAddress client = peer;
    for (int i = chain.size() - 1; i >= 0; i--) {
      InetAddress hop = parseNode(chain.get(i));
      if (hop == null) {
        break; // hidden or unknown: addresses to the left of it can't be trusted
      }
      client = hop;
      if (!trusted.contains(hop)) {
        break;
      }
    }
    return client;
  }

  /** Sets the forwarding headers of a request for the upstream host. */
  public void writeHeaders(HttpHeaders headers, InetAddress peer, InetAddress client) {
    if (mode == Mode.OFF) {
      return;
    }
    boolean keepsExisting = mode == Mode.APPEND && trusted.contains(peer);
    if (!keepsExisting) {
      for (AsciiString name : FORWARDING_HEADERS) {
        headers.remove(name);
      }
    }
    InetAddress forwardedFor = mode == Mode.APPEND ? peer : client;
    String host = headers.get(HttpHeaderNames.HOST, "");
    String address = forwardedFor.getHostAddress();
    String element =
        "for="
            + (forwardedFor instanceof Inet6Address ? "\"[" + address + "]\"" : address)
            + (host.isEmpty() ? "" : ";host=\"" + host + "\"")
            + ";proto=http";
    append(headers, FORWARDED, element);
    append(headers, FORWARDED_FOR, address);
    if (!host.isEmpty() && !headers.contains(FORWARDED_HOST)) {
      headers.add(FORWARDED_HOST, host);
    }
    if (!headers.contains(FORWARDED_PROTO)) {
      headers.add(FORWARDED_PROTO, "http");
    }
    append(headers, HttpHeaderNames.VIA, VIA);
  }

  private static void append(HttpHeaders headers, CharSequence name, String value) {
    if (headers.contains(name)) {
      headers.set(name, String.join(", ", headers.getAll(name)) + ", " + value);
    } else {
      headers.add(name, value);
    }
  }

  private static List<String> listElements(HttpHeaders headers, CharSequence name) {
    List<String> elements = new ArrayList<>();
    for (String line : headers.getAll(name)) {
      for (String element : line.split(",")) {
        elements.add(element.strip());
      }
    }
    return elements;
  }

  /**
   * Returns the {@code for} parameter of each element, or an empty text if it has none (RFC 7239,
   * 4).
   */
  private static List<String> forwardedFor(HttpHeaders headers) {
    List<String> nodes = new ArrayList<>();
    for (String line : headers.getAll(FORWARDED)) {
      boolean quoted = false;
      int pairStart = 0;
      String node = "";
      for (int i = 0; i <= line.length(); i++) {
        char character = i == line.length() ? ',' : line.charAt(i);
        if (character == '"') {
          quoted = !quoted;
        }
        if (i < line.length() && (quoted || (character != ',' && character != ';'))) {
          continue;
        }
        String pair = line.substring(pairStart, i).strip();
        pairStart = i + 1;
        if (pair.toLowerCase(Locale.ROOT).startsWith("for=")) {
          node = pair.substring(4).replace("\"", "");
        }
        if (character == ',') {
          nodes.add(node);
          node = "";
        }
      }
    }
    return nodes;
  }

  /**
   * Parses a node identifier: an address with or without a port, IPv6 with or without brackets.
   * Returns null for any other node name.
   */
  private static InetAddress parseNode(String identifier) {
    String address = identifier;
    if (address.startsWith("[")) {
      int end = address.indexOf(']');
      address = end < 0 ? "" : address.substring(1, end);
    } else if (address.indexOf(':') >= 0 && address.indexOf(':') == address.lastIndexOf(':')) {
      address = address.substring(0, address.indexOf(':'));
    }
    return Networks.parseAddress(address);
  }
}
