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
 * Who called, and what hosts are told of it: {@code Forwarded} (RFC 7239), the {@code
 * X-Forwarded-*} headers, {@code X-Real-IP} and {@code Via} (RFC 9110, 7.6.3).
 *
 * <p>Guards limits and hosts against a caller that makes up an address: what a caller says of
 * others is believed only where it comes from a trusted network. The caller is the last address of
 * the chain that is not in one, read from the right, as each hop appends there.
 *
 * <pre>
 *   Forwarded: for=made-up, for=203.0.113.7, for=10.0.0.5     from 10.0.0.9, trusted 10.0.0.0/8
 *                                ^ the caller
 * </pre>
 */
public final class Forwarding {
  /** What becomes of the headers. */
  public enum Mode {
    /** The hop before this one is added to what a trusted one has told. */
    APPEND,
    /** Only the caller is told, whoever told what before. */
    REPLACE,
    /** Nothing is read, added or removed. */
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

  /** Tells hosts of clients in this mode; {@code trusted} are hops whose headers are believed. */
  public Forwarding(Mode mode, Networks trusted) {
    this.mode = mode;
    this.trusted = trusted;
  }

  /** The caller of a request that came from {@code peer}. */
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
        break; // hidden or unknown: what stands left of it can't be vouched for
      }
      client = hop;
      if (!trusted.contains(hop)) {
        break;
      }
    }
    return client;
  }

  /** Writes what the host is to know into the request's headers. */
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
    List<String> out = new ArrayList<>();
    for (String line : headers.getAll(name)) {
      for (String element : line.split(",")) {
        out.add(element.strip());
      }
    }
    return out;
  }

  /** The {@code for} of each element, an empty text where it has none (RFC 7239, 4). */
  private static List<String> forwardedFor(HttpHeaders headers) {
    List<String> out = new ArrayList<>();
    for (String line : headers.getAll(FORWARDED)) {
      boolean quoted = false;
      int from = 0;
      String node = "";
      for (int i = 0; i <= line.length(); i++) {
        char character = i == line.length() ? ',' : line.charAt(i);
        if (character == '"') {
          quoted = !quoted;
        }
        if (i < line.length() && (quoted || (character != ',' && character != ';'))) {
          continue;
        }
        String pair = line.substring(from, i).strip();
        from = i + 1;
        if (pair.toLowerCase(Locale.ROOT).startsWith("for=")) {
          node = pair.substring(4).replace("\"", "");
        }
        if (character == ',') {
          out.add(node);
          node = "";
        }
      }
    }
    return out;
  }

  /**
   * An address with a port or none, IPv6 in brackets or plain; null for any other name of a node.
   */
  private static InetAddress parseNode(String text) {
    String address = text;
    if (address.startsWith("[")) {
      int end = address.indexOf(']');
      address = end < 0 ? "" : address.substring(1, end);
    } else if (address.indexOf(':') >= 0 && address.indexOf(':') == address.lastIndexOf(':')) {
      address = address.substring(0, address.indexOf(':'));
    }
    return Networks.parseAddress(address);
  }
}
