package leadferry.proxy;

import java.net.InetSocketAddress;
import java.util.Map;

/**
 * Addresses of the datagrams between client proxies.
 *
 * @param listen address of this proxy
 * @param broadcast address that reaches every client proxy of the tier
 * @param indexByAddress indexes of the other proxies, by the address from which they send
 */
record PeerAddresses(
    InetSocketAddress listen,
    InetSocketAddress broadcast,
    Map<InetSocketAddress, Integer> indexByAddress) {}
