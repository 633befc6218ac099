/**
 * Releases agreed across the fleet: a plan's steps, who may go next, what halts, the way back.
 * State machines applied from the keepers' log ({@link leadferry.release.Releases}, begin reading
 * at {@link leadferry.release.Release}), what a driver does next ({@link
 * leadferry.release.ReleaseController}) and whether the new is as good as the old ({@link
 * leadferry.release.CanaryAnalysis}). Without I/O, time or chance: an entry, a view or a clock's
 * value brings them. Who may be out is {@code disruption}'s alone; commands are run by {@code cli}.
 * Must not know sockets, files or the log's library.
 */
package leadferry.release;
