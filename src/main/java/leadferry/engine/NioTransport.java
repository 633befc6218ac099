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

    private End end() {
      try {
        one.clear();
        int count = readNow(one);
        if (count < 0) {
          return End.ENDED;
        }
        return count == 0 ? End.NONE : End.LOST_BYTE;
      } catch (IOException e) {
        return End.ENDED;
      }
    }

    private End endBehind() {
      ByteBuffer some = ByteBuffer.allocate(BEHIND_CHUNK);
      try {
        int count = 0;
        for (int seen = 0;
            seen < BEHIND_BYTES && (count = readNow(some.clear())) > 0;
            seen += count) {
          // thrown away
        }
        return count < 0 ? End.ENDED : End.NONE;
      } catch (IOException e) {
        return End.ENDED;
      }
    }

    /**
     * Guards against a write to a pooled connection that the host has closed, whose end waits in
     * the kernel for the loop's next turn: the request would count as one that may have run.
     */
    boolean quiet() {
      try {
        one.clear();
        return readNow(one) == 0;
      } catch (IOException e) {
        return false;
      }
    }
  }

  @Override
  public IoHandlerFactory loops() {
    return ReadHorizon.in(NioIoHandler.newFactory());
  }

  @Override
  public Class<? extends ServerChannel> listener() {
    return RetryingServerSocketChannel.class;
  }

  @Override
  public Class<? extends Channel> connection() {
    return Connection.class;
  }

  @Override
  public End end(Channel client) {
    return client instanceof Connection connection ? connection.end() : End.NONE;
  }

  @Override
  public End endBehind(Channel client) {
    return client instanceof Connection connection ? connection.endBehind() : End.NONE;
  }

  @Override
  public boolean quiet(Channel connection) {
    return ((Connection) connection).quiet();
  }
}
