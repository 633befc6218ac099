package leadferry.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.util.function.Consumer;

/**
 * Joins small parts of a streamed body into larger ones. Guards against a sender of tiny chunks,
 * each of which would cost a write and many times its length in memory.
 *
 * <p>Used only on the connection's event loop.
 */
final class ChunkAggregator {
  /** Length (bytes) from which on a part is passed on as it is. */
  private static final int MIN_DIRECT_BYTES = 1_024;

  /** Maximum number of bytes that are joined. */
  private static final int MAX_JOINED_BYTES = 16 * 1024;

  private final ByteBufAllocator allocator;
  private ByteBuf joined;

  ChunkAggregator(ByteBufAllocator allocator) {
    this.allocator = allocator;
  }

  /**
   * Adds a part, of which it takes ownership. {@code out} gets the parts that are ready, in order.
   */
  void add(ByteBuf part, Consumer<ByteBuf> out) {
    if (part.readableBytes() >= MIN_DIRECT_BYTES) {
      flush(out);
      out.accept(part);
      return;
    }
    if (joined == null) {
      joined = allocator.directBuffer(MIN_DIRECT_BYTES, MAX_JOINED_BYTES + MIN_DIRECT_BYTES);
    }
    joined.writeBytes(part);
    part.release();
    if (joined.readableBytes() >= MAX_JOINED_BYTES) {
      flush(out);
    }
  }

  /** Passes on what was joined; called when no more input is available for now. */
  void flush(Consumer<ByteBuf> out) {
    if (joined != null) {
      ByteBuf ready = joined;
      joined = null;
      out.accept(ready);
    }
  }

  /** Drops what was joined. */
  void clear() {
    flush(ByteBuf::release);
  }
}
