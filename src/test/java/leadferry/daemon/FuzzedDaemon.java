package leadferry.daemon;

import java.io.ByteArrayOutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Daemon with one upstream host that records each request it receives, byte for byte. */
public final class FuzzedDaemon {
  private final List<byte[]> received = new CopyOnWriteArrayList<>();
  private final RawUpstream host;
  private final DaemonFixture fixture = new DaemonFixture(Files.createTempDirectory("fuzz"));

  public FuzzedDaemon() throws Exception {
    host = new RawUpstream((h, in, out, s) -> serve(in, out));
    fixture.start(
        DaemonFixture.LISTENER + "slow_ms = 2000\nforwarded = \"off\"",
        "[class.claim]\ndeadline_ms = 2000\n[class.log]\nrepeat = \"keyed\"\nwindow_ms = 500\n",
        RawUpstream.pool("a", "max_requests_per_connection = 1", host),
        DaemonFixture.route("logs", "/log", "class = \"log\"\npool = \"a\""),
        DaemonFixture.route("all", "/", "class = \"claim\"\npool = \"a\""));
  }

  /**
   * Serves one request per connection and records its bytes up to its end as the upstream host
   * reads it. Reads nothing after the response.
   */
  private void serve(java.io.InputStream in, java.io.OutputStream out) throws Exception {
    ByteArrayOutputStream request = new ByteArrayOutputStream();
    String head = RawUpstream.readUntil(in, "\r\n\r\n");
    if (head == null) {
      return;
    }
    request.write(head.getBytes(StandardCharsets.ISO_8859_1));
    String lower = head.toLowerCase(java.util.Locale.ROOT);
    int length = lower.indexOf("\r\ncontent-length: ");
    if (lower.contains("\r\ntransfer-encoding:")) {
      String line;
      do {
        line = RawUpstream.readUntil(in, "\r\n");
        request.write(line.getBytes(StandardCharsets.ISO_8859_1));
        request.write(in.readNBytes(Integer.parseInt(line.trim(), 16)));
        if (!line.equals("0\r\n")) {
          request.write(in.readNBytes(2));
        }
      } while (!line.equals("0\r\n"));
      do {
        line = RawUpstream.readUntil(in, "\r\n");
        request.write(line.getBytes(StandardCharsets.ISO_8859_1));
      } while (!line.equals("\r\n"));
    } else if (length >= 0) {
      request.write(
          in.readNBytes(
              Integer.parseInt(head.substring(length + 18, head.indexOf('\r', length + 2)))));
    }
    if (!head.startsWith("GET /fence ")) {
      received.add(request.toByteArray());
    }
    RawUpstream.write(out, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    in.read();
  }

  public Socket client() throws Exception {
    return fixture.client();
  }

  /** Waits until no byte of an earlier request can still reach the upstream host. */
  public void awaitIdle() throws Exception {
    if (fixture.status(DaemonFixture.request("GET", "/fence", "f")) != 200) {
      throw new AssertionError("the daemon does not serve any more (expected: status 200)");
    }
    leadferry.proxy.ProxyFixture.await(
        () -> host.closedConnections.get() == host.acceptedConnections.get());
  }

  /** Returns the requests received since {@link #clearReceived}, in order of arrival. */
  public List<byte[]> received() {
    return received;
  }

  public void clearReceived() {
    received.clear();
  }
}
