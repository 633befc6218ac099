package leadferry.proxy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** The upstream host and the discovery of the warm-up, at one address; a thread a connection. */
final class WarmUpServer implements AutoCloseable {
  private static final int BACKLOG = 16;
  private static final String THREAD_NAME = "warm-up";

  private final ServerSocket listener;
  private final byte[] response;

  /** Listens on loopback; {@code body} is that of each response. */
  WarmUpServer(String body) throws IOException {
    listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    response =
        encode(
            "HTTP/1.1 200 OK\r\nX-Server-Load: inflight=1,eps=0\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body);
  }

  void start() {
    startThread(this::accept);
  }

  InetSocketAddress address() {
    return (InetSocketAddress) listener.getLocalSocketAddress();
  }

  /** The endpoint list with this server alone, in discovery's form. */
  String endpointList() {
    return "{\"version\":1,\"full\":true,\"servers\":[{\"id\":\"warm-up\",\"addr\":\"127.0.0.1:"
        + listener.getLocalPort()
        + "\",\"zone\":\"\",\"kind\":\"\",\"cell\":1,\"state\":\"up\",\"weight\":1.0,"
        + "\"started_ms\":0}]}";
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        startThread(() -> serve(socket));
      }
    } catch (IOException e) {
      // Closed: the warm-up is over.
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      WarmUpMessageReader requests = new WarmUpMessageReader(socket.getInputStream());
      WarmUpMessageReader.RequestKind request;
      while ((request = requests.readRequest()) != WarmUpMessageReader.RequestKind.END) {
        boolean toDiscovery = request == WarmUpMessageReader.RequestKind.TO_DISCOVERY;
        socket.getOutputStream().write(toDiscovery ? listResponse() : response);
      }
    } catch (IOException e) {
      // Closed: the warm-up is over.
    }
  }

  private byte[] listResponse() {
    String line = endpointList() + "\n";
    return encode(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            + Integer.toHexString(line.length())
            + "\r\n"
            + line
            + "\r\n");
  }

  private static byte[] encode(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  private static void startThread(Runnable task) {
    Thread thread = new Thread(task, THREAD_NAME);
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
