/**
 * The platform's process: its configuration, its gate, its discovery, the rehearsal before it
 * listens. Begin with {@link corkproxy.proxy.Proxy}. Loads nothing of the daemon.
 */
package corkproxy.proxy;
