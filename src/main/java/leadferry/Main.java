package leadferry;

import java.io.IOException;
import leadferry.adapter.Adapter;
import leadferry.adapter.MalformedInputException;
import leadferry.proxy.ConfigException;
import leadferry.proxy.ProxyProcess;

/** Entry point of the jar. Dispatches to the subcommand named by the first argument. */
public final class Main {
  private Main() {}

  /**
   * Runs the subcommand that the arguments name and exits with status 1 after invalid configuration
   * or malformed input.
   *
   * <ul>
   *   <li>{@code proxy} runs the client proxy on sockets, configured by environment variables.
   *   <li>{@code adapter} makes the same load-balancing decisions for the simulator, which speaks
   *       its protocol on standard input and output.
   *   <li>{@code warm-up} (former name {@code rehearse}) runs a client proxy briefly during the
   *       build. The JVM archives the classes that this run loads.
   * </ul>
   *
   * <p>Any other argument list is passed to the command line in {@code leadferry.cli}. The three
   * subcommands above never load its libraries.
   */
  public static void main(String[] args) throws IOException {
    String command = args.length == 1 ? args[0] : "";
    try {
      switch (command) {
        case "proxy" -> ProxyProcess.run(System.getenv());
        case "warm-up", "rehearse" -> ProxyProcess.warmUp();
        case "adapter" -> new Adapter(System.in, System.out, System.err).run();
        default -> System.exit(CommandLineStart.run(args));
      }
    } catch (MalformedInputException | ConfigException e) {
      System.err.println("leadferry: " + e.getMessage());
      System.exit(1);
    }
  }

  /**
   * Holds the only reference to the command line. The JVM loads this class on first use, which
   * keeps the classes of the command line out of the platform's process.
   */
  private static final class CommandLineStart {
    static int run(String[] args) {
      return leadferry.cli.Leadferry.run(args);
    }
  }
}
