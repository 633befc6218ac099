package corkproxy;

import java.io.IOException;
import corkproxy.adapter.Adapter;
import corkproxy.adapter.MalformedInputException;
import corkproxy.proxy.ConfigException;
import corkproxy.proxy.Proxy;

/** Entry point of the jar. */
public final class Main {
  private Main() {}

  /**
   * Runs {@code proxy}, a client proxy on sockets, or {@code adapter}, the same decisions on the
   * simulator's wire on standard input and output.
   */
  public static void main(String[] args) throws IOException {
    String command = args.length == 1 ? args[0] : "";
    try {
      switch (command) {
        case "proxy" -> Proxy.run(System.getenv());
        case "adapter" -> new Adapter(System.in, System.out, System.err).run();
        default -> {
          System.err.println("usage: java -jar corkproxy.jar proxy|adapter");
          System.exit(2);
        }
      }
    } catch (MalformedInputException | ConfigException e) {
      System.err.println("corkproxy: " + e.getMessage());
      System.exit(1);
    }
  }
}
