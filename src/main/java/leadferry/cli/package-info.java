/**
 * The command line: {@code daemon}, {@code check}, {@code standin}, {@code load}, {@code demo}.
 * Begin with {@link leadferry.cli.Leadferry}. Loaded by none of {@code proxy}, {@code adapter} and
 * {@code warm-up}.
 */
package leadferry.cli;
