package corkproxy.http;

import corkproxy.engine.Hearing;
import corkproxy.engine.NioTransport;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/**
 * A listening socket of the JDK's whose connections can be asked whether their client has gone, and that can be
 * closed with as little as possible left in its backlog.
 */
public final class Listener extends NioServerSocketChannel {
  private long turn;
  private boolean more;
  private boolean held;
  private long since = System.nanoTime();

  /**
   * The earliest (ns) at which the kernel can have let in what is accepted now: when its queue was last known to be empty.
   *
   * <pre>
   *   poll: nobody   poll: clients   poll: clients   poll: clients
   *   since               accepts 4       accepts 4       accepts 2, none left
   * </pre>
   */
  long since() {
    return since;
  }

  /** Nobody is accepted for a while: who comes meanwhile has waited from now on. */
  void held() {
    held = true;
  }

  /** Begins a look at the queue, unless this turn has begun one. */
  private void look() {
    long now = Hearing.turns();
    if (now != turn || now == 0) {
      boolean goesOn = held || more && now == turn + 1;
      since = goesOn ? since : System.nanoTime() - Hearing.behind();
      turn = now;
      more = true;
      held = false;
    }
  }

  @Override
  protected int doReadMessages(List<Object> accepted) throws Exception {
    look();
    SocketChannel ch;
    try {
      ch = javaChannel().accept();
    } catch (IOException e) {
      held(); // out of descriptors: netty looks again after a second
      throw e;
    }
    if (ch == null) {
      more = false;
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
