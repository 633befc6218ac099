package leadferry.daemon;

import java.io.ByteArrayOutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A daemon before one host that keeps, byte for byte, each request that it is sent. */
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
   * One request a connection: what comes up to the host's own end of it is kept, and nothing
   * behind.
   */
  private void serve(java.io.InputStream in, java.io.OutputStream out) throws Exception {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    String head = RawUpstream.readUntil(in, "\r\n\r\n");
    if (head == null) {
      return;
    }
    all.write(head.getBytes(StandardCharsets.ISO_8859_1));
    String lower = head.toLowerCase(java.util.Locale.ROOT);
    int length = lower.indexOf("\r\ncontent-length: ");
    if (lower.contains("\r\ntransfer-encoding:")) {
      String line;
      do {
        line = RawUpstream.readUntil(in, "\r\n");
        all.write(line.getBytes(StandardCharsets.ISO_8859_1));
        all.write(in.readNBytes(Integer.parseInt(line.trim(), 16)));
        if (!line.equals("0\r\n")) {
          all.write(in.readNBytes(2));
        }
      } while (!line.equals("0\r\n"));
      do {
        line = RawUpstream.readUntil(in, "\r\n");
        all.write(line.getBytes(StandardCharsets.ISO_8859_1));
      } while (!line.equals("\r\n"));
    } else if (length >= 0) {
      all.write(
          in.readNBytes(
              Integer.parseInt(head.substring(length + 18, head.indexOf('\r', length + 2)))));
    }
    if (!head.startsWith("GET /fence ")) {
      received.add(all.toByteArray());
    }
    RawUpstream.write(out, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    in.read();
  }

  public Socket client() throws Exception {
    return fixture.client();
  }

  /** Waits until nothing that was sent before can reach the host any more. */
  public void awaitIdle() throws Exception {
    if (fixture.status(DaemonFixture.request("GET", "/fence", "f")) != 200) {
      throw new AssertionError("the daemon serves no more");
    }
    leadferry.proxy.ProxyFixture.await(
        () -> host.closedConnections.get() == host.acceptedConnections.get());
  }

  /** All requests since the last {@link #clearReceived}, in the order in which they came. */
  public List<byte[]> received() {
    return received;
  }

  public void clearReceived() {
    received.clear();
  }
}
