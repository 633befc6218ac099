/**
 * Entry point of the jar. {@link leadferry.Main} dispatches the subcommands that the platform
 * starts before any library of the command line is loaded. All other subcommands are in {@code
 * leadferry.cli}.
 */
package leadferry;
