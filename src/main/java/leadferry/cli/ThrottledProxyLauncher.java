package leadferry.cli;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import leadferry.testbed.FakeUpstream;
import leadferry.testbed.ThrottledProxy;

/**
 * Starts a proxy of either kind before fake upstreams, for an overload test.
 *
 * @param kind the platform's process or the daemon
 * @param jvmFile options of its JVM as in {@code deploy/proxy.jvm}, or null
 * @param jvmOptions further options of its JVM
 * @param coreShare the part of a core that it gets
 * @param maxSockets sockets that it may hold
 * @param timeoutMillis deadline of its one class of requests
 */
record ThrottledProxyLauncher(
    Kind kind,
    Path jvmFile,
    List<String> jvmOptions,
    double coreShare,
    int maxSockets,
    long timeoutMillis) {

  /** The two ways to be a proxy. */
  enum Kind {
    PLATFORM,
    DAEMON
  }

  private static final long LONGEST_OBJECTIVE_MILLIS = 400;

  /** A path that the proxy forwards. */
  String requestPath() {
    return kind == Kind.PLATFORM ? "/read/x" : "/";
  }

  /**
   * A proxy that is not started yet; its files {@code config} and {@code log} are in the folder.
   */
  ThrottledProxy create(Path folder, List<FakeUpstream> upstreams) throws IOException {
    int port = freePort();
    Path config = folder.resolve("config");
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    if (jvmFile != null) {
      command.add("@" + jvmFile);
    }
    command.addAll(jvmOptions);
    command.addAll(List.of("-cp", System.getProperty("java.class.path"), "leadferry.Main"));
    Map<String, String> environment = Map.of();
    if (kind == Kind.PLATFORM) {
      Files.writeString(config, platformConfiguration(port, upstreams));
      command.add("proxy");
      environment = Map.of("BALANCER_CONFIG", config.toString(), "MALLOC_ARENA_MAX", "1");
    } else {
      Files.writeString(config, operatorFile(port, upstreams));
      command.addAll(List.of("daemon", "--config", config.toString()));
    }
    InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    return new ThrottledProxy(command, environment, address, coreShare, folder.resolve("log"));
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  private String platformConfiguration(int port, List<FakeUpstream> upstreams) {
    String servers =
        upstreams.stream()
            .map(ThrottledProxyLauncher::platformServer)
            .collect(Collectors.joining(","));
    return """
        {"name":"storm","listen":"127.0.0.1:%d","discovery":"127.0.0.1:9","seed":"1",
         "limits":{"memory_mb":144,"sockets":%d},
         "known":{"version":1,"full":true,"servers":[%s]},
         "settings":{"classes":[
           {"name":"read","aim":%d,"deadline":%d,"semantics":"idempotent"}]}}
        """
        .formatted(port, maxSockets, servers, LONGEST_OBJECTIVE_MILLIS, timeoutMillis);
  }

  private static String platformServer(FakeUpstream upstream) {
    return """
        {"id":"%s","addr":"%s","zone":"","kind":"","cell":1,"state":"up",
         "weight":1.0,"started_ms":0}"""
        .formatted(upstream.name(), upstream.hostAndPort());
  }

  private String operatorFile(int port, List<FakeUpstream> upstreams) {
    String members =
        upstreams.stream().map(ThrottledProxyLauncher::member).collect(Collectors.joining());
    return """
        [daemon]
        descriptors = %d
        [listener.main]
        address = "127.0.0.1:%d"
        [class.read]
        repeat = "safe"
        aim_ms = %d
        deadline_ms = %d
        [pool.a]
        %s[[route]]
        name = "all"
        prefix = "/"
        class = "read"
        pool = "a"
        """
        .formatted(
            maxSockets,
            port,
            Math.min(LONGEST_OBJECTIVE_MILLIS, timeoutMillis),
            timeoutMillis,
            members);
  }

  private static String member(FakeUpstream upstream) {
    return """
        [[pool.a.member]]
        id = "%s"
        address = "%s"
        """
        .formatted(upstream.name(), upstream.hostAndPort());
  }
}
