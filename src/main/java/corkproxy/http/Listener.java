package corkproxy.http;

import corkproxy.engine.Hearing;
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
  /** Clients that may stand in the kernel's queue at once. */
  static final int BACKLOG = 1_024;

  private long turn;
  private boolean more;
  private int taken;
  private long since = System.nanoTime();
  private long began;

  /**
   * The earliest (ns) at which the kernel can have let in what is accepted now, where the loop came late to it: when its queue
   * was last known to be empty, or had been taken once over since. A rest that this side chose, for want of room, is not counted:
   * how long the queue was then is not known, and a crowd would look ever older.
   *
   * <pre>
   *   poll: nobody   poll: clients   poll: clients   poll: clients
   *   since               accepts 4       accepts 4       accepts 2, none left
   * </pre>
   */
  long since() {
    return since;
  }

  /** Begins a look at the queue, unless this turn has begun one. */
  private void look() {
    long now = Hearing.turns();
    if (now == turn && now != 0) {
      return;
    }
    if (!more || now != turn + 1 || now == 0) {
      since = System.nanoTime() - Hearing.behind();
      began = System.nanoTime();
      taken = 0;
    } else if (taken > BACKLOG) {
      since = began; // all that stood there then have been taken
      began = System.nanoTime();
      taken = 0;
    }
    turn = now;
    more = true;
  }

  @Override
  protected int doReadMessages(List<Object> accepted) throws Exception {
    look();
    SocketChannel ch = javaChannel().accept();
    if (ch == null) {
      more = false;
      return 0;
    }
    taken++;
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
