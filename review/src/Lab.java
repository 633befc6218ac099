import java.io.IOException;
import java.io.PrintWriter;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * One run of a case: a temporary folder, the record, and the client proxies, which are started with the line {@code run} of
 * the deploy file. Everything listens on 127.0.0.1.
 */
final class Lab implements AutoCloseable {
  /** Thrown where the case can't run; the script then exits with 2. */
  static final class CannotRun extends RuntimeException {
    private static final long serialVersionUID = 1;

    CannotRun(String message) {
      super(message);
    }
  }

  private static final Set<Integer> TAKEN_PORTS = ConcurrentHashMap.newKeySet();

  /** A client proxy as one process. */
  final class Proxy {
    final String name;
    final int port;
    final Path config;
    final Path folder;
    Process process;

    private Proxy(String name, int port) throws IOException {
      this.name = name;
      this.port = port;
      this.folder = Files.createDirectories(temporary.resolve(name));
      this.config = folder.resolve("config.json");
    }

    /** Replaces the file of the configuration as a whole. */
    void writeConfig(String json) throws IOException {
      Path next = folder.resolve("config.next");
      Files.writeString(next, json);
      Files.move(next, config, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    void launch() throws IOException {
      Path own = Files.createDirectories(folder.resolve("tmp"));
      ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runLine());
      builder.directory(root.toFile());
      builder.environment().putAll(Map.of("BALANCER_CONFIG", config.toString(), "BALANCER_NAME", name, "TMPDIR", own.toString()));
      if (System.getenv("BALANCER_LOG_DETAILS") != null) {
        builder.environment().put("BALANCER_LOG_DETAILS", "1");
      }
      builder.redirectErrorStream(true);
      builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve("proxy.log").toFile()));
      process = builder.start();
      synchronized (processes) {
        processes.add(process);
      }
    }

    void start() throws IOException, InterruptedException {
      launch();
      awaitReady();
    }

    void awaitReady() throws InterruptedException {
      long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
      while (System.nanoTime() < until) {
        if (!process.isAlive()) {
          throw new CannotRun(name + " ended at its start: " + log());
        }
        if (isHealthy()) {
          return;
        }
        Thread.sleep(20);
      }
      throw new CannotRun(name + " is not ready after 30 s: " + log());
    }

    boolean isHealthy() {
      try (Socket socket = connect(port)) {
        socket.setSoTimeout(1_000);
        socket.getOutputStream().write(bytes("GET /_health HTTP/1.1\r\nHost: api.internal\r\n\r\n"));
        Http.Message answer = Http.read(socket.getInputStream());
        return answer != null && answer.status() == 200;
      } catch (IOException e) {
        return false;
      }
    }

    /** Sends a signal (HUP, TERM, STOP, CONT, KILL) to this process alone. */
    void signal(String signal) throws IOException, InterruptedException {
      new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
    }

    String log() {
      try {
        return Files.readString(folder.resolve("proxy.log"));
      } catch (IOException e) {
        return "";
      }
    }
  }

  final long startNanos = System.nanoTime();
  final Path root;
  final Path temporary;
  final ExecutorService threads =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
          });
  private final List<Process> processes = new ArrayList<>();
  private final PrintWriter record;

  Lab(Path caseFolder) throws IOException {
    root = caseFolder.toAbsolutePath().normalize().getParent().getParent();
    record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")));
    temporary = Files.createTempDirectory("review");
    Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
    if (!Files.exists(root.resolve("target/leadferry.jar")) || !Files.exists(root.resolve("target/leadferry.jsa"))) {
      throw new CannotRun("the build of the deploy file is missing");
    }
  }

  /** Whether the disruption is on; TROUBLE=0 turns it off. */
  static boolean trouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  Proxy proxy(String name) throws IOException {
    return new Proxy(name, freePort());
  }

  /** Returns the command {@code run} of the deploy file. */
  private String runLine() throws IOException {
    for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
      if (line.startsWith("run = \"")) {
        return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
      }
    }
    throw new CannotRun("deploy/balancer.toml has no line run");
  }

  /** Returns a free port below the range from which the system takes ports itself, so that no other socket gets it meanwhile. */
  static int freePort() throws IOException {
    for (int i = 0; i < 1_000; i++) {
      int port = ThreadLocalRandom.current().nextInt(10_000, 32_000);
      if (TAKEN_PORTS.add(port)) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
          return socket.getLocalPort();
        } catch (BindException e) {
          // in use; another one
        }
      }
    }
    throw new CannotRun("no free port");
  }

  static Socket connect(int port) throws IOException {
    Socket socket = new Socket();
    socket.setTcpNoDelay(true);
    socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 2_000);
    return socket;
  }

  /** Whether the peer's machine has acknowledged every byte written to the connection from {@code port}, by /proc/net/tcp. */
  boolean isAcknowledged(int port) throws IOException {
    String local = String.format(":%04X", port);
    for (String file : new String[] {"/proc/self/net/tcp", "/proc/self/net/tcp6"}) {
      for (String line : Files.readAllLines(Path.of(file))) {
        String[] words = line.trim().split("\\s+");
        if (words[1].endsWith(local) && words[3].equals("01")) {
          return words[4].startsWith("00000000:");
        }
      }
    }
    return false;
  }

  static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  /** Milliseconds since the start of the run. */
  double now() {
    return (System.nanoTime() - startNanos) / 1e6;
  }

  void record(String format, Object... values) {
    String line = String.format("%9.1f ", now()) + String.format(format, values);
    synchronized (record) {
      record.println(line);
      record.flush();
    }
  }

  void say(String format, Object... values) {
    record(format, values);
    System.out.println(String.format(format, values));
  }

  private void endAll() {
    synchronized (processes) {
      processes.forEach(Process::destroyForcibly);
      for (Process process : processes) {
        try {
          process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
      processes.clear();
    }
    if (System.getenv("KEEP") != null) {
      System.out.println("kept " + temporary);
      return;
    }
    try (Stream<Path> files = Files.walk(temporary)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    } catch (IOException | RuntimeException e) {
      // already removed
    }
  }

  @Override
  public void close() {
    endAll();
    threads.shutdownNow();
    record.close();
  }

  /** Body of a case; returns whether the rule held. */
  interface Case {
    boolean run(Lab lab) throws Exception;
  }

  /** Runs a case and exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
  static void main(String folder, Case body) {
    int status;
    try (Lab lab = new Lab(Path.of(folder))) {
      try {
        boolean held = body.run(lab);
        lab.say(held ? "the rule HELD" : "the rule was BROKEN");
        status = held ? 0 : 1;
      } catch (CannotRun e) {
        lab.say("the case could not run: %s", e.getMessage());
        status = 2;
      }
    } catch (Exception e) {
      e.printStackTrace();
      status = 2;
    }
    System.exit(status);
  }
}
