package leadferry.engine;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.ServerChannel;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;

/** Sockets of the JDK, on any platform. */
public final class NioTransport implements Transport {
  /** Socket whose pending input can be checked before the loop's next iteration. */
  public static final class Connection extends RetryingSocketChannel {
    private static final int READ_CHUNK_BYTES = 16 * 1024;

    /**
     * Maximum number of bytes that are read in search of the end of the stream: more than a kernel
     * buffers by default. Guards against a peer that sends without end and occupies the loop.
     */
    private static final int MAX_DISCARD_BYTES = 8 << 20;

    private final ByteBuffer oneByte = ByteBuffer.allocate(1);

    /** Creates a connection to a host. */
    public Connection() {}

    /** Creates a connection that {@code listener} has accepted from a client. */
    public Connection(Channel listener, SocketChannel accepted) {
      super(listener, accepted);
    }

    private ClientEnd checkEnd() {
      try {
        oneByte.clear();
        int count = readNow(oneByte);
        if (count < 0) {
          return ClientEnd.ENDED;
        }
        return count == 0 ? ClientEnd.NONE : ClientEnd.LOST_BYTE;
      } catch (IOException e) {
        return ClientEnd.ENDED;
      }
    }

    private ClientEnd checkEndDiscarding() {
      ByteBuffer chunk = ByteBuffer.allocate(READ_CHUNK_BYTES);
      try {
        int count = 0;
        for (int discarded = 0;
            discarded < MAX_DISCARD_BYTES && (count = readNow(chunk.clear())) > 0;
            discarded += count) {
          // discard
        }
        return count < 0 ? ClientEnd.ENDED : ClientEnd.NONE;
      } catch (IOException e) {
        return ClientEnd.ENDED;
      }
    }

    private ClientEnd checkEndKeepingInput(int maxBytes) {
      try {
        int keptBytes = 0;
        while (keptBytes < maxBytes) {
          int count = keepInput(Math.min(READ_CHUNK_BYTES, maxBytes - keptBytes));
          if (count <= 0) {
            return count < 0 ? ClientEnd.ENDED : ClientEnd.NONE;
          }
          keptBytes += count;
        }
        return ClientEnd.NONE;
      } catch (IOException e) {
        return ClientEnd.ENDED;
      }
    }

    /** Reads input and passes it to the handlers; returns its length as a read does. */
    private int keepInput(int maxBytes) throws IOException {
      ByteBuffer chunk = ByteBuffer.allocate(maxBytes);
      int count = readNow(chunk);
      if (count > 0) {
        pipeline().fireChannelRead(Unpooled.wrappedBuffer(chunk.flip()));
      }
      return count;
    }

    private long unreadBytes() {
      try {
        return javaChannel().socket().getInputStream().available(); // FIONREAD, without blocking
      } catch (IOException e) {
        return UNKNOWN_BYTES;
      }
    }

    /**
     * Whether neither bytes nor the end of the stream have arrived on the socket. Guards against a
     * write to a pooled connection that the host has already closed, where the end of the stream is
     * still unread in the kernel: the request would count as one that may have run.
     */
    boolean isQuiet() {
      try {
        oneByte.clear();
        return readNow(oneByte) == 0;
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
  public long unreadBytes(Channel client) {
    return client instanceof Connection connection ? connection.unreadBytes() : UNKNOWN_BYTES;
  }

  @Override
  public void flushNow(Channel connection) {
    if (connection instanceof Connection socket) {
      socket.unsafe().forceFlush();
    }
  }

  @Override
  public ClientEnd checkClientEnd(Channel client) {
    return client instanceof Connection connection ? connection.checkEnd() : ClientEnd.NONE;
  }

  @Override
  public ClientEnd checkClientEndDiscarding(Channel client) {
    return client instanceof Connection connection
        ? connection.checkEndDiscarding()
        : ClientEnd.NONE;
  }

  @Override
  public ClientEnd checkClientEndKeepingInput(Channel client, int maxBytes) {
    return client instanceof Connection connection
        ? connection.checkEndKeepingInput(maxBytes)
        : ClientEnd.NONE;
  }

  @Override
  public boolean isQuiet(Channel connection) {
    return ((Connection) connection).isQuiet();
  }
}
