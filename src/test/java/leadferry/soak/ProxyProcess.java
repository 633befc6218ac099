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
import java.util.stream.Stream;

/**
 * A process under test, run from the compiled classes: the platform's proxy with the options of the
 * deploy folder, or a daemon. Signals go to the ID of the process.
 */
public final class ProxyProcess {
  private static final long START_MS = 30_000;
  private static final int CONNECT_MS = 500;

  /**
   * Name of a system property; with the value "jar" the platform's proxy is started as the deploy
   * file does, from the jar and the archive of classes that its build leaves.
   */
  private static final String RUN_PROPERTY = "leadferry.run";

  /**
   * Faults that a process is started with.
   *
   * @param library the preload library, or null for a process without system call faults
   * @param rules the system calls that fail
   * @param seed the seed for the choice of failing calls
   * @param clockStep "from_ms step_ms" of the wall clock, or null
   * @param descriptorLimit the number of file descriptors that the process may open, or 0 for no
   *     limit
   */
  record Faults(
      Path library,
      List<SystemCallFault> rules,
      long seed,
      String clockStep,
      int descriptorLimit) {}

  /**
   * Command line of a kind of process.
   *
   * @param options the options of the JVM
   * @param arguments the arguments of the program
   * @param healthyPrefix the start of the response to {@code GET /_health} once the process can
   *     serve
   */
  private record Kind(List<String> options, List<String> arguments, String healthyPrefix) {}

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
   * Returns the platform's proxy, with the JVM options of the deploy folder, and thus with the
   * memory limits of the platform.
   */
  public static ProxyProcess platform(Path configuration, Path folder, int port, int discoveryPort)
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

  /**
   * Returns a daemon with this operator's file. It counts as ready with any response, because it
   * also responds to requests without a route.
   */
  public static ProxyProcess daemon(Path operatorFile, Path folder, int port) {
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

  /** Returns the file with what the process writes to its standard streams. */
  public Path logFile() {
    return folder.resolve("proxy.log");
  }

  /**
   * Whether the platform's proxy is started from the class path, and not as the deploy file does.
   */
  public static boolean runsFromClassPath() {
    return !"jar".equals(System.getProperty(RUN_PROPERTY));
  }

  /** Starts the process without faults and waits until it serves requests. */
  public void start() throws IOException, InterruptedException {
    start(new Faults(null, List.of(), 0, null, 0));
  }

  /** Starts the process and waits until it serves requests. */
  void start(Faults faults) throws IOException, InterruptedException {
    List<String> command = new ArrayList<>(descriptorLimitPrefix(faults.descriptorLimit()));
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(kind.options());
    if (!runsFromClassPath() && kind.arguments().contains("proxy")) {
      command.addAll(
          List.of("-XX:SharedArchiveFile=target/leadferry.jsa", "-jar", "target/leadferry.jar"));
    } else {
      command.addAll(List.of("-cp", System.getProperty("java.class.path"), "leadferry.Main"));
    }
    command.addAll(kind.arguments());
    ProcessBuilder builder = new ProcessBuilder(command);
    builder
        .redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile().toFile()));
    Path temporaryFolder = Files.createDirectories(folder.resolve("tmp"));
    builder
        .environment()
        .putAll(
            Map.of(
                "BALANCER_CONFIG", configuration.toString(), "TMPDIR", temporaryFolder.toString()));
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
    // Guards against interference with other tests: a proxy that outlives its run keeps connecting
    // to the port of its discovery, which may belong to another test by then.
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    awaitReady();
  }

  /**
   * Returns the words that precede a command to limit its open file descriptors. The limit is
   * raised by one for each entry of the class path, because each entry takes one descriptor here.
   */
  private static List<String> descriptorLimitPrefix(int descriptorLimit) {
    if (descriptorLimit == 0) {
      return List.of();
    }
    int entries = System.getProperty("java.class.path").split(java.io.File.pathSeparator).length;
    return List.of(
        "sh", "-c", "ulimit -n $0 && exec \"$@\"", Integer.toString(descriptorLimit + entries));
  }

  private void awaitReady() throws InterruptedException, IOException {
    long deadlineNanos = System.nanoTime() + START_MS * 1_000_000;
    while (!isReady()) {
      if (System.nanoTime() > deadlineNanos || !process.isAlive()) {
        throw new IOException(
            "process did not become ready within "
                + START_MS
                + " ms, or exited: "
                + Files.readString(logFile()));
      }
      Thread.sleep(10);
    }
  }

  private boolean isReady() {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CONNECT_MS);
      socket.setSoTimeout(CONNECT_MS);
      socket
          .getOutputStream()
          .write(
              "GET /_health HTTP/1.1\r\nHost: p\r\nConnection: close\r\n\r\n"
                  .getBytes(StandardCharsets.UTF_8));
      return new String(socket.getInputStream().readNBytes(12), StandardCharsets.UTF_8)
          .startsWith(kind.healthyPrefix());
    } catch (IOException e) {
      return false;
    }
  }

  /** Sends the signal with this name, such as TERM. */
  void signal(String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
  }

  /** Returns the largest resident memory of the process so far in kB, 0 if it has ended. */
  public long peakMemoryKilobytes() throws IOException {
    Path status = Path.of("/proc", Long.toString(process.pid()), "status");
    try (Stream<String> lines = Files.lines(status)) {
      return lines
          .filter(line -> line.startsWith("VmHWM:"))
          .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
          .findFirst()
          .orElse(0);
    }
  }

  /** Whether the process runs. */
  public boolean isAlive() {
    return process.isAlive();
  }

  /** Waits up to {@code timeoutMs} milliseconds and returns whether the process has exited. */
  boolean awaitExit(long timeoutMs) throws InterruptedException {
    return process.waitFor(Math.max(0, timeoutMs), TimeUnit.MILLISECONDS);
  }

  int exitStatus() {
    return process.exitValue();
  }

  /** Kills the process by SIGKILL if it runs. */
  public void kill() {
    if (process != null) {
      process.destroyForcibly();
    }
  }

  /** Returns the number of system call faults injected into the process so far. */
  long injectedFaults() throws IOException {
    return Files.exists(faultLogFile()) ? Files.lines(faultLogFile()).count() : 0;
  }
}
