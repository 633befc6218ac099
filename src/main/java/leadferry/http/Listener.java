package leadferry.http;

import io.netty.channel.Channel;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import leadferry.engine.NioTransport;
import leadferry.engine.ReadHorizon;
import leadferry.engine.RetryingServerSocketChannel;

/**
 * A listening socket of the JDK's whose connections can be asked whether their client has gone, and
 * that can be closed with as little as possible left in its backlog.
 */
public final class Listener extends RetryingServerSocketChannel {
  /** Clients that may stand in the kernel's queue at once. */
  static final int BACKLOG = 1_024;

  /**
   * Where accept fails while the socket is to be closed, it is tried again so often, so far (ms)
   * apart.
   */
  private static final int LAST_TRIES = 40;

  private static final long LAST_TRIES_MS = 5;

  private long turn;
  private boolean more;
  private int taken;
  private long since = System.nanoTime();
  private long began;
  private boolean closing;

  /**
   * The earliest (ns) at which the kernel can have let in what is accepted now, where the loop came
   * late to it: when its queue was last known to be empty, or had been taken once over since. A
   * rest that this side chose, for want of room, is not counted: how long the queue was then is not
   * known, and a crowd would look ever older.
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
    long now = ReadHorizon.turns();
    if (now == turn && now != 0) {
      return;
    }
    if (!more || now != turn + 1 || now == 0) {
      since = System.nanoTime() - ReadHorizon.behind();
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
  protected SocketChannel acceptNext() throws IOException {
    look();
    SocketChannel next = super.acceptNext();
    if (next == null) {
      more = false;
    } else {
      taken++;
    }
    return next;
  }

  @Override
  protected Channel connection(SocketChannel accepted) {
    return new NioTransport.Connection(this, accepted);
  }

  /**
   * Takes what stands in the backlog and closes the socket; on its loop. Guards against clients
   * that the kernel has let in and that nobody has accepted: a close resets them. What is let in
   * between the last look and the close is lost still. A failed accept says nothing of those who
   * wait, so it is tried again, for 0.2 s.
   */
  void takeRestAndClose() {
    if (!closing) {
      closing = true;
      takeRest(LAST_TRIES);
    }
  }

  private void takeRest(int triesLeft) {
    if (!isOpen()) {
      return;
    }
    List<Object> rest = new ArrayList<>();
    boolean all = takeAll(rest);
    rest.forEach(pipeline()::fireChannelRead);
    pipeline().fireChannelReadComplete();
    if (all || triesLeft == 0) {
      close();
    } else {
      eventLoop().schedule(() -> takeRest(triesLeft - 1), LAST_TRIES_MS, TimeUnit.MILLISECONDS);
    }
  }

  /** Whether nobody waits any more, as far as can be told. */
  private boolean takeAll(List<Object> into) {
    try {
      while (doReadMessages(into) > 0) {
        // until nobody waits
      }
      return true;
    } catch (Exception e) {
      return false;
    }
  }
}
