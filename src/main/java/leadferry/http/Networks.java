package leadferry.http;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;

/**
 * Set of IP networks such as {@code 10.0.0.0/8}, {@code fd00::/8} or a single address (RFC 4632,
 * RFC 4291).
 */
public final class Networks {
  private record Network(byte[] address, int bits) {
    boolean contains(byte[] other) {
      if (other.length != address.length) {
        return false;
      }
      for (int bit = 0; bit < bits; bit += 8) {
        int mask = bits - bit >= 8 ? 0xff : 0xff << (8 - (bits - bit)) & 0xff;
        if (((address[bit / 8] ^ other[bit / 8]) & mask) != 0) {
          return false;
        }
      }
      return true;
    }
  }

  private final List<Network> networks = new ArrayList<>();

  /**
   * Parses the networks.
   *
   * @throws IllegalArgumentException if a text is invalid, see {@link #isInvalid}
   */
  public Networks(List<String> texts) {
    for (String text : texts) {
      Network network = parse(text);
      if (network == null) {
        throw new IllegalArgumentException("network: " + text + " (expected: address/bits)");
      }
      networks.add(network);
    }
  }

  /** Whether the text is not a valid network. */
  public static boolean isInvalid(String text) {
    return parse(text) == null;
  }

  private static Network parse(String text) {
    int slash = text.indexOf('/');
    byte[] address =
        NetUtil.createByteArrayFromIpAddressString(slash < 0 ? text : text.substring(0, slash));
    if (address == null) {
      return null;
    }
    int maxBits = address.length * 8;
    double bits = slash < 0 ? maxBits : Framing.parseWholeNumber(text.substring(slash + 1));
    return bits >= 0 && bits <= maxBits ? new Network(address, (int) bits) : null;
  }

  /** Whether any network of the set contains the address. */
  public boolean contains(InetAddress address) {
    byte[] bytes = address.getAddress();
    for (int i = 0; i < networks.size(); i++) {
      if (networks.get(i).contains(bytes)) {
        return true;
      }
    }
    return false;
  }

  /** Parses an IP address; returns null if the text is none. Host names are not resolved. */
  static InetAddress parseAddress(String text) {
    byte[] bytes = NetUtil.createByteArrayFromIpAddressString(text);
    try {
      return bytes == null ? null : InetAddress.getByAddress(bytes);
    } catch (UnknownHostException e) {
      return null;
    }
  }
}
