package leadferry.engine;

import io.netty.channel.Channel;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.ServerChannel;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollIoEvent;
import io.netty.channel.epoll.EpollIoHandle;
import io.netty.channel.epoll.EpollIoHandler;
import io.netty.channel.epoll.EpollIoOps;
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

/** Linux-specific sockets, through Netty's native libraries. */
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

    @Override
    public void flushNow(Channel connection) {
      if (connection instanceof EpollSocketChannel socket && socket.isOpen()) {
        EpollIoEvent writable = () -> EpollIoOps.EPOLLOUT;
        ((EpollIoHandle) socket.unsafe()).handle(null, writable);
      }
    }
  },
  /**
   * A read is always outstanding on each socket. {@link #isQuiet} therefore detects that a
   * connection has ended, but not bytes that the kernel has already taken for that read.
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
   * TCP states of a connection that its peer has reset, and of one that its peer has ended
   * (linux/tcp.h, tcp_info).
   */
  private static final int CLOSED = 7;

  private static final int CLOSE_WAIT = 8;

  private static final ThreadLocal<ByteBuffer> ONE_BYTE =
      ThreadLocal.withInitial(() -> ByteBuffer.allocateDirect(1));

  /**
   * Returns the reason why the transport is unavailable on this machine, or null where it is
   * available.
   */
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
  public boolean isQuiet(Channel connection) {
    FileDescriptor descriptor = ((UnixChannel) connection).fd();
    ByteBuffer one = ONE_BYTE.get();
    try {
      one.clear();
      return descriptor.read(one, 0, 1) == 0;
    } catch (IOException e) {
      return false;
    }
  }
}
