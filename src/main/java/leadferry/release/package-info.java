/**
 * Releases of a new software version across the fleet, as state machines that apply the replicated
 * log. {@link leadferry.release.Release} is the starting point; its targets are {@link
 * leadferry.release.ReleaseTarget}s; {@link leadferry.release.ReleaseRegistry} is the registry,
 * {@link leadferry.release.HaltPolicy} decides what halts a release, {@link
 * leadferry.release.ReleaseController} what a driver does next, and {@link
 * leadferry.release.CanaryAnalysis} whether the new version is as good as the previous one.
 *
 * <p>The package does no I/O, reads no clock and uses no randomness: entries, views and times are
 * passed in. Package {@code disruption} alone decides which targets may be unavailable, and package
 * {@code cli} runs the commands. This package must not depend on sockets, files or the library of
 * the log.
 */
package leadferry.release;
