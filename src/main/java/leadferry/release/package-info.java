/**
 * Releases agreed across the fleet: state machines applied from the replicated log. Begin reading
 * at {@link leadferry.release.Release}, whose targets are {@link leadferry.release.ReleaseTarget}s;
 * {@link leadferry.release.Releases} is the registry, {@link leadferry.release.HaltPolicy} says
 * what halts one, {@link leadferry.release.ReleaseController} what a driver does next and {@link
 * leadferry.release.CanaryAnalysis} whether the new version is as good as the previous one. Without
 * I/O, time or randomness: an entry, a view or a clock's value brings them. Who may be unavailable
 * is {@code disruption}'s alone; commands are run by {@code cli}. Must not know sockets, files or
 * the log's library.
 */
package leadferry.release;
