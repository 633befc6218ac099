/**
 * Entry point of the jar. {@link leadferry.Main} dispatches the platform's commands before any
 * library of the command line loads; all else is in {@code leadferry.cli}.
 */
package leadferry;
