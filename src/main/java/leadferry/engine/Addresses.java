package leadferry.engine;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses addresses in the form that files and lists use. */
public final class Addresses {
  private Addresses() {}

  /** Parses an {@code IP:port}; returns null for any other text. Host names are not resolved. */
  public static InetSocketAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    byte[] ip =
        colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
    if (ip == null) {
      return null;
    }
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      return port < 0 || port > 65_535
          ? null
          : new InetSocketAddress(InetAddress.getByAddress(ip), port);
    } catch (NumberFormatException | UnknownHostException e) {
      return null;
    }
  }
}
