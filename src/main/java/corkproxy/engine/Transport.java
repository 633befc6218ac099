package corkproxy.engine;

import io.netty.channel.Channel;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.ServerChannel;

/** The kind of sockets that a process uses: how its loops wait, and what they open. */
public interface Transport {
  /** Makes what an event loop waits with. */
  IoHandlerFactory loops();

  /** What listens for clients. */
  Class<? extends ServerChannel> listener();

  /** What connects to hosts. */
  Class<? extends Channel> connection();

  /**
   * Whether nothing has come and nothing has ended on a connection to a host; asks the socket itself
   * and may be asked on the channel's loop only. What it reads to find out is lost, so false means that
   * the connection is of no further use.
   */
  boolean quiet(Channel connection);
}
