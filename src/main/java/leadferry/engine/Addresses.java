package leadferry.engine;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Addresses as files and lists write them. */
public final class Addresses {
  private Addresses() {}

  /** An {@code IP:port}, or null if it is none; names are not looked up. */
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
