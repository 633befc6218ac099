package leadferry.engine;

import io.netty.channel.Channel;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.ServerChannel;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;

/** The JDK's sockets, on any platform. */
public final class NioTransport implements Transport {
  /** A socket that can be asked, ahead of the loop's next turn, what has come on it. */
  public static final class Connection extends RetryingSocketChannel {
    private static final int BEHIND_CHUNK = 16 * 1024;

    /**
     * What is looked through at most for the end of who sends without end: a look must not cost the
     * loop its time.
     */
    private static final int BEHIND_BYTES = 2 * BEHIND_CHUNK;

    private final ByteBuffer one = ByteBuffer.allocate(1);

    /** One to a host. */
    public Connection() {}

    /** A client's. */
    public Connection(Channel listener, SocketChannel accepted) {
      super(listener, accepted);
    }

    private ClientEnd end() {
      try {
        one.clear();
        int count = readNow(one);
        if (count < 0) {
          return ClientEnd.ENDED;
        }
        return count == 0 ? ClientEnd.NONE : ClientEnd.LOST_BYTE;
      } catch (IOException e) {
        return ClientEnd.ENDED;
      }
    }

    private ClientEnd endBehind() {
      ByteBuffer some = ByteBuffer.allocate(BEHIND_CHUNK);
      try {
        int count = 0;
        for (int seen = 0;
            seen < BEHIND_BYTES && (count = readNow(some.clear())) > 0;
            seen += count) {
          // thrown away
        }
        return count < 0 ? ClientEnd.ENDED : ClientEnd.NONE;
      } catch (IOException e) {
        return ClientEnd.ENDED;
      }
    }

    /**
     * Guards against a write to a pooled connection that the host has closed, whose end waits in
     * the kernel for the loop's next turn: the request would count as one that may have run.
     */
    boolean isQuiet() {
      try {
        one.clear();
        return readNow(one) == 0;
      } catch (IOException e) {
        return false;
      }
    }
  }

  @Override
  public IoHandlerFactory ioHandlerFactory() {
    return ReadLagTracker.wrap(NioIoHandler.newFactory());
  }

  @Override
  public Class<? extends ServerChannel> listenerType() {
    return RetryingServerSocketChannel.class;
  }

  @Override
  public Class<? extends Channel> connectionType() {
    return Connection.class;
  }

  @Override
  public ClientEnd checkClientEnd(Channel client) {
    return client instanceof Connection connection ? connection.end() : ClientEnd.NONE;
  }

  @Override
  public ClientEnd checkClientEndDiscarding(Channel client) {
    return client instanceof Connection connection ? connection.endBehind() : ClientEnd.NONE;
  }

  @Override
  public boolean isQuiet(Channel connection) {
    return ((Connection) connection).isQuiet();
  }
}
