/**
 * Command line of the program: {@code daemon}, {@code replica}, {@code fleet}, {@code check} and
 * the test tools {@code fake-upstream}, {@code load}, {@code demo}, {@code overload-test} and
 * {@code fault-test}. {@link leadferry.cli.Leadferry} is the root command. The subcommands {@code
 * proxy}, {@code adapter} and {@code warm-up} load no class of this package.
 */
package leadferry.cli;
