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
 * Configures a proxy with fake upstreams for an overload test.
 *
 * @param kind kind of the proxy
 * @param jvmFile file with options for the JVM of the proxy, such as {@code deploy/proxy.jvm}, or
 *     null
 * @param jvmOptions further options for the JVM of the proxy
 * @param coreShare share of a CPU core that the proxy may use, above 0 and at most 1
 * @param maxSockets maximum number of sockets of the proxy
 * @param timeoutMillis deadline of the only request class of the proxy
 */
record ThrottledProxyLauncher(
    Kind kind,
    Path jvmFile,
    List<String> jvmOptions,
    double coreShare,
    int maxSockets,
    long timeoutMillis) {

  /** Kind of the proxy: the platform's client proxy or the daemon. */
  enum Kind {
    PLATFORM,
    DAEMON
  }

  private static final long MAX_LATENCY_TARGET_MILLIS = 400;

  /** Returns a path that the proxy forwards to the upstreams. */
  String requestPath() {
    return kind == Kind.PLATFORM ? "/read/x" : "/";
  }

  /**
   * Creates a proxy without starting it. Its files {@code config} and {@code log} are in the
   * folder.
   */
  ThrottledProxy create(Path folder, List<FakeUpstream> upstreams) throws IOException {
    int port = findFreePort();
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
      Files.writeString(config, daemonConfiguration(port, upstreams));
      command.addAll(List.of("daemon", "--config", config.toString()));
    }
    InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    return new ThrottledProxy(command, environment, address, coreShare, folder.resolve("log"));
  }

  private static int findFreePort() throws IOException {
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
        .formatted(port, maxSockets, servers, MAX_LATENCY_TARGET_MILLIS, timeoutMillis);
  }

  private static String platformServer(FakeUpstream upstream) {
    return """
        {"id":"%s","addr":"%s","zone":"","kind":"","cell":1,"state":"up",
         "weight":1.0,"started_ms":0}"""
        .formatted(upstream.name(), upstream.hostAndPort());
  }

  private String daemonConfiguration(int port, List<FakeUpstream> upstreams) {
    String members =
        upstreams.stream().map(ThrottledProxyLauncher::daemonMember).collect(Collectors.joining());
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
            Math.min(MAX_LATENCY_TARGET_MILLIS, timeoutMillis),
            timeoutMillis,
            members);
  }

  private static String daemonMember(FakeUpstream upstream) {
    return """
        [[pool.a.member]]
        id = "%s"
        address = "%s"
        """
        .formatted(upstream.name(), upstream.hostAndPort());
  }
}
