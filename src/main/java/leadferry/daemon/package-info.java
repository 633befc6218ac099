/**
 * The program as teams run it by themselves: the operator's file, listeners, workers, reload. Begin
 * with {@link leadferry.daemon.Daemon}; {@code OperatorFile} judges the file, {@code
 * ConfigurationSnapshot} is one file in force, {@code Worker} is one event loop with all that is
 * its own, {@code DaemonRequestFilter} takes a request from its head to its pool. Nothing here
 * picks a server: that is the decision module's.
 */
package leadferry.daemon;
