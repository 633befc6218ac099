package corkproxy.engine;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;

/** A socket to a host that can be asked, just before it is written to, whether it is still quiet. */
public final class UpstreamChannel extends NioSocketChannel {
  private final ByteBuffer one = ByteBuffer.allocate(1);

  /**
   * Guards against a write to a pooled connection that the host has closed, whose end waits in the
   * kernel for the loop's next turn: the request would count as one that may have run.
   */
  boolean quiet() {
    try {
      one.clear();
      return javaChannel().read(one) == 0;
    } catch (IOException e) {
      return false;
    }
  }
}
