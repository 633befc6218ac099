package corkproxy.http;

import corkproxy.engine.NioTransport;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/**
 * A listening socket of the JDK's whose connections can be asked whether their client has gone, and that can be
 * closed with as little as possible left in its backlog.
 */
public final class Listener extends NioServerSocketChannel {
  @Override
  protected int doReadMessages(List<Object> accepted) throws Exception {
    SocketChannel ch = javaChannel().accept();
    if (ch == null) {
      return 0;
    }
    try {
      accepted.add(new NioTransport.Connection(this, ch));
      return 1;
    } catch (RuntimeException e) {
      ch.close();
      throw e;
    }
  }

  /**
   * Takes what stands in the backlog and closes the socket; on its loop. Guards against clients that
   * the kernel has let in and that nobody has accepted: a close resets them. What is let in between the
   * last look and the close is lost still.
   */
  void takeRestAndClose() {
    List<Object> rest = new ArrayList<>();
    try {
      while (doReadMessages(rest) > 0) {
        // until nobody waits
      }
    } catch (Exception e) {
      // out of descriptors: nobody else can be let in
    }
    rest.forEach(pipeline()::fireChannelRead);
    pipeline().fireChannelReadComplete();
    close();
  }
}
