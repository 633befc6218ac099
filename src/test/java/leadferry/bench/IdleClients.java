package leadferry.bench;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import leadferry.engine.Addresses;

/**
 * Opens connections, sends one request on each, keeps all of them open for some seconds, and prints
 * how many are still open after that. Started by {@code bench/daemon memory}.
 */
public final class IdleClients {
  private IdleClients() {}

  /** Takes the arguments {@code IP:PORT COUNT SECONDS}. */
  public static void main(String[] args) throws Exception {
    InetSocketAddress address = Addresses.parse(args[0]);
    int count = Integer.parseInt(args[1]);
    List<SocketChannel> open = new ArrayList<>();
    ByteBuffer buffer = ByteBuffer.allocate(4_096);
    for (int i = 0; i < count; i++) {
      SocketChannel channel = SocketChannel.open(address);
      channel.write(
          ByteBuffer.wrap(
              ("GET /x HTTP/1.1\r\nHost: a\r\nX-Request-ID: idle" + i + "\r\n\r\n")
                  .getBytes(StandardCharsets.US_ASCII)));
      buffer.clear();
      channel.read(buffer);
      open.add(channel);
    }
    System.out.println(open.size() + " clients connected and were answered");
    Thread.sleep(Long.parseLong(args[2]) * 1_000);
    int stillOpen = 0;
    for (SocketChannel channel : open) {
      channel.configureBlocking(false);
      buffer.clear();
      stillOpen += channel.read(buffer) == 0 ? 1 : 0;
      channel.close();
    }
    System.out.println(stillOpen + " stayed connected");
  }
}
