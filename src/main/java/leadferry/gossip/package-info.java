/**
 * What the proxies of one tier know of each other. Begin with {@link
 * leadferry.gossip.SuspicionProtocol}: which of a proxy's own losses are worth telling the others,
 * and when what they tell is enough to act on.
 *
 * <p>Decides without I/O: time is passed in, messages are bytes, sockets stand beside the caller.
 * Needs the JDK alone. What comes out of it are hints to the decision module, which may eject an
 * endpoint for a while and never widens what may be sent; no rule rests on them, and any message
 * may be late, lost or made up.
 */
package leadferry.gossip;
