/**
 * Process of the platform: configuration, request filter, discovery watch, management server,
 * warm-up and graceful shutdown. Start reading at {@link leadferry.proxy.ProxyProcess}, which runs
 * one {@code Proxy}. Loads no class of the daemon, the command line or consensus.
 */
package leadferry.proxy;
