/**
 * The platform's process: its configuration, request filter, discovery and management, the warm-up
 * before it listens, and the graceful shutdown. Begin with {@link leadferry.proxy.ProxyProcess},
 * which runs one {@code Proxy}. Loads nothing of the daemon, the command line or consensus.
 */
package leadferry.proxy;
