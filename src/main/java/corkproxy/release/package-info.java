/**
 * Releases agreed across the fleet: a plan's steps, who may go next, what halts, the way back.
 * State machines applied from the keepers' log ({@link corkproxy.release.Releases}, begin reading
 * at {@link corkproxy.release.Release}), what a driver does next ({@link
 * corkproxy.release.Conductor}) and whether the new is as good as the old ({@link
 * corkproxy.release.Guard}). Without I/O, time or chance: an entry, a view or a clock's value
 * brings them. Who may be out is {@code disruption}'s alone; commands are run by {@code cli}. Must
 * not know sockets, files or the log's library.
 */
package corkproxy.release;
