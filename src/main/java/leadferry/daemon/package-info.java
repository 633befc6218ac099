/**
 * Standalone daemon: the operator's file, listeners, workers, reload and drain.
 *
 * <p>{@link leadferry.daemon.Daemon} is the entry point. {@code OperatorFile} reads and validates
 * the file, {@code ConfigurationSnapshot} is one version of it, {@code Worker} is one event loop
 * with its state, and {@code DaemonRequestFilter} selects the pool for a request. The load balancer
 * in its own package selects the server.
 */
package leadferry.daemon;
