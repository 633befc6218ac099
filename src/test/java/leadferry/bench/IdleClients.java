package leadferry.bench;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import leadferry.engine.Addresses;

/**
 * Opens so many connections, asks once on each, keeps them for some seconds and tells how many
 * stayed.
 */
public final class IdleClients {
  private IdleClients() {}

  /** {@code IP:PORT COUNT SECONDS}. */
  public static void main(String[] args) throws Exception {
    InetSocketAddress to = Addresses.parse(args[0]);
    int count = Integer.parseInt(args[1]);
    List<SocketChannel> open = new ArrayList<>();
    ByteBuffer in = ByteBuffer.allocate(4_096);
    for (int i = 0; i < count; i++) {
      SocketChannel c = SocketChannel.open(to);
      c.write(
          ByteBuffer.wrap(
              ("GET /x HTTP/1.1\r\nHost: a\r\nX-Request-ID: idle" + i + "\r\n\r\n")
                  .getBytes(StandardCharsets.US_ASCII)));
      in.clear();
      c.read(in);
      open.add(c);
    }
    System.out.println(open.size() + " clients connected and were answered");
    Thread.sleep(Long.parseLong(args[2]) * 1_000);
    int stayed = 0;
    for (SocketChannel c : open) {
      c.configureBlocking(false);
      in.clear();
      stayed += c.read(in) == 0 ? 1 : 0;
      c.close();
    }
    System.out.println(stayed + " stayed");
  }
}
