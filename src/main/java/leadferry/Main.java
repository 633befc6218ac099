package leadferry;

import java.io.IOException;
import leadferry.adapter.Adapter;
import leadferry.adapter.MalformedInputException;
import leadferry.proxy.ConfigException;
import leadferry.proxy.ProxyProcess;

/** Entry point of the jar. */
public final class Main {
  private Main() {}

  /**
   * Runs {@code proxy}, a client proxy on sockets, or {@code adapter}, the same decisions on the
   * simulator's wire on standard input and output. The build runs {@code warm-up} (formerly {@code
   * rehearse}), a client proxy for a moment, so that the JVM can archive the classes it takes.
   * Everything else is the command line of {@code cli}, whose libraries the three above never load.
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

  /** Guards the platform's process against classes that it has no use for. */
  private static final class CommandLineStart {
    static int run(String[] args) {
      return leadferry.cli.Leadferry.run(args);
    }
  }
}
