package leadferry.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * The platform's process as the deploy file runs it, or a daemon, from the classes under test;
 * ended by its id.
 */
final class ProxyProcess {
  private static final long START_MS = 30_000;
  private static final int CONNECT_MS = 500;

  /**
   * What faults a process is started with; {@code library} is null for none, {@code descriptors} 0
   * for no limit.
   */
  record Faults(
      Path library,
      List<SystemCallFault> rules,
      long seed,
      String clockStep,
      int descriptorLimit) {}

  /**
   * How a kind of process is started, and which answer to {@code GET /_health} tells that it can
   * serve.
   */
  private record Kind(List<String> options, List<String> arguments, String healthy) {}

  private final Kind kind;
  private final Path configuration;
  private final Path folder;
  private final int port;
  private final int discoveryPort;
  private Process process;

  private ProxyProcess(Kind kind, Path configuration, Path folder, int port, int discoveryPort) {
    this.kind = kind;
    this.configuration = configuration;
    this.folder = folder;
    this.port = port;
    this.discoveryPort = discoveryPort;
  }

  /**
   * The platform's process, with the options of the deploy folder: the limits of memory are the
   * platform's.
   */
  static ProxyProcess platform(Path configuration, Path folder, int port, int discoveryPort)
      throws IOException {
    List<String> options =
        Files.readAllLines(Path.of("deploy/proxy.jvm")).stream()
            .filter(line -> line.startsWith("-"))
            .toList();
    return new ProxyProcess(
        new Kind(options, List.of("proxy"), "HTTP/1.1 200"),
        configuration,
        folder,
        port,
        discoveryPort);
  }

  /** A daemon with this operator's file, which answers whatever it has no route for. */
  static ProxyProcess daemon(Path operatorFile, Path folder, int port) {
    List<String> arguments = List.of("daemon", "--config", operatorFile.toString());
    return new ProxyProcess(
        new Kind(List.of("-Xmx128m"), arguments, "HTTP/1.1 "), operatorFile, folder, port, 0);
  }

  int port() {
    return port;
  }

  Path faultLogFile() {
    return folder.resolve("faults.log");
  }

  Path logFile() {
    return folder.resolve("proxy.log");
  }

  /** Starts it and waits until it says that it can serve. */
  void start(Faults faults) throws IOException, InterruptedException {
    List<String> command = new ArrayList<>(limited(faults.descriptorLimit()));
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(kind.options());
    command.addAll(List.of("-cp", System.getProperty("java.class.path"), "leadferry.Main"));
    command.addAll(kind.arguments());
    ProcessBuilder builder = new ProcessBuilder(command);
    builder
        .redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile().toFile()));
    Path own = Files.createDirectories(folder.resolve("tmp"));
    builder
        .environment()
        .putAll(Map.of("BALANCER_CONFIG", configuration.toString(), "TMPDIR", own.toString()));
    if (faults.library() != null) {
      String rules =
          faults.rules().stream().map(SystemCallFault::rule).collect(Collectors.joining(";"));
      builder.environment().put("LD_PRELOAD", faults.library().toString());
      builder.environment().put("SYSCALL_FAULTS", rules);
      builder.environment().put("SYSCALL_FAULTS_SEED", Long.toString(faults.seed()));
      builder.environment().put("SYSCALL_FAULTS_LOG", faultLogFile().toString());
      builder.environment().put("SYSCALL_FAULTS_DISCOVERY", Integer.toString(discoveryPort));
      if (faults.clockStep() != null) {
        builder.environment().put("SYSCALL_FAULTS_CLOCK", faults.clockStep());
      }
    }
    process = builder.start();
    // Guards other tests on the machine: a proxy that outlives its run goes on asking for its
    // discovery at a port that is theirs by then.
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    awaitReady();
  }

  /**
   * What goes ahead of a command that may hold so many descriptors; each entry of the class path
   * takes one more here.
   */
  private static List<String> limited(int descriptors) {
    if (descriptors == 0) {
      return List.of();
    }
    int entries = System.getProperty("java.class.path").split(java.io.File.pathSeparator).length;
    return List.of(
        "sh", "-c", "ulimit -n $0 && exec \"$@\"", Integer.toString(descriptors + entries));
  }

  private void awaitReady() throws InterruptedException, IOException {
    long until = System.nanoTime() + START_MS * 1_000_000;
    while (!ready()) {
      if (System.nanoTime() > until || !process.isAlive()) {
        throw new IOException("the proxy did not become ready: " + Files.readString(logFile()));
      }
      Thread.sleep(10);
    }
  }

  private boolean ready() {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CONNECT_MS);
      socket.setSoTimeout(CONNECT_MS);
      socket
          .getOutputStream()
          .write(
              "GET /_health HTTP/1.1\r\nHost: p\r\nConnection: close\r\n\r\n"
                  .getBytes(StandardCharsets.UTF_8));
      return new String(socket.getInputStream().readNBytes(12), StandardCharsets.UTF_8)
          .startsWith(kind.healthy());
    } catch (IOException e) {
      return false;
    }
  }

  /** Sends a signal by name. */
  void signal(String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
  }

  boolean isAlive() {
    return process.isAlive();
  }

  /** Its status, if it ends within so many ms. */
  boolean awaitExit(long ms) throws InterruptedException {
    return process.waitFor(Math.max(0, ms), TimeUnit.MILLISECONDS);
  }

  int exitStatus() {
    return process.exitValue();
  }

  void kill() {
    if (process != null) {
      process.destroyForcibly();
    }
  }

  /** Faults that reached the process so far. */
  long injectedFaults() throws IOException {
    return Files.exists(faultLogFile()) ? Files.lines(faultLogFile()).count() : 0;
  }
}
