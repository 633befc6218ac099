/**
 * The platform's process: its configuration, its gate, its discovery, the rehearsal before it
 * listens. Begin with {@link leadferry.proxy.Proxy}. Loads nothing of the daemon.
 */
package leadferry.proxy;
