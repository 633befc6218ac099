package leadferry.engine;

import io.netty.channel.Channel;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.ServerChannel;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollIoHandler;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.unix.FileDescriptor;
import io.netty.channel.unix.UnixChannel;
import io.netty.channel.uring.IoUring;
import io.netty.channel.uring.IoUringIoHandler;
import io.netty.channel.uring.IoUringServerSocketChannel;
import io.netty.channel.uring.IoUringSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;

/** Linux's own sockets, through netty's native parts. */
public enum NativeTransport implements Transport {
  EPOLL {
    @Override
    public IoHandlerFactory ioHandlerFactory() {
      return ReadLagTracker.wrap(EpollIoHandler.newFactory());
    }

    @Override
    public Class<? extends ServerChannel> listenerType() {
      return EpollServerSocketChannel.class;
    }

    @Override
    public Class<? extends Channel> connectionType() {
      return EpollSocketChannel.class;
    }
  },
  /**
   * A read is always out on each socket, so {@link #isQuiet} sees that a connection has ended, not
   * the bytes that the kernel has already taken for that read.
   */
  IO_URING {
    @Override
    public IoHandlerFactory ioHandlerFactory() {
      return IoUringIoHandler.newFactory();
    }

    @Override
    public Class<? extends ServerChannel> listenerType() {
      return IoUringServerSocketChannel.class;
    }

    @Override
    public Class<? extends Channel> connectionType() {
      return IoUringSocketChannel.class;
    }
  };

  /**
   * The states of a connection whose other side has reset it, and has ended it (linux/tcp.h,
   * tcp_info).
   */
  private static final int CLOSED = 7;

  private static final int CLOSE_WAIT = 8;

  private static final ThreadLocal<ByteBuffer> ONE =
      ThreadLocal.withInitial(() -> ByteBuffer.allocateDirect(1));

  /** Why this one can't be had here, or null if it can. */
  public Throwable unavailabilityCause() {
    return this == EPOLL ? Epoll.unavailabilityCause() : IoUring.unavailabilityCause();
  }

  @Override
  public ClientEnd checkClientEnd(Channel client) {
    if (!(client instanceof EpollSocketChannel socket) || !socket.isOpen()) {
      return ClientEnd.NONE;
    }
    int state = socket.tcpInfo().state();
    return state == CLOSE_WAIT || state == CLOSED ? ClientEnd.ENDED : ClientEnd.NONE;
  }

  @Override
  public boolean canCheckWithoutLoss() {
    return true;
  }

  @Override
  public boolean isQuiet(Channel connection) {
    FileDescriptor descriptor = ((UnixChannel) connection).fd();
    ByteBuffer one = ONE.get();
    try {
      one.clear();
      return descriptor.read(one, 0, 1) == 0;
    } catch (IOException e) {
      return false;
    }
  }
}
