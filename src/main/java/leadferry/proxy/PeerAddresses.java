package leadferry.proxy;

import java.net.InetSocketAddress;
import java.util.Map;

/**
 * Where client proxies hear each other.
 *
 * @param listen the own address
 * @param broadcast reaches every client proxy of the tier
 * @param indexByAddress the numbers of the others, by the address from which they send
 */
record PeerAddresses(
    InetSocketAddress listen,
    InetSocketAddress broadcast,
    Map<InetSocketAddress, Integer> indexByAddress) {}
