/**
 * The command line: {@code daemon}, {@code check}, {@code standin}, {@code load}, {@code demo}.
 * Begin with {@link corkproxy.cli.Corkproxy}. Loaded by none of {@code proxy}, {@code adapter} and
 * {@code rehearse}.
 */
package corkproxy.cli;
